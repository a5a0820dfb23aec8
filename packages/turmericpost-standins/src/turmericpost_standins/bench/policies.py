"""Baseline policies for choosing a backend server, for comparison."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import cycle, repeat
from random import Random
from typing import Protocol

from turmericpost_standins.bench.event_loop import EventLoop
from turmericpost_standins.bench.sim_backend import SimBackend
from turmericpost_standins.bench.workload import Workload

DoneCallback = Callable[[], None]


class Policy(Protocol):
    """Load-balancing policy: decides which backend server serves each call."""

    def submit(self, on_done: DoneCallback) -> None:
        """Accept a call; run ``on_done`` when its response has arrived."""


class RandomChoice:
    """Sends each call to a random backend server."""

    def __init__(self, backends: list[SimBackend], random: Random) -> None:
        self._backends = backends
        self._random = random

    def submit(self, on_done: DoneCallback) -> None:
        """Send the call to a random backend server."""
        self._random.choice(self._backends).serve(on_done)


class RoundRobin:
    """Each entry VM sends its calls to the backend servers in turn."""

    def __init__(
        self,
        backends: list[SimBackend],
        random: Random,
        entry_vms: int,
    ) -> None:
        self._random = random
        self._cycles = [cycle(backends) for _ in range(entry_vms)]
        for backend_cycle in self._cycles:
            for _ in range(random.randrange(len(backends))):
                next(backend_cycle)

    def submit(self, on_done: DoneCallback) -> None:
        """Send the call to the next backend server in the cycle of a random VM."""
        next(self._random.choice(self._cycles)).serve(on_done)


class LeastInFlight:
    """Each entry VM picks the backend server with the fewest calls in flight.

    An entry VM counts only the calls that it sent itself. If ``choices`` is
    set, it compares only that many backend servers, sampled at random.
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
        self._in_flight_counts = [
            list(repeat(0, len(backends))) for _ in range(entry_vms)
        ]

    def submit(self, on_done: DoneCallback) -> None:
        """Send the call through a random entry VM."""
        counts = self._random.choice(self._in_flight_counts)
        candidates = self._random.sample(
            range(len(self._backends)),
            self._choices,
        )
        chosen = min(candidates, key=counts.__getitem__)
        counts[chosen] += 1
        self._backends[chosen].serve(
            lambda: self._finish(counts, chosen, on_done),
        )

    def _finish(
        self, counts: list[int], chosen: int, on_done: DoneCallback
    ) -> None:
        counts[chosen] -= 1
        on_done()


class CentralQueue:
    """Ideal policy: one queue for all calls, and no hops between VMs.

    Sends the next call to a backend server with a free slot, preferring
    servers that aren't straggling, then those with fewer calls in flight.
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
        self._queue: deque[DoneCallback] = deque()

    def submit(self, on_done: DoneCallback) -> None:
        """Queue the call and start the next one if a slot is free."""
        self._queue.append(on_done)
        self._start_next()

    def _start_next(self) -> None:
        free = [
            backend
            for backend in self._backends
            if backend.in_flight < self._workload.slots
        ]
        if free and self._queue:
            on_done = self._queue.popleft()
            chosen = min(free, key=self._preference_key)
            chosen.serve(lambda: self._finish(on_done))

    def _finish(self, on_done: DoneCallback) -> None:
        on_done()
        self._start_next()

    def _preference_key(self, backend: SimBackend) -> tuple[bool, int]:
        now_s = self._loop.now_s
        is_slow = self._workload.is_straggling(backend.number, now_s)
        return is_slow, backend.in_flight
