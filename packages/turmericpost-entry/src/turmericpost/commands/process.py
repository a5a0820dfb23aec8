"""Shuts a process down gracefully on a signal."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet.defer import Deferred

from turmericpost.observe.events import LogEvent, log_event, log_failure


class GracefulShutdown:
    """Stops the node, then the reactor, on a signal or a call.

    A second signal or call stops the reactor immediately.
    """

    def __init__(
        self,
        reactor: Any,
        stop: Callable[[], Awaitable[None]],
    ) -> None:
        self._reactor = reactor
        self._stop = stop
        self._is_stopping = False

    def install_signal_handlers(self) -> None:
        """Install handlers that shut down on SIGTERM and SIGINT."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._on_signal)

    def shut_down(self) -> None:
        """Stop the node, then the reactor."""
        if self._is_stopping:
            self._reactor.stop()
            return
        self._is_stopping = True
        stopping = Deferred.fromCoroutine(self._stop())
        stopping.addErrback(log_failure)
        stopping.addBoth(self._on_stopped)

    def _on_signal(self, signal_number: int, _frame: object) -> None:
        self._reactor.callFromThread(self.shut_down)

    def _on_stopped(self, _outcome: object) -> None:
        log_event(LogEvent.PROCESS_STOPPED)
        if self._reactor.running:
            self._reactor.stop()
