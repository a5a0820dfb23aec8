"""Event loop on a simulated clock, for the benchmark."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import TypeAlias

Callback: TypeAlias = Callable[[], object]
_ScheduledCallback: TypeAlias = tuple[float, int, Callback]


class EventLoop:
    """Runs callbacks in time order and sets the clock to each one's time.

    The clock ``now_s`` doesn't advance while a callback runs.
    """

    def __init__(self) -> None:
        self.now_s = float(0)
        self._scheduled: list[_ScheduledCallback] = []
        self._sequence_numbers = count()

    def call_at(self, time_s: float, callback: Callback) -> None:
        """Schedule a callback for a simulated time in seconds."""
        heappush(
            self._scheduled, (time_s, next(self._sequence_numbers), callback)
        )

    def call_later(self, delay_s: float, callback: Callback) -> None:
        """Schedule a callback after a delay of simulated seconds."""
        self.call_at(self.now_s + delay_s, callback)

    def run(self) -> None:
        """Run until no scheduled callback is left."""
        while self._scheduled:
            time_s, _, callback = heappop(self._scheduled)
            self.now_s = time_s
            callback()
