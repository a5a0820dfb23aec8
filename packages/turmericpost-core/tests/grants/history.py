"""Seeded histories of brokers in disagreeing views, on a clock of their own.

Three VMs share the servers of one pool. At times each believes that another
VM is the broker; brokers are killed and begin anew; servers are cold, turn
cold again, shed, lose answers, or can't be reached; probes get lost.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from tests.grants.samples import SPEC, backend, request
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

VMS = 3
NAMES = ('vm0', 'vm1', 'vm2')
SERVERS = 2
STEP_S = 0.02
STEPS = 150
BEGUN_S = 100
COLD_PER_S = SPEC.cold_per_s
COLD_OVER = 1.5
COLD_SLACK = 5.0
RATIO = 0.2
SLACK = 16.0
WINDOW_S = 10.0
BOUNDS = RetryLimits(RATIO, SLACK, WINDOW_S, 0.5 / 4)

ARRIVAL = 0.5
IDEMPOTENT = 0.5
PROBE_LOST = 0.1
SPLIT = 0.03
KILL = 0.005
COLD_AGAIN = 0.01

SHED_WEIGHT = 0.1

_ENDS = (
    (AttemptStatus.ANSWERED, AttemptOutcome.SUCCESS, 0.7),
    (AttemptStatus.LOST, AttemptOutcome.FAILURE, 0.12),
    (AttemptStatus.NOT_RUN, AttemptOutcome.SHED, 0),
    (AttemptStatus.NOT_SENT, AttemptOutcome.FAILURE, 0.08),
)


@dataclass
class Call:
    number: int
    vm: int
    record: AttemptHistory
    runs: int = 0
    ended_as: NextStep | None = None


@dataclass
class Outcome:
    """What a history did, for the checks."""

    arrivals_s: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list),
    )
    cold_until_s: dict[str, float] = field(default_factory=dict)
    repeats_s: list[float] = field(default_factory=list)
    calls_s: list[float] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)


class History:
    """One history from one seed."""

    def __init__(self, seed: int) -> None:
        self.outcome = Outcome()
        self._random = Random(seed)
        self._now_s = BEGUN_S
        self._restarts = 0
        self._shares: dict[int, VisibleShare] = {}
        self._begun_s: dict[int, float] = {}
        self._brokers = [self._new_broker(vm) for vm in range(VMS)]
        self._parts = [frozenset(range(VMS))] * VMS
        self._at_work: list[tuple[float, int, PermitGrant, Call]] = []
        self._asked: dict[str, Call] = {}
        for number in range(SERVERS):
            cold_s = self._random.choice((0, 1, 5))
            name = f'b{number}'
            self.outcome.cold_until_s[name] = self._now_s + cold_s

    def play(self) -> Outcome:
        for _ in range(STEPS):
            self._now_s += STEP_S
            self._disturb()
            self._share_out()
            if self._chance(ARRIVAL):
                self._arrive()
            self._finish_due()
            for vm, broker in enumerate(self._brokers):
                self._carry_out(vm, broker.decide(self._now_s))
        return self.outcome

    def _chance(self, share: float) -> bool:
        return self._random.uniform(0, 1) < share

    def _disturb(self) -> None:
        if self._chance(SPLIT):
            self._split()
        if self._chance(KILL):
            vm = self._random.randrange(VMS)
            self._brokers[vm] = self._new_broker(vm)
        if self._chance(COLD_AGAIN):
            number = self._random.randrange(SERVERS)
            name = f'b{number}'
            warm = self._now_s >= self.outcome.cold_until_s[name]
            if warm and not self.outcome.arrivals_s[name]:
                self.outcome.cold_until_s[name] = self._now_s + 3

    def _split(self) -> None:
        """Divide the VMs into parts that do not hear each other."""
        places = [self._random.randrange(2) for _ in range(VMS)]
        for vm, place in enumerate(places):
            self._parts[vm] = frozenset(
                other for other in range(VMS) if places[other] == place
            )

    def _share_out(self) -> None:
        """Give each broker the share that its VM would."""
        for vm, broker in enumerate(self._brokers):
            age_s = self._now_s - self._begun_s[vm]
            heard = len(self._parts[vm]) / VMS if age_s >= SETTLED_S else 0
            broker.visible_share = self._shares[vm].record(heard, self._now_s)

    def _new_broker(self, vm: int) -> Broker:
        self._restarts += 1
        own_name = NAMES[vm]
        start = self._restarts
        name = f'{own_name}.{start}'
        made = Broker(name, BOUNDS)
        self._shares[vm] = VisibleShare()
        self._begun_s[vm] = self._now_s
        if self._now_s == BEGUN_S:
            self._begun_s[vm] -= SETTLED_S
        made.install_services({SPEC.name: SPEC})
        servers = [backend(number) for number in range(SERVERS)]
        made.install_backends(servers, self._now_s)
        return made

    def _arrive(self) -> None:
        is_idempotent = self._chance(IDEMPOTENT)
        call = Call(
            len(self.outcome.calls),
            self._random.randrange(VMS),
            AttemptHistory(is_idempotent, 2),
        )
        self.outcome.calls.append(call)
        self.outcome.calls_s.append(self._now_s)
        self._ask(call)

    def _ask(self, call: Call) -> None:
        broker_vm = min(self._parts[call.vm])
        requester = f'vm{call.vm}'
        wish = request(
            0,
            self._now_s,
            permit_request_id='.'.join(
                (requester, str(call.number), str(call.record.attempts))
            ),
            requester=requester,
            is_retry=call.record.is_retry,
        )
        self._asked[wish.permit_request_id] = call
        broker = self._brokers[broker_vm]
        self._carry_out(broker_vm, broker.request(wish, self._now_s))

    def _carry_out(self, vm: int, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeRequest):
                self._probe(vm, decision.backend.backend_id)
            elif isinstance(decision, PermitGrant):
                self._send(vm, decision)
            elif isinstance(decision, PermitDenial):
                self._asked.pop(decision.request.permit_request_id, None)

    def _probe(self, vm: int, backend_id: str) -> None:
        broker = self._brokers[vm]
        if self._chance(PROBE_LOST):
            broker.record_probe_failure(backend_id, self._now_s)
            return
        more = broker.record_probe(
            backend_id,
            self._figures(backend_id, is_probe=True),
            self._now_s,
            is_healthy=True,
        )
        self._carry_out(vm, more)

    def _send(self, vm: int, granted: PermitGrant) -> None:
        call = self._asked.pop(granted.request.permit_request_id, None)
        if call is None:
            return
        end_s = self._now_s + self._random.choice((0.05, 0.2, 0.6))
        self._at_work.append((end_s, vm, granted, call))
        if call.record.is_retry:
            self.outcome.repeats_s.append(self._now_s)
        self.outcome.arrivals_s[granted.backend.backend_id].append(self._now_s)

    def _finish_due(self) -> None:
        due = [one for one in self._at_work if one[0] <= self._now_s]
        self._at_work = [one for one in self._at_work if one[0] > self._now_s]
        for _, vm, granted, call in due:
            self._finish(vm, granted, call)

    def _finish(self, vm: int, granted: PermitGrant, call: Call) -> None:
        weights = [weight or SHED_WEIGHT for _, _, weight in _ENDS]
        end, outcome, _ = self._random.choices(_ENDS, weights)[0]
        ran = end in {AttemptStatus.ANSWERED, AttemptStatus.LOST}
        call.runs += ran
        reported_load = None
        if end is AttemptStatus.ANSWERED:
            name = granted.backend.backend_id
            reported_load = self._figures(name, is_probe=False)
        more = self._brokers[vm].release_permit(
            granted.permit_id,
            AttemptReport(outcome, 0.2, reported_load),
            self._now_s,
        )
        self._carry_out(vm, more)
        call.record = record_attempt(call.record, end)
        step = next_step(call.record, end, 200)
        if step is NextStep.RETRY:
            self._ask(call)
        else:
            call.ended_as = step

    def _figures(self, backend_id: str, *, is_probe: bool) -> ReportedLoad:
        left_s = self.outcome.cold_until_s[backend_id] - self._now_s
        slowness = self._random.choice((100, 100, 100, 400))
        return ReportedLoad(
            0,
            0,
            3,
            slowness,
            max(left_s, 0) if is_probe else None,
        )


def most_within(times_s: list[float], window_s: float) -> int:
    """Return the largest number of times in any window of a length."""
    most = 0
    first = 0
    for last, time_s in enumerate(times_s):
        while time_s - times_s[first] > window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
