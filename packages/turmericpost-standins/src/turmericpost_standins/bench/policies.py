"""Baselines: what other ways of choosing would give."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import cycle, repeat
from random import Random
from typing import Protocol

from turmericpost_standins.bench.event_loop import EventLoop
from turmericpost_standins.bench.sim_backend import SimBackend
from turmericpost_standins.bench.workload import Workload

Done = Callable[[], None]


class Policy(Protocol):
    """Sends calls to back ends."""

    def submit(self, done: Done) -> None:
        """Take a call; ``done`` runs with its answer."""


class RandomChoice:
    """Any back end."""

    def __init__(self, backends: list[SimBackend], random: Random) -> None:
        self._backends = backends
        self._random = random

    def submit(self, done: Done) -> None:
        """Send to any back end."""
        self._random.choice(self._backends).serve(done)


class RoundRobin:
    """Each entry VM goes through the back ends in turn."""

    def __init__(
        self,
        backends: list[SimBackend],
        random: Random,
        entry_vms: int,
    ) -> None:
        self._random = random
        self._turns = [cycle(backends) for _ in range(entry_vms)]
        for turn in self._turns:
            for _ in range(random.randrange(len(backends))):
                next(turn)

    def submit(self, done: Done) -> None:
        """Send to the next back end of a VM chosen at random."""
        next(self._random.choice(self._turns)).serve(done)


class LeastInFlight:
    """Each entry VM takes the back end with its fewest calls in flight.

    With ``choices`` it looks only at so many, drawn at random.
    """

    def __init__(
        self,
        backends: list[SimBackend],
        random: Random,
        entry_vms: int,
        choices: int | None = None,
    ) -> None:
        self._backends = backends
        self._random = random
        self._choices = choices or len(backends)
        self._counts = [
            list(repeat(0, len(backends))) for _ in range(entry_vms)
        ]

    def submit(self, done: Done) -> None:
        """Send from a VM chosen at random."""
        counts = self._random.choice(self._counts)
        looked_at = self._random.sample(
            range(len(self._backends)),
            self._choices,
        )
        chosen = min(looked_at, key=counts.__getitem__)
        counts[chosen] += 1
        self._backends[chosen].serve(
            lambda: self._ended(counts, chosen, done),
        )

    def _ended(self, counts: list[int], chosen: int, done: Done) -> None:
        counts[chosen] -= 1
        done()


class CentralQueue:
    """The limit: one queue, perfect knowledge, no delay.

    The next call goes to a free slot of the back end that is fastest now.
    """

    def __init__(
        self,
        backends: list[SimBackend],
        workload: Workload,
        loop: EventLoop,
    ) -> None:
        self._backends = backends
        self._workload = workload
        self._loop = loop
        self._queue: deque[Done] = deque()

    def submit(self, done: Done) -> None:
        """Queue a call."""
        self._queue.append(done)
        self._start()

    def _start(self) -> None:
        free = [
            backend
            for backend in self._backends
            if backend.in_flight < self._workload.slots
        ]
        if free and self._queue:
            done = self._queue.popleft()
            chosen = min(free, key=self._slowness)
            chosen.serve(lambda: self._ended(done))

    def _ended(self, done: Done) -> None:
        done()
        self._start()

    def _slowness(self, backend: SimBackend) -> tuple[bool, int]:
        now_s = self._loop.now_s
        is_slow = self._workload.is_straggling(backend.number, now_s)
        return is_slow, backend.in_flight
