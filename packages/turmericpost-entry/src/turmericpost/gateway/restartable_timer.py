"""A one-shot timer that can be restarted and stopped any number of times."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class RestartableTimer:
    """Runs one callback after a delay, unless it is stopped before."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._delayed_call: Any = None

    def start(self, after_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after ``after_s`` seconds.

        It replaces the pending callback, if there is one.
        """
        self.stop()
        self._delayed_call = self._reactor.callLater(after_s, callback)

    def stop(self) -> None:
        """Cancel the pending callback, if there is one."""
        if self._delayed_call is not None and self._delayed_call.active():
            self._delayed_call.cancel()
