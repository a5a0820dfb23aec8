"""A back end of the bench: slots, a queue, exponential service times."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from turmericpost_standins.bench.event_loop import EventLoop
from turmericpost_standins.bench.workload import Workload


class SimBackend:
    """Works on as many calls at once as it has slots."""

    def __init__(
        self,
        number: int,
        workload: Workload,
        loop: EventLoop,
        random: Random,
    ) -> None:
        self.number = number
        self.in_flight = 0
        self.most_in_flight = 0
        self._workload = workload
        self._loop = loop
        self._random = random
        self._busy = 0
        self._queue: deque[Callable[[], None]] = deque()

    def serve(self, done: Callable[[], None]) -> None:
        """Take a call; ``done`` runs when its answer is back."""
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        self._loop.after(
            self._workload.backend_delay_s,
            lambda: self._arrive(done),
        )

    def _arrive(self, done: Callable[[], None]) -> None:
        if self._busy < self._workload.slots:
            self._begin(done)
        else:
            self._queue.append(done)

    def _begin(self, done: Callable[[], None]) -> None:
        self._busy += 1
        mean_s = self._workload.mean_service_s
        if self._workload.is_straggling(self.number, self._loop.now_s):
            mean_s *= self._workload.straggler_factor
        service_s = self._random.expovariate(1 / mean_s)
        self._loop.after(service_s, lambda: self._end(done))

    def _end(self, done: Callable[[], None]) -> None:
        self._busy -= 1
        self._loop.after(
            self._workload.backend_delay_s,
            lambda: self._answered(done),
        )
        if self._queue:
            self._begin(self._queue.popleft())

    def _answered(self, done: Callable[[], None]) -> None:
        self.in_flight -= 1
        done()
