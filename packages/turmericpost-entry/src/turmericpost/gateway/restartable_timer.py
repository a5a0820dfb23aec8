"""A timer that can be started, and stopped any number of times."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class RestartableTimer:
    """Runs one step later, unless stopped before."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._delayed: Any = None

    def start(self, after_s: float, step: Callable[[], None]) -> None:
        """Run a step after some seconds, in place of an earlier one."""
        self.stop()
        self._delayed = self._reactor.callLater(after_s, step)

    def stop(self) -> None:
        """Do not run the step."""
        if self._delayed is not None and self._delayed.active():
            self._delayed.cancel()
