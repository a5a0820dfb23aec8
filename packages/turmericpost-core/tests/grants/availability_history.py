"""Seeded simulation of VMs and servers that leave or ask for pauses.

Three to 40 VMs share two servers. Each VM has a clock of its own, a table of what
servers stated to it, and a broker; at times a VM uses the broker of another one,
which may know nothing. Servers start again under the same id, and addresses go
to other servers. Responses are lost, doubled or late, permits are used late,
VMs restart, and statements that are passed on get lost.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from random import Random
from typing import TypeAlias

from tests.grants.samples import (
    RETRY_LIMITS,
    SPEC,
    backend,
    new_request,
    reported_load,
)
from tests.grants.sizes import draw_size
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    Decision,
    PermitGrant,
    ProbeRequest,
)
from turmericpost_core.grants.rate_limits import (
    BackendInstance,
    instance_of,
    pool_of,
)

SERVERS = 2
STEP_S = 0.05
STEPS = 80
START_S = 100.0
DRAIN_S = 2.0
SLACK_S = 0.5
MAX_IN_PAUSE = 2
ARRIVAL_PROBABILITY = 0.7
LOSS_PROBABILITY = 0.1
DOUBLE_PROBABILITY = 0.1
LEAVE_PROBABILITY = 0.01
PAUSE_PROBABILITY = 0.03
START_PROBABILITY = 0.01
VM_RESTART_PROBABILITY = 0.005
FOREIGN_BROKER_PROBABILITY = 0.3


Target: TypeAlias = tuple[int, int, BackendInstance]
"""VM, number of its life, and life of a server."""


@dataclass(frozen=True)
class Told:
    """A statement that reached a VM about one life of a server."""

    vm: int
    vm_life: int
    life: BackendInstance
    told_s: float
    pause_s: float | None


@dataclass(frozen=True)
class SentRequest:
    """A request or probe that a VM sent to one life of a server."""

    vm: int
    vm_life: int
    life: BackendInstance
    sent_s: float


class AvailabilitySimulation:
    """One simulation run, determined by its seed.

    ``told`` lists the statements that reached VMs, ``arrivals`` all requests
    and probes.
    """

    def __init__(self, seed: int) -> None:
        self.told: list[Told] = []
        self.arrivals: list[SentRequest] = []
        self._random = Random(seed)
        self._now_s = START_S
        self._vms = range(draw_size(seed).vms)
        self._skews_s = [self._random.uniform(-50, 50) for _ in self._vms]
        self._vm_lives = [0 for _ in self._vms]
        self._servers = [backend(number) for number in range(SERVERS)]
        self._leaving: set[tuple[str, int]] = set()
        self._pauses_s: dict[tuple[str, int], float] = {}
        self._brokers = [self._new_broker(vm) for vm in self._vms]
        self._in_flight: list[tuple[float, int, int, PermitGrant]] = []
        self._delayed: list[tuple[float, int, int, PermitGrant]] = []
        self._calls = 0

    def run(self) -> None:
        for _ in range(STEPS):
            self._now_s += STEP_S
            self._inject_faults()
            for vm in self._vms:
                if self._happens(ARRIVAL_PROBABILITY):
                    self._send_call(vm)
            self._use_delayed_permits()
            self._finish_due()
            for vm, broker in enumerate(self._brokers):
                self._apply(vm, broker.decide(self._clock_s(vm)))
                broker.forget_old_requests(self._clock_s(vm))

    def _happens(self, share: float) -> bool:
        return self._random.uniform(0, 1) < share

    def _clock_s(self, vm: int) -> float:
        return self._now_s + self._skews_s[vm]

    def _new_broker(self, vm: int) -> Broker:
        broker = Broker(f'vm{vm}.{self._now_s}', RETRY_LIMITS)
        broker.visible_share = 1
        broker.install_services({SPEC.name: SPEC})
        broker.install_backends(self._servers, self._clock_s(vm))
        return broker

    def _inject_faults(self) -> None:
        for number, server in enumerate(self._servers):
            if self._happens(LEAVE_PROBABILITY):
                self._leaving.add(instance_of(server))
            if self._happens(PAUSE_PROBABILITY):
                pause_s = self._random.choice((0.3, 1, 2.5))
                self._pauses_s[instance_of(server)] = pause_s
            elif self._happens(2 * PAUSE_PROBABILITY):
                self._pauses_s.pop(instance_of(server), None)
            if self._happens(START_PROBABILITY):
                self._start_server(number)
        if self._happens(VM_RESTART_PROBABILITY):
            vm = self._random.choice(self._vms)
            self._vm_lives[vm] += 1
            self._brokers[vm] = self._new_broker(vm)
            self._in_flight = [one for one in self._in_flight if one[1] != vm]
            self._delayed = [one for one in self._delayed if one[1] != vm]

    def _start_server(self, number: int) -> None:
        """Start a server again, or another one at its address."""
        known = self._servers[number]
        started_ms = known.started_ms + 1
        changes: dict[str, object] = {'started_ms': started_ms}
        if self._happens(0.5):
            changes['backend_id'] = f'b{number}.{started_ms}'
        self._servers[number] = backend(number, **changes)
        for vm, broker in enumerate(self._brokers):
            broker.install_backends(self._servers, self._clock_s(vm))

    def _send_call(self, vm: int) -> None:
        self._calls += 1
        is_foreign = self._happens(FOREIGN_BROKER_PROBABILITY)
        broker_vm = self._random.choice(self._vms) if is_foreign else vm
        now_s = self._clock_s(broker_vm)
        request = new_request(
            0,
            now_s,
            permit_request_id=f'vm{vm}.{self._calls}',
            requester=f'vm{vm}',
        )
        self._apply(broker_vm, self._brokers[broker_vm].request(request, now_s))

    def _apply(self, broker_vm: int, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeRequest):
                self._probe(broker_vm, decision.backend)
            elif isinstance(decision, PermitGrant):
                vm = int(decision.request.requester.removeprefix('vm'))
                use_s = self._now_s + self._random.choice((0, 0, 0.1, 0.4))
                self._delayed.append((use_s, vm, broker_vm, decision))

    def _probe(self, vm: int, server: Backend) -> None:
        self._record_arrival(vm, server)
        broker = self._brokers[vm]
        if self._happens(LOSS_PROBABILITY):
            broker.record_probe_failure(server.backend_id, self._clock_s(vm))
            return
        self._state(vm, server)
        broker.record_probe(
            server.backend_id,
            reported_load(),
            self._clock_s(vm),
            is_healthy=instance_of(server) not in self._pauses_s,
        )

    def _use_delayed_permits(self) -> None:
        due = [one for one in self._delayed if one[0] <= self._now_s]
        self._delayed = [one for one in self._delayed if one[0] > self._now_s]
        for _, vm, broker_vm, grant in due:
            table = self._brokers[vm].availability
            if table.may_send(grant.backend, self._clock_s(vm)):
                self._send(vm, broker_vm, grant)
            else:
                self._report(broker_vm, grant, AttemptOutcome.UNUSED)

    def _send(self, vm: int, broker_vm: int, grant: PermitGrant) -> None:
        if grant.backend not in self._servers:
            self._report(broker_vm, grant, AttemptOutcome.GONE)
            return
        self._record_arrival(vm, grant.backend)
        end_s = self._now_s
        if instance_of(grant.backend) not in self._pauses_s:
            end_s += self._random.choice((0.05, 0.3))
        self._in_flight.append((end_s, vm, broker_vm, grant))

    def _finish_due(self) -> None:
        due = [one for one in self._in_flight if one[0] <= self._now_s]
        self._in_flight = [
            one for one in self._in_flight if one[0] > self._now_s
        ]
        for _, vm, broker_vm, grant in due:
            if self._happens(LOSS_PROBABILITY):
                self._report(broker_vm, grant, AttemptOutcome.FAILURE)
                continue
            self._state(vm, grant.backend)
            if self._happens(DOUBLE_PROBABILITY):
                self._state(vm, grant.backend)
            is_paused = instance_of(grant.backend) in self._pauses_s
            outcome = (
                AttemptOutcome.SHED if is_paused else AttemptOutcome.SUCCESS
            )
            if not self._happens(LOSS_PROBABILITY):
                self._pass_on(vm, broker_vm, grant.backend)
            self._report(broker_vm, grant, outcome)

    def _state(self, vm: int, server: Backend) -> None:
        """Let the response of a server reach a VM."""
        life = instance_of(server)
        table = self._brokers[vm].availability
        now_s = self._clock_s(vm)
        told = (vm, self._vm_lives[vm], life, self._now_s)
        if life in self._leaving:
            table.record_leaving(pool_of(server), life, now_s)
            self.told.append(Told(*told, None))
        pause_s = self._pauses_s.get(life)
        if pause_s is not None:
            table.record_pause(pool_of(server), life, now_s, pause_s)
            self.told.append(Told(*told, pause_s))

    def _pass_on(self, vm: int, broker_vm: int, server: Backend) -> None:
        now_s = self._clock_s(vm)
        stated = self._brokers[vm].availability.in_force(server, now_s)
        if stated is None or vm == broker_vm:
            return
        table = self._brokers[broker_vm].availability
        key = (pool_of(server), instance_of(server))
        broker_now_s = self._clock_s(broker_vm)
        stated_s = broker_now_s - (now_s - stated.stated_s)
        if stated.is_leaving:
            table.record_leaving(*key, stated_s)
        else:
            pause_s = stated.usable_from_s - stated.stated_s
            table.record_pause(*key, stated_s, pause_s)

    def _report(
        self, broker_vm: int, grant: PermitGrant, outcome: AttemptOutcome
    ) -> None:
        report = AttemptReport(outcome, 0.2, reported_load())
        broker = self._brokers[broker_vm]
        self._apply(
            broker_vm,
            broker.release_permit(
                grant.permit_id, report, self._clock_s(broker_vm)
            ),
        )

    def _record_arrival(self, vm: int, server: Backend) -> None:
        self.arrivals.append(
            SentRequest(
                vm, self._vm_lives[vm], instance_of(server), self._now_s
            )
        )


def sent_after_leaving(simulation: AvailabilitySimulation) -> bool:
    """Return whether a VM sent a request too long after a server's leaving."""
    first_s: dict[Target, float] = {}
    for told in simulation.told:
        if told.pause_s is None:
            key = (told.vm, told.vm_life, told.life)
            first_s.setdefault(key, told.told_s)
    return any(
        sent.sent_s
        > first_s.get((sent.vm, sent.vm_life, sent.life), float('inf'))
        + DRAIN_S
        for sent in simulation.arrivals
    )


def sent_in_a_pause(simulation: AvailabilitySimulation) -> bool:
    """Return whether a VM sent more than two requests within a pause."""
    sent_s: dict[Target, list[float]]
    sent_s = defaultdict(list)
    for sent in simulation.arrivals:
        sent_s[sent.vm, sent.vm_life, sent.life].append(sent.sent_s)
    for told in simulation.told:
        if told.pause_s is None:
            continue
        key = (told.vm, told.vm_life, told.life)
        within = [
            one_s
            for one_s in sent_s[key]
            if told.told_s + SLACK_S < one_s < told.told_s + told.pause_s
        ]
        if len(within) > MAX_IN_PAUSE:
            return True
    return False
