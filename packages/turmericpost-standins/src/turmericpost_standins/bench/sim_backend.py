"""Simulated backend server with slots, a queue and random service times."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from turmericpost_standins.bench.event_loop import EventLoop
from turmericpost_standins.bench.workload import Workload


class SimBackend:
    """Serves one call per slot at a time and queues the rest.

    Service times are distributed exponentially. ``in_flight`` counts the
    calls sent to the server that have no response yet, queued ones included.
    """

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
        self._busy_slots = 0
        self._queue: deque[Callable[[], None]] = deque()

    def serve(self, on_done: Callable[[], None]) -> None:
        """Accept a call; run ``on_done`` when its response reaches the sender."""
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        self._loop.call_later(
            self._workload.backend_delay_s,
            lambda: self._accept(on_done),
        )

    def _accept(self, on_done: Callable[[], None]) -> None:
        if self._busy_slots < self._workload.slots:
            self._start_service(on_done)
        else:
            self._queue.append(on_done)

    def _start_service(self, on_done: Callable[[], None]) -> None:
        self._busy_slots += 1
        mean_s = self._workload.mean_service_s
        if self._workload.is_straggling(self.number, self._loop.now_s):
            mean_s *= self._workload.straggler_factor
        service_s = self._random.expovariate(1 / mean_s)
        self._loop.call_later(service_s, lambda: self._finish_service(on_done))

    def _finish_service(self, on_done: Callable[[], None]) -> None:
        self._busy_slots -= 1
        self._loop.call_later(
            self._workload.backend_delay_s,
            lambda: self._deliver_response(on_done),
        )
        if self._queue:
            self._start_service(self._queue.popleft())

    def _deliver_response(self, on_done: Callable[[], None]) -> None:
        self.in_flight -= 1
        on_done()
