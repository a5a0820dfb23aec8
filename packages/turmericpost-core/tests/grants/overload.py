"""A pool of servers under more calls than it can serve, on a clock of its own.

Work spreads by a third around its mean and a server turns four times slower
for some 300 ms now and then, as those of the first deployments do. The speed
at the start of a call holds for all of it. Probes are answered at once.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from random import Random

from tests.grants.samples import BOUNDS, SPEC, backend, reported_load, request
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
SPREAD = 0.3
LOOK_S = 0.02
NOISE_S = 0.3
SLOWNESS = 4
_PERCENT = 100


@dataclass(frozen=True)
class Load:
    """Calls of one kind; ``pressure`` is their work over what fits."""

    servers: int
    work_s: float
    objective_s: float
    deadline_s: float
    pressure: float
    slow_share: float = 0
    length_s: float = 20

    @property
    def calls_per_s(self) -> float:
        """Calls that arrive in a second: what fits at usual speed, pressed."""
        slots = self.servers * USABLE_SLOTS
        fast = 1 - self.slow_share or 1 / SLOWNESS
        return self.pressure * slots * fast / self.work_s


@dataclass
class Tally:
    """How calls ended."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def calls(self) -> int:
        """All calls that ended."""
        return self.in_time + self.late + self.refused


class Overload:
    """One run from one seed."""

    def __init__(self, load: Load, seed: int) -> None:
        self.tally = Tally()
        self._load = load
        self._random = Random(seed)
        self._broker = Broker('vm.1', BOUNDS)
        self._broker.visible_share = 1
        self._broker.install_services({SPEC.name: SPEC})
        servers = [backend(one, slots=SLOTS) for one in range(load.servers)]
        self._broker.install_backends(servers, 0)
        self._events: list[tuple[float, int, PermitGrant | None]] = []
        self._next = 0
        self._begun = 0
        self._sent_s: dict[str, float] = {}
        self._speeds: dict[str, tuple[float, float]] = {}

    def play(self) -> Tally:
        self._schedule(0, None)
        self._arrive(0)
        while self._events:
            now_s, _, granted = heapq.heappop(self._events)
            if granted is not None:
                self._finish(granted, now_s)
            elif now_s < self._load.length_s:
                self._schedule(now_s + LOOK_S, None)
            self._carry_out(self._broker.decide(now_s), now_s)
            self._arrive(now_s)
        return self.tally

    def _schedule(self, at_s: float, granted: PermitGrant | None) -> None:
        self._next += 1
        heapq.heappush(self._events, (at_s, self._next, granted))

    def _arrive(self, now_s: float) -> None:
        """Let the calls come that are due in the time up to the next look."""
        if now_s >= self._load.length_s:
            return
        due = self._load.calls_per_s * now_s - self._begun
        for _ in range(int(due)):
            self._begun += 1
            asked = request(
                self._begun,
                now_s,
                objective_at_s=now_s + self._load.objective_s,
                deadline_at_s=now_s + self._load.deadline_s,
            )
            self._carry_out(self._broker.request(asked, now_s), now_s)

    def _carry_out(
        self,
        decisions: tuple[Decision, ...],
        now_s: float,
    ) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeRequest):
                self._probe(decision.backend.backend_id, now_s)
            elif isinstance(decision, PermitDenial):
                self.tally.refused += 1
            else:
                self._sent_s[decision.permit_id] = now_s
                self._schedule(now_s + self._work_s(decision, now_s), decision)

    def _work_s(self, granted: PermitGrant, now_s: float) -> float:
        spread = self._random.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        slowness = self._slowness(granted.backend.backend_id, now_s)
        return self._load.work_s * spread * slowness

    def _slowness(self, backend_id: str, now_s: float) -> float:
        """Return how much longer work takes now; it changes at random."""
        slowness, until_s = self._speeds.get(backend_id, (1, 0))
        if now_s >= until_s:
            is_slow = self._random.uniform(0, 1) < self._load.slow_share
            slowness = SLOWNESS if is_slow else 1
            until_s = now_s + self._random.expovariate(1 / NOISE_S)
            self._speeds[backend_id] = (slowness, until_s)
        return slowness

    def _probe(self, backend_id: str, now_s: float) -> None:
        record_probe = self._broker.record_probe(
            backend_id,
            reported_load(self._slowness(backend_id, now_s) * _PERCENT),
            now_s,
            is_healthy=True,
        )
        self._carry_out(record_probe, now_s)

    def _finish(self, granted: PermitGrant, now_s: float) -> None:
        if now_s <= granted.request.objective_at_s:
            self.tally.in_time += 1
        else:
            self.tally.late += 1
        backend_id = granted.backend.backend_id
        report = reported_load(self._slowness(backend_id, now_s) * _PERCENT)
        latency_s = now_s - self._sent_s.pop(granted.permit_id)
        finish = AttemptReport(AttemptOutcome.SUCCESS, latency_s, report)
        more = self._broker.release_permit(granted.permit_id, finish, now_s)
        self._carry_out(more, now_s)
