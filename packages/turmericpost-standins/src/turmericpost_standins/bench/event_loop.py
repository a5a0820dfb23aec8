"""Events in the order of a fake clock."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import TypeAlias

Event: TypeAlias = Callable[[], object]
_Event: TypeAlias = tuple[float, int, Event]


class EventLoop:
    """Runs events at their times; time stands still in between."""

    def __init__(self) -> None:
        self.now_s = float(0)
        self._events: list[_Event] = []
        self._numbers = count()

    def at(self, time_s: float, event: Event) -> None:
        """Run an event at a time."""
        heappush(self._events, (time_s, next(self._numbers), event))

    def after(self, delay_s: float, event: Event) -> None:
        """Run an event after a delay."""
        self.at(self.now_s + delay_s, event)

    def run(self) -> None:
        """Run until no event is left."""
        while self._events:
            time_s, _, event = heappop(self._events)
            self.now_s = time_s
            event()
