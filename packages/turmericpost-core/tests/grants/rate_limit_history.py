"""Seeded simulation of brokers that keep the rate limits of servers.

Three to 40 VMs with a simulated clock share two servers that state rate limits.
The views of the VMs differ at times, brokers restart without state, and messages
with limits get lost. Each VM passes the limits that it knows to the broker
that it sends a request to.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from tests.grants.history import max_count_in_window
from tests.grants.samples import (
    RETRY_LIMITS,
    SPEC,
    backend,
    new_request,
    reported_load,
)
from tests.grants.sizes import draw_size
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    Decision,
    PermitGrant,
    ProbeRequest,
)
from turmericpost_core.grants.rate_limits import (
    RateLimitStatement,
    RateLimitTable,
    instance_of,
    pool_of,
)
from turmericpost_core.grants.visible_share import VisibleShare
from turmericpost_core.membership.domain_view import SETTLED_S

SERVERS = 2
STEP_S = 0.02
STEPS = 700
START_S = 100.0
WINDOW_S = 4.0
TOLERANCE = 1.5
BURST = 5
TOLD_S = 0.5
ARRIVAL_PROBABILITY = 0.5
MESSAGE_LOSS_PROBABILITY = 0.05
PARTITION_PROBABILITY = 0.01
RESTART_PROBABILITY = 0.003


@dataclass
class RateLimitEvents:
    """Attempts at each server by VMs that knew of its limit for a while."""

    limits: dict[int, float] = field(default_factory=dict)
    attempts_s: dict[int, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def exceeds_a_limit(self) -> bool:
        return any(
            max_count_in_window(attempts_s, WINDOW_S)
            > TOLERANCE * self.limits[server] * WINDOW_S + BURST
            for server, attempts_s in self.attempts_s.items()
        )


class RateLimitSimulation:
    """One simulation run, determined by its seed."""

    def __init__(self, seed: int) -> None:
        self.events = RateLimitEvents()
        self._random = Random(seed)
        self._size = draw_size(seed)
        self._vms = range(self._size.vms)
        self._now_s = START_S
        self._shares = [VisibleShare() for _ in self._vms]
        self._started_s = [START_S - SETTLED_S] * self._size.vms
        self._brokers = [self._new_broker(vm) for vm in self._vms]
        self._sides = [0] * self._size.vms
        self._told_s: dict[tuple[int, int], float] = {}
        self._in_flight: list[tuple[float, int, int, PermitGrant]] = []
        self._calls = 0
        for server in range(SERVERS):
            self.events.limits[server] = self._random.choice((0, 1, 2, 5, 12))

    def run(self) -> RateLimitEvents:
        for _ in range(STEPS):
            self._now_s += STEP_S
            self._inject_faults()
            self._update_views()
            if self._happens(ARRIVAL_PROBABILITY):
                self._send_call(self._random.randrange(self._size.vms))
            self._finish_due_attempts()
            for vm, broker in enumerate(self._brokers):
                self._apply(vm, broker.decide(self._now_s))
        return self.events

    def _happens(self, share: float) -> bool:
        return self._random.uniform(0, 1) < share

    def _inject_faults(self) -> None:
        if self._happens(PARTITION_PROBABILITY):
            parts = self._size.parts
            self._sides = [self._random.randrange(parts) for _ in self._vms]
        if self._happens(RESTART_PROBABILITY):
            self._restart(self._random.randrange(self._size.vms))

    def _restart(self, vm: int) -> None:
        self._shares[vm] = VisibleShare()
        self._started_s[vm] = self._now_s
        self._brokers[vm] = self._new_broker(vm)
        self._in_flight = [one for one in self._in_flight if one[1] != vm]
        for server in range(SERVERS):
            self._told_s.pop((vm, server), None)

    def _update_views(self) -> None:
        for vm, broker in enumerate(self._brokers):
            share = self._sides.count(self._sides[vm]) / self._size.vms
            if self._now_s - self._started_s[vm] < SETTLED_S:
                share = 0
            broker.visible_share = self._shares[vm].record(share, self._now_s)

    def _new_broker(self, vm: int) -> Broker:
        broker = Broker(f'vm{vm}.{self._now_s}', RETRY_LIMITS)
        broker.install_services({SPEC.name: SPEC})
        servers = [backend(number) for number in range(SERVERS)]
        broker.install_backends(servers, self._now_s)
        return broker

    def _broker_of(self, vm: int) -> int:
        return self._sides.index(self._sides[vm])

    def _send_call(self, vm: int) -> None:
        self._calls += 1
        broker_vm = self._broker_of(vm)
        self._pass_on_limits(vm, broker_vm)
        request = new_request(
            0,
            self._now_s,
            permit_request_id=f'vm{vm}.{self._calls}',
            requester=f'vm{vm}',
        )
        broker = self._brokers[broker_vm]
        self._apply(broker_vm, broker.request(request, self._now_s))

    def _pass_on_limits(self, vm: int, broker_vm: int) -> None:
        if vm == broker_vm or self._happens(MESSAGE_LOSS_PROBABILITY):
            return
        pool = pool_of(backend(0))
        known = self._table(vm).in_force(pool)
        for instance, statement in known.items():
            self._table(broker_vm).record(pool, instance, statement)

    def _table(self, vm: int) -> RateLimitTable:
        return self._brokers[vm].rate_limits

    def _apply(self, vm: int, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeRequest):
                next_decisions = self._brokers[vm].record_probe(
                    decision.backend.backend_id,
                    reported_load(),
                    self._now_s,
                    is_healthy=True,
                )
                self._apply(vm, next_decisions)
            elif isinstance(decision, PermitGrant):
                self._start_attempt(vm, decision)

    def _start_attempt(self, broker_vm: int, grant: PermitGrant) -> None:
        vm = int(grant.request.requester.removeprefix('vm'))
        if self._sides[vm] != self._sides[broker_vm]:
            return
        server = int(grant.backend.backend_id.removeprefix('b'))
        told_s = self._told_s.get((vm, server), float('inf'))
        if self._now_s - told_s >= TOLD_S:
            self.events.attempts_s[server].append(self._now_s)
        end_s = self._now_s + self._random.choice((0.05, 0.2, 0.6))
        self._in_flight.append((end_s, vm, broker_vm, grant))

    def _finish_due_attempts(self) -> None:
        due = [one for one in self._in_flight if one[0] <= self._now_s]
        self._in_flight = [
            one for one in self._in_flight if one[0] > self._now_s
        ]
        for _, vm, broker_vm, grant in due:
            self._finish_attempt(vm, broker_vm, grant)

    def _finish_attempt(
        self, vm: int, broker_vm: int, grant: PermitGrant
    ) -> None:
        server = int(grant.backend.backend_id.removeprefix('b'))
        statement = RateLimitStatement(self.events.limits[server], self._now_s)
        self._told_s.setdefault((vm, server), self._now_s)
        pool = pool_of(grant.backend)
        instance = instance_of(grant.backend)
        self._table(vm).record(pool, instance, statement)
        self._pass_on_limits(vm, broker_vm)
        report = AttemptReport(AttemptOutcome.SUCCESS, 0.2, reported_load())
        self._apply(
            broker_vm,
            self._brokers[broker_vm].release_permit(
                grant.permit_id, report, self._now_s
            ),
        )
