"""Simulation of a pool that gets more calls than it can serve.

As in the first deployments, service times vary by a third around their mean,
and at times a server becomes four times slower for about 300 ms. The speed at
the start of a call applies to the whole call. Probes get an immediate
response. The clock is simulated.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from random import Random

from tests.grants.samples import (
    RETRY_LIMITS,
    SPEC,
    backend,
    new_request,
    reported_load,
)
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    Decision,
    PermitDenial,
    PermitGrant,
    ProbeRequest,
)

SLOTS = 4
USABLE_SLOTS = 3
SERVICE_TIME_SPREAD = 0.3
DECISION_INTERVAL_S = 0.02
SPEED_CHANGE_INTERVAL_S = 0.3
SLOW_FACTOR = 4
_PERCENT = 100


@dataclass(frozen=True)
class Workload:
    """Calls of one kind; an ``offered_load`` of 1 fills the capacity."""

    servers: int
    service_time_s: float
    objective_s: float
    deadline_s: float
    offered_load: float
    slow_share: float = 0
    duration_s: float = 20

    @property
    def calls_per_s(self) -> float:
        """Arrival rate: the capacity at normal speed times the load."""
        slots = self.servers * USABLE_SLOTS
        fast = 1 - self.slow_share or 1 / SLOW_FACTOR
        return self.offered_load * slots * fast / self.service_time_s


@dataclass
class CallCounts:
    """Numbers of calls by how they ended."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def calls(self) -> int:
        """Number of all calls that ended."""
        return self.in_time + self.late + self.refused


class OverloadSimulation:
    """One simulation run, determined by its seed."""

    def __init__(self, workload: Workload, seed: int) -> None:
        self.counts = CallCounts()
        self._workload = workload
        self._random = Random(seed)
        self._broker = Broker('vm.1', RETRY_LIMITS)
        self._broker.visible_share = 1
        self._broker.install_services({SPEC.name: SPEC})
        servers = [backend(one, slots=SLOTS) for one in range(workload.servers)]
        self._broker.install_backends(servers, 0)
        self._events: list[tuple[float, int, PermitGrant | None]] = []
        self._next_event = 0
        self._arrived_calls = 0
        self._sent_s: dict[str, float] = {}
        self._speeds: dict[str, tuple[float, float]] = {}

    def run(self) -> CallCounts:
        self._schedule(0, None)
        self._start_arrived_calls(0)
        while self._events:
            now_s, _, grant = heapq.heappop(self._events)
            if grant is not None:
                self._finish_attempt(grant, now_s)
            elif now_s < self._workload.duration_s:
                self._schedule(now_s + DECISION_INTERVAL_S, None)
            self._apply_decisions(self._broker.decide(now_s), now_s)
            self._start_arrived_calls(now_s)
        return self.counts

    def _schedule(self, at_s: float, grant: PermitGrant | None) -> None:
        self._next_event += 1
        heapq.heappush(self._events, (at_s, self._next_event, grant))

    def _start_arrived_calls(self, now_s: float) -> None:
        """Request permits for the calls that have arrived by now."""
        if now_s >= self._workload.duration_s:
            return
        due = self._workload.calls_per_s * now_s - self._arrived_calls
        for _ in range(int(due)):
            self._arrived_calls += 1
            permit_request = new_request(
                self._arrived_calls,
                now_s,
                objective_at_s=now_s + self._workload.objective_s,
                deadline_at_s=now_s + self._workload.deadline_s,
            )
            self._apply_decisions(
                self._broker.request(permit_request, now_s), now_s
            )

    def _apply_decisions(
        self,
        decisions: tuple[Decision, ...],
        now_s: float,
    ) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeRequest):
                self._probe(decision.backend.backend_id, now_s)
            elif isinstance(decision, PermitDenial):
                self.counts.refused += 1
            else:
                self._sent_s[decision.permit_id] = now_s
                self._schedule(
                    now_s + self._service_time_s(decision, now_s), decision
                )

    def _service_time_s(self, grant: PermitGrant, now_s: float) -> float:
        spread = self._random.lognormvariate(
            -SERVICE_TIME_SPREAD * SERVICE_TIME_SPREAD / 2, SERVICE_TIME_SPREAD
        )
        slowness = self._slowness(grant.backend.backend_id, now_s)
        return self._workload.service_time_s * spread * slowness

    def _slowness(self, backend_id: str, now_s: float) -> float:
        """Return the current slowdown factor, which changes at random."""
        slowness, until_s = self._speeds.get(backend_id, (1, 0))
        if now_s >= until_s:
            is_slow = self._random.uniform(0, 1) < self._workload.slow_share
            slowness = SLOW_FACTOR if is_slow else 1
            until_s = now_s + self._random.expovariate(
                1 / SPEED_CHANGE_INTERVAL_S
            )
            self._speeds[backend_id] = (slowness, until_s)
        return slowness

    def _probe(self, backend_id: str, now_s: float) -> None:
        next_decisions = self._broker.record_probe(
            backend_id,
            reported_load(self._slowness(backend_id, now_s) * _PERCENT),
            now_s,
            is_healthy=True,
        )
        self._apply_decisions(next_decisions, now_s)

    def _finish_attempt(self, grant: PermitGrant, now_s: float) -> None:
        if now_s <= grant.request.objective_at_s:
            self.counts.in_time += 1
        else:
            self.counts.late += 1
        backend_id = grant.backend.backend_id
        load = reported_load(self._slowness(backend_id, now_s) * _PERCENT)
        latency_s = now_s - self._sent_s.pop(grant.permit_id)
        attempt_report = AttemptReport(AttemptOutcome.SUCCESS, latency_s, load)
        next_decisions = self._broker.release_permit(
            grant.permit_id, attempt_report, now_s
        )
        self._apply_decisions(next_decisions, now_s)
