"""Clock, event queue and network of the domain histories."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, TypeAlias

START_S = 1000.0
MAX_USUAL_DELAY_S = 0.03
MAX_SLOW_DELAY_S = 0.3

Names: TypeAlias = frozenset[str]
_Action: TypeAlias = Callable[..., None]
_Event: TypeAlias = tuple[float, int, _Action, tuple[Any, ...]]


class EventQueue:
    """Simulated clock that runs actions in the order of their times."""

    def __init__(self) -> None:
        self.now_s = START_S
        self._count = 0
        self._events: list[_Event] = []

    def call_at(
        self, time_s: float, action: Callable[..., None], *details: Any
    ) -> None:
        self._count += 1
        heapq.heappush(self._events, (time_s, self._count, action, details))

    def call_later(
        self, delay_s: float, action: Callable[..., None], *details: Any
    ) -> None:
        self.call_at(self.now_s + delay_s, action, *details)

    def run_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            event = heapq.heappop(self._events)
            self.now_s = event[0]
            event[2](*event[3])
        self.now_s = end_s


@dataclass(frozen=True)
class LinkQuality:
    """Delays and losses of messages."""

    usual_delay_s: float
    slow_probability: float = 0
    loss_probability: float = 0

    def delay_s(self, random: Random) -> float | None:
        """Return the delay of a message, ``None`` if it is lost."""
        chance = random.uniform(0, 1)
        if chance < self.loss_probability:
            return None
        if chance < self.loss_probability + self.slow_probability:
            return random.uniform(self.usual_delay_s, MAX_SLOW_DELAY_S)
        return self.usual_delay_s * random.uniform(0.5, 1.5)


def draw_link_quality(random: Random) -> LinkQuality:
    return LinkQuality(
        random.choice((0.001, 0.01, MAX_USUAL_DELAY_S)),
        random.choice((0, 0, 0.03)),
        random.choice((0, 0.01, 0.05)),
    )


class Network:
    """Tells which VMs reach which others; a cut has one direction."""

    def __init__(self, names: Iterable[str]) -> None:
        self._names = tuple(names)
        self._parts: dict[str, int] = {}
        self._cuts: list[tuple[Names, Names]] = []
        self._reached: dict[str, Names] = {}

    def reached_by(self, sender: str) -> Names:
        """Return the names of the VMs that get the messages of one."""
        reached = self._reached.get(sender)
        if reached is None:
            reached = frozenset(
                name for name in self._names if self._reaches(sender, name)
            )
            self._reached[sender] = reached
        return reached

    def divide(self, parts: Mapping[str, int]) -> None:
        """Put VMs into numbered parts; all others are in part 0."""
        self._parts.update(parts)
        self._reached.clear()

    def cut(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Drop all messages from some VMs to some others."""
        self._cuts.append((frozenset(senders), frozenset(receivers)))
        self._reached.clear()

    def heal(self) -> None:
        self._parts.clear()
        self._cuts.clear()
        self._reached.clear()

    def _reaches(self, sender: str, receiver: str) -> bool:
        if self._parts.get(sender, 0) != self._parts.get(receiver, 0):
            return False
        return not any(
            sender in senders and receiver in receivers
            for senders, receivers in self._cuts
        )
