"""Run a node until a signal or a time limit ends it."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet.defer import Deferred

from turmericpost.observe.events import LogEvent, log_event, log_failure


class GracefulShutdown:
    """Ends the process once, cleanly; a second signal ends it at once."""

    def __init__(
        self,
        reactor: Any,
        stop: Callable[[], Awaitable[None]],
    ) -> None:
        self._reactor = reactor
        self._stop = stop
        self._is_ending = False

    def install_signal_handlers(self) -> None:
        """React to SIGTERM and SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)

    def end(self) -> None:
        """Stop cleanly, then end the process."""
        if self._is_ending:
            self._reactor.stop()
            return
        self._is_ending = True
        stopping = Deferred.fromCoroutine(self._stop())
        stopping.addErrback(log_failure)
        stopping.addBoth(self._stopped)

    def _on_signal(self, number: int, _frame: object) -> None:
        self._reactor.callFromThread(self.end)

    def _stopped(self, _ended: object) -> None:
        log_event(LogEvent.PROCESS_STOPPED)
        if self._reactor.running:
            self._reactor.stop()
