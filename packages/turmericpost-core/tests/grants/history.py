"""Seeded simulation of brokers with different membership views.

Three to 40 VMs with a simulated clock share the servers of one pool. Network
partitions make them disagree about which VM is the broker. Brokers restart
without state. Servers are cold, restart cold, shed calls, lose responses or
are unreachable, and probes get lost.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from tests.grants.samples import SPEC, backend, new_request
from tests.grants.sizes import draw_size
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.limits import RetryLimits
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    Decision,
    PermitDenial,
    PermitGrant,
    ProbeRequest,
    ReportedLoad,
)
from turmericpost_core.grants.visible_share import VisibleShare
from turmericpost_core.membership.domain_view import SETTLED_S
from turmericpost_core.outcome.next_step import (
    AttemptHistory,
    AttemptStatus,
    NextStep,
    next_step,
    record_attempt,
)

SERVERS = 2
STEP_S = 0.02
STEPS = 150
START_S = 100
COLD_PER_S = SPEC.cold_per_s
COLD_RATE_TOLERANCE = 1.5
COLD_BURST = 5.0
RATIO = 0.2
SLACK = 16.0
WINDOW_S = 10.0
RETRY_LIMITS = RetryLimits(RATIO, SLACK, WINDOW_S, 0.5 / 4)

ARRIVAL_PROBABILITY = 0.5
IDEMPOTENT_PROBABILITY = 0.5
PROBE_LOSS_PROBABILITY = 0.1
PARTITION_PROBABILITY = 0.03
KILL_PROBABILITY = 0.005
RESTART_PROBABILITY = 0.01

SHED_WEIGHT = 0.1

_ATTEMPT_ENDS = (
    (AttemptStatus.ANSWERED, AttemptOutcome.SUCCESS, 0.7),
    (AttemptStatus.LOST, AttemptOutcome.FAILURE, 0.12),
    (AttemptStatus.NOT_RUN, AttemptOutcome.SHED, 0),
    (AttemptStatus.NOT_SENT, AttemptOutcome.FAILURE, 0.08),
)


@dataclass
class Call:
    number: int
    vm: int
    attempt_history: AttemptHistory
    runs: int = 0
    final_step: NextStep | None = None


@dataclass
class SimulationResult:
    """Events of one simulation run, for the checks."""

    arrivals_s: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list),
    )
    cold_until_s: dict[str, float] = field(default_factory=dict)
    retries_s: list[float] = field(default_factory=list)
    calls_s: list[float] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)


class BrokerSimulation:
    """One simulation run, determined by its seed."""

    def __init__(self, seed: int) -> None:
        self.events = SimulationResult()
        self._random = Random(seed)
        self._size = draw_size(seed)
        self._vms = range(self._size.vms)
        self._now_s = START_S
        self._restarts = 0
        self._shares: dict[int, VisibleShare] = {}
        self._started_s: dict[int, float] = {}
        self._brokers = [self._new_broker(vm) for vm in self._vms]
        self._partitions = [frozenset(self._vms)] * self._size.vms
        self._in_progress: list[tuple[float, int, PermitGrant, Call]] = []
        self._pending: dict[str, Call] = {}
        for number in range(SERVERS):
            cold_s = self._random.choice((0, 1, 5))
            name = f'b{number}'
            self.events.cold_until_s[name] = self._now_s + cold_s

    def run(self) -> SimulationResult:
        for _ in range(STEPS):
            self._now_s += STEP_S
            self._inject_faults()
            self._update_visible_shares()
            if self._happens(ARRIVAL_PROBABILITY):
                self._start_call()
            self._finish_due_attempts()
            for vm, broker in enumerate(self._brokers):
                self._apply_decisions(vm, broker.decide(self._now_s))
        return self.events

    def _happens(self, share: float) -> bool:
        return self._random.uniform(0, 1) < share

    def _inject_faults(self) -> None:
        if self._happens(PARTITION_PROBABILITY):
            self._partition_vms()
        if self._happens(KILL_PROBABILITY):
            vm = self._random.randrange(self._size.vms)
            self._brokers[vm] = self._new_broker(vm)
        if self._happens(RESTART_PROBABILITY):
            number = self._random.randrange(SERVERS)
            name = f'b{number}'
            warm = self._now_s >= self.events.cold_until_s[name]
            if warm and not self.events.arrivals_s[name]:
                self.events.cold_until_s[name] = self._now_s + 3

    def _partition_vms(self) -> None:
        """Divide the VMs into partitions that can't reach each other."""
        parts = self._size.parts
        sides = [self._random.randrange(parts) for _ in self._vms]
        for vm, side in enumerate(sides):
            self._partitions[vm] = frozenset(
                other for other in self._vms if sides[other] == side
            )

    def _update_visible_shares(self) -> None:
        """Set the visible share of each broker as its VM would."""
        for vm, broker in enumerate(self._brokers):
            age_s = self._now_s - self._started_s[vm]
            current_share = (
                len(self._partitions[vm]) / self._size.vms
                if age_s >= SETTLED_S
                else 0
            )
            broker.visible_share = self._shares[vm].record(
                current_share, self._now_s
            )

    def _new_broker(self, vm: int) -> Broker:
        self._restarts += 1
        broker = Broker(f'vm{vm}.{self._restarts}', RETRY_LIMITS)
        self._shares[vm] = VisibleShare()
        self._started_s[vm] = self._now_s
        if self._now_s == START_S:
            self._started_s[vm] -= SETTLED_S
        broker.install_services({SPEC.name: SPEC})
        servers = [backend(number) for number in range(SERVERS)]
        broker.install_backends(servers, self._now_s)
        return broker

    def _start_call(self) -> None:
        is_idempotent = self._happens(IDEMPOTENT_PROBABILITY)
        call = Call(
            len(self.events.calls),
            self._random.randrange(self._size.vms),
            AttemptHistory(is_idempotent, 2),
        )
        self.events.calls.append(call)
        self.events.calls_s.append(self._now_s)
        self._request_permit(call)

    def _request_permit(self, call: Call) -> None:
        broker_vm = min(self._partitions[call.vm])
        requester = f'vm{call.vm}'
        permit_request = new_request(
            0,
            self._now_s,
            permit_request_id='.'.join(
                (
                    requester,
                    str(call.number),
                    str(call.attempt_history.attempts),
                )
            ),
            requester=requester,
            is_retry=call.attempt_history.is_retry,
        )
        self._pending[permit_request.permit_request_id] = call
        broker = self._brokers[broker_vm]
        self._apply_decisions(
            broker_vm, broker.request(permit_request, self._now_s)
        )

    def _apply_decisions(
        self, vm: int, decisions: tuple[Decision, ...]
    ) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeRequest):
                self._probe(vm, decision.backend.backend_id)
            elif isinstance(decision, PermitGrant):
                self._start_attempt(vm, decision)
            elif isinstance(decision, PermitDenial):
                self._pending.pop(decision.request.permit_request_id, None)

    def _probe(self, vm: int, backend_id: str) -> None:
        broker = self._brokers[vm]
        if self._happens(PROBE_LOSS_PROBABILITY):
            broker.record_probe_failure(backend_id, self._now_s)
            return
        next_decisions = broker.record_probe(
            backend_id,
            self._reported_load(backend_id, is_probe=True),
            self._now_s,
            is_healthy=True,
        )
        self._apply_decisions(vm, next_decisions)

    def _start_attempt(self, vm: int, grant: PermitGrant) -> None:
        call = self._pending.pop(grant.request.permit_request_id, None)
        if call is None:
            return
        end_s = self._now_s + self._random.choice((0.05, 0.2, 0.6))
        self._in_progress.append((end_s, vm, grant, call))
        if call.attempt_history.is_retry:
            self.events.retries_s.append(self._now_s)
        self.events.arrivals_s[grant.backend.backend_id].append(self._now_s)

    def _finish_due_attempts(self) -> None:
        due = [one for one in self._in_progress if one[0] <= self._now_s]
        self._in_progress = [
            one for one in self._in_progress if one[0] > self._now_s
        ]
        for _, vm, grant, call in due:
            self._finish_attempt(vm, grant, call)

    def _finish_attempt(self, vm: int, grant: PermitGrant, call: Call) -> None:
        weights = [weight or SHED_WEIGHT for _, _, weight in _ATTEMPT_ENDS]
        end, outcome, _ = self._random.choices(_ATTEMPT_ENDS, weights)[0]
        ran = end in {AttemptStatus.ANSWERED, AttemptStatus.LOST}
        call.runs += ran
        reported_load = None
        if end is AttemptStatus.ANSWERED:
            name = grant.backend.backend_id
            reported_load = self._reported_load(name, is_probe=False)
        next_decisions = self._brokers[vm].release_permit(
            grant.permit_id,
            AttemptReport(outcome, 0.2, reported_load),
            self._now_s,
        )
        self._apply_decisions(vm, next_decisions)
        call.attempt_history = record_attempt(call.attempt_history, end)
        step = next_step(call.attempt_history, end, 200)
        if step is NextStep.RETRY:
            self._request_permit(call)
        else:
            call.final_step = step

    def _reported_load(
        self, backend_id: str, *, is_probe: bool
    ) -> ReportedLoad:
        remaining_cold_s = self.events.cold_until_s[backend_id] - self._now_s
        slowness = self._random.choice((100, 100, 100, 400))
        return ReportedLoad(
            0,
            0,
            3,
            slowness,
            max(remaining_cold_s, 0) if is_probe else None,
        )


def max_count_in_window(times_s: list[float], window_s: float) -> int:
    """Return the largest count of sorted times within any window."""
    max_count = 0
    first = 0
    for last, time_s in enumerate(times_s):
        while time_s - times_s[first] > window_s:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count
