"""Seeded simulation of cold servers in domains of up to 40 VMs.

Every VM has the product's view, broker, visible share and rules of leadership.
VMs hear each other over a network with cuts of one direction and any number of
parts, and are killed and paused; servers start cold, with and without notice.
Arrivals are counted at the servers, over all VMs. In the last seconds nothing
disturbs the VMs any more, and calls must end and reach cold servers.

By hand: ``python -m tests.grants.domain_history FIRST COUNT``.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from time import perf_counter
from typing import Any

from tests.grants.domain_client import Call
from tests.grants.domain_events import (
    START_S,
    EventQueue,
    LinkQuality,
    Network,
    draw_link_quality,
)
from tests.grants.domain_servers import (
    ColdPeriod,
    ServerManners,
    SimulatedServer,
)
from tests.grants.domain_vm import SimulatedVm
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.fleet.operator_config import ServiceSpec
from turmericpost_core.grants.limits import PROBE_TIMEOUT_S
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    PermitGrant,
    Pool,
)
from turmericpost_core.membership.domain_view import (
    SETTLED_S,
    DomainDigest,
    Vm,
    VmReadiness,
)
from turmericpost_core.membership.ring import rendezvous_owners

MAX_VMS = 40
SMALL_DOMAIN_VMS = 12
TOLERANCE = 1.5
SMALL_SLACK = 5
LARGE_SLACK = 8
FAULTS_END_S = START_S + 10
CALM_FROM_S = START_S + 15
END_S = START_S + 20
LAST_MOMENT_S = START_S + 4
FAULT_SPREAD_S = 1.5
BUSIEST_POOL_SHARE = 0.6
MAX_FIRST = 6
FIRST_CALLERS_PROBABILITY = 0.2
MAX_DISCOVERY_S = 1.9
MAX_NOTICE_S = 1.5
MIN_CALLS_TO_COLD = 20
"""Calls in the calm time from which a cold pool must have had an attempt."""

DRAIN_S = 3.0
"""Time after the last call in which the calls end."""

_SERVICES = ('press', 'proof')
_VM_COUNTS = ((1, 3), (2, 8), (8, 16), (12, MAX_VMS), (30, MAX_VMS))
FAULT_COUNTS = (0, 1, 2, 4, 4, 8)
_PACES_PER_S = (2.9, 3.0, 5.0, 9.0)


@dataclass(frozen=True)
class ColdRateBreak:
    """More arrivals at a cold server within a second than it tolerates."""

    backend_id: str
    arrivals: int
    bound: float


@dataclass(frozen=True)
class Demand:
    """Calls of a run: single ones, and bursts of one service."""

    calls_per_s: float
    bursts_per_s: float
    max_burst: int
    cancel_probability: float
    foreign_probability: float


class DomainHistory:
    """One simulation run, determined by its seed.

    ``plays_hard_faults`` adds leaders that nobody hears, and servers that start
    cold again and again without notice.
    """

    def __init__(self, seed: int, *, plays_hard_faults: bool = False) -> None:
        self.plays_hard_faults = plays_hard_faults
        self.random = Random(seed)
        self.events = EventQueue()
        self.calls: list[Call] = []
        self.faults: list[tuple[float, str]] = []
        self.servers: dict[str, SimulatedServer] = {}
        self.is_cold_at_end = self.happens(0.5)
        self.vm_lives: dict[str, SimulatedVm] = {}
        self._lost_calls: set[int] = set()
        self._callers: dict[int, SimulatedVm] = {}
        self._silent_digests: set[str] = set()
        self._link_quality = draw_link_quality(self.random)
        self._draw_sizes()
        self.network = Network(self._vms)
        self._draw_services()
        self._draw_demand()
        self._start_vms()
        self._schedule()

    @property
    def now_s(self) -> float:
        return self.events.now_s

    @property
    def domains(self) -> tuple[str, ...]:
        return tuple(self.names_by_domain)

    @property
    def slack(self) -> int:
        """Arrivals over the pace that the deployment's size allows."""
        largest = max(map(len, self.names_by_domain.values()))
        return LARGE_SLACK if largest > SMALL_DOMAIN_VMS else SMALL_SLACK

    def run(self) -> DomainHistory:
        self.events.run_until(END_S + DRAIN_S)
        return self

    def cold_rate_breaks(self) -> list[ColdRateBreak]:
        """Return the worst second of every server that got too much."""
        return [one for one in self.worst_seconds() if one.arrivals > one.bound]

    def worst_seconds(self) -> list[ColdRateBreak]:
        """Return the worst second of every server."""
        worst = []
        for name, server in self.servers.items():
            pace_per_s = self.services[server.registration.service].cold_per_s
            arrivals = max(
                map(ColdPeriod.max_in_a_second, server.cold_periods),
                default=0,
            )
            bound = pace_per_s * TOLERANCE + self.slack
            worst.append(ColdRateBreak(name, arrivals, bound))
        return worst

    def late_calls(self) -> list[int]:
        """Return the calls of the calm time that got no decision in time."""
        return [
            call.number
            for call in self.calls
            if call.arrived_s > CALM_FROM_S
            and call.number not in self._lost_calls
            and (call.is_timed_out or call.ended_s is None)
        ]

    def unused_pools(self) -> list[tuple[str, str]]:
        """Return cold pools with calls but no attempt in the calm time."""
        if not self.is_cold_at_end:
            return []
        return [
            (service, domain)
            for service in self.services
            for domain in self.domains
            if self._calm_calls(service, domain) >= MIN_CALLS_TO_COLD
            and not self._calm_arrivals(service, domain)
        ]

    def call_later(
        self,
        vm: SimulatedVm,
        delay_s: float,
        action: Callable[..., None],
        *details: Any,
    ) -> None:
        """Run an action of a VM, after a pause of it, unless it is killed."""
        self.events.call_later(delay_s, self._run_action, vm, action, details)

    def post(
        self, sender: str, receiver: str, method: str, *details: Any
    ) -> None:
        """Send a message unless the network or chance drops it."""
        if receiver not in self.network.reached_by(sender):
            return
        if method == 'digest_received' and receiver in self._silent_digests:
            return
        delay_s = self._link_quality.delay_s(self.random)
        if delay_s is not None:
            self.events.call_later(
                delay_s, self._deliver, receiver, method, (sender, *details)
            )

    def post_heartbeats(
        self, sender: SimulatedVm, held: Mapping[str, Mapping[str, str]]
    ) -> None:
        """Send a heartbeat to all others, in two groups with own delays."""
        reached = self.network.reached_by(sender.name)
        own = sender.view.own
        names = [
            vm.name
            for vm in sender.view.heartbeat_targets(own.failure_domain)
            if vm.name in reached
        ]
        split = self.random.randint(0, len(names))
        for group in (names[:split], names[split:]):
            delay_s = self._link_quality.delay_s(self.random)
            if delay_s is not None and group:
                self.events.call_later(
                    delay_s, self._deliver_heartbeats, own, group, held
                )

    def send_attempt(
        self, vm: SimulatedVm, grant: PermitGrant, call: Call
    ) -> None:
        """Let an attempt arrive at its server after a drawn delay."""
        delay_s = self.random.choice((0.002, 0.01, 0.05))
        self.events.call_later(delay_s, self._attempt_arrives, vm, grant, call)

    def send_probe(self, vm: SimulatedVm, backend: Backend) -> None:
        """Let a probe reach its server and its response come back."""
        delay_s = self._link_quality.delay_s(self.random)
        if delay_s is None or delay_s > PROBE_TIMEOUT_S / 2:
            self.call_later(
                vm, PROBE_TIMEOUT_S, vm.probe_ended, backend.backend_id, None
            )
        else:
            self.events.call_later(
                delay_s, self._probe_arrives, vm, backend.backend_id, delay_s
            )

    def draw_pool(self) -> Pool:
        """Return the busiest pool or any."""
        if self.happens(BUSIEST_POOL_SHARE):
            return self._busiest_pool
        service = self.random.choice(list(self.services))
        return service, self.random.choice(self.domains)

    def first_in_rank(self, pool: Pool) -> list[str]:
        """Return some of the first VMs in rank for a pool, the leader first."""
        service, domain = pool
        names = self.names_by_domain[domain]
        count = self.random.randint(1, min(len(names), MAX_FIRST))
        subject = f'{service}@{domain}'
        return list(rendezvous_owners(subject, names, count))

    def happens(self, probability: float) -> bool:
        return self.random.uniform(0, 1) < probability

    def pause(self, name: str, pause_s: float) -> None:
        vm = self.vm_lives[name]
        vm.paused_until_s = max(vm.paused_until_s, self.now_s + pause_s)

    def kill(self, name: str, down_s: float) -> None:
        """End a VM, which starts again without state."""
        vm = self.vm_lives[name]
        if not vm.is_running:
            return
        vm.is_running = False
        self._lost_calls.update(
            number for number, caller in self._callers.items() if caller is vm
        )
        self.events.call_later(down_s, self._start_again, name)

    def restart_servers(self, domain: str, *, is_noticed: bool) -> None:
        """Restart all or one of the servers of a domain; they are cold then."""
        servers = [
            server
            for server in self.servers.values()
            if server.registration.failure_domain == domain
        ]
        if self.happens(0.5):
            servers = [self.random.choice(servers)]
        down_s = self.random.choice((0.3, 0.5, 1.0, 2.0))
        for server in servers:
            self.restart_server(server, down_s, is_noticed=is_noticed)

    def restart_server(
        self, server: SimulatedServer, down_s: float, *, is_noticed: bool
    ) -> None:
        cold_s = self.random.choice((2.0, 5.0, 20.0))
        server.restart(self.now_s, down_s, cold_s)
        if is_noticed:
            backend = server.register_start(cold_s)
            max_notice_s = self.random.choice((0.1, MAX_NOTICE_S))
            for vm in self.vm_lives.values():
                delay_s = down_s + self.random.uniform(0.01, max_notice_s)
                self.call_later(vm, delay_s, vm.install, backend)

    def silence_digests(self) -> None:
        """Let some VMs receive no digests."""
        names = list(self._vms)
        count = self.random.randint(1, len(names))
        self._silent_digests.update(self.random.sample(names, count))

    def heal(self) -> None:
        self.network.heal()
        self._silent_digests.clear()

    def _draw_sizes(self) -> None:
        self.names_by_domain: dict[str, tuple[str, ...]] = {}
        for number in range(self.random.choice((1, 1, 1, 2, 3, 4))):
            domain = f'domain{number}'
            count = self.random.randint(*self.random.choice(_VM_COUNTS))
            self.names_by_domain[domain] = tuple(
                f'd{number}vm{one}' for one in range(count)
            )
        self._vms = {
            name: Vm(name, name, 1, name, domain, 'region', 1)
            for domain, names in self.names_by_domain.items()
            for name in names
        }

    def _draw_services(self) -> None:
        count = self.random.randint(1, len(_SERVICES))
        self.services = {
            name: ServiceSpec(
                name, '/health', 260, 20, self.random.choice(_PACES_PER_S)
            )
            for name in _SERVICES[:count]
        }
        manners = ServerManners(
            self.random.choice((0.02, 0.1, 0.3)),
            self.random.choice((0, 0, 0.1, 0.6)),
            self.happens(0.5),
        )
        slots = self.random.choice((3, 10, 40))
        for service in self.services:
            for domain in self.domains:
                for number in range(self.random.choice((1, 1, 2, 3))):
                    name = f'{service}.{domain}.{number}'
                    backend = Backend(
                        name, service, name, 1, domain, slots, False, 0, 1
                    )
                    self.servers[name] = SimulatedServer(backend, manners)

    def _draw_demand(self) -> None:
        self._busiest_pool = (
            self.random.choice(list(self.services)),
            self.random.choice(self.domains),
        )
        calls_per_s = self.random.choice((10.0, 30.0, 80.0))
        max_burst = self.random.choice((5, 20, 60))
        self.demand = Demand(
            calls_per_s,
            self.random.choice((5.0, 30.0, 60.0)) / max_burst,
            max_burst,
            self.random.choice((0, 0.1, 0.4)),
            self.random.choice((0, 0.2, 0.5)),
        )

    def _start_vms(self) -> None:
        """Start VMs that have known each other for a while."""
        now_s = self.now_s
        for own in self._vms.values():
            vm = self._new_life(own, now_s - SETTLED_S)
            vm.view.add_known_vms(self._vms.values(), now_s)
            for other in self._vms.values():
                if other.failure_domain == own.failure_domain:
                    vm.view.record_heartbeat(other, VmReadiness.READY, now_s)
            for domain, names in self.names_by_domain.items():
                members = tuple(
                    (self._vms[name], VmReadiness.READY) for name in names
                )
                vm.view.record_digest(DomainDigest(domain, now_s, members))
            vm.view.update_liveness(now_s)
            vm.start(self.random.uniform(0, 0.25))

    def _new_life(self, own: Vm, started_s: float) -> SimulatedVm:
        vm = SimulatedVm(own, self, self.services, started_s)
        vm.install_registry(
            {name: server.registration for name, server in self.servers.items()}
        )
        self.vm_lives[own.name] = vm
        return vm

    def _start_again(self, name: str) -> None:
        """Start a VM without state; it reads the list of VMs from the store."""
        known = self._vms[name]
        own = Vm(
            name,
            name,
            1,
            name,
            known.failure_domain,
            known.region,
            known.started_ms + 1,
        )
        self._vms[name] = own
        vm = self._new_life(own, self.now_s)
        vm.start(0.01)
        discovery_s = self.random.uniform(0.02, MAX_DISCOVERY_S)
        self.call_later(vm, discovery_s, self._discover, vm)

    def _discover(self, vm: SimulatedVm) -> None:
        vm.view.add_known_vms(self._vms.values(), self.now_s)
        self.post_heartbeats(vm, {})

    def _schedule(self) -> None:
        """Schedule the faults and the calls."""
        faults = FaultPlan(self)
        moments_s = [
            self.random.uniform(START_S, LAST_MOMENT_S)
            for _ in range(self.random.randint(1, 3))
        ]
        for _ in range(self.random.choice(FAULT_COUNTS)):
            time_s = self.random.choice(moments_s)
            time_s += self.random.uniform(0, FAULT_SPREAD_S)
            self.events.call_at(time_s, faults.inject_one)
        if self.happens(0.8):
            self.events.call_later(
                self.random.uniform(0, 1), self._restart_all_servers
            )
        self.events.call_at(FAULTS_END_S, self._end_faults)
        if self.is_cold_at_end:
            self.events.call_at(CALM_FROM_S - 0.5, self._restart_all_servers)
        self.events.call_later(0, self._next_call)
        self.events.call_later(0, self._next_burst)

    def _end_faults(self) -> None:
        """Let every message arrive, and in time."""
        self.heal()
        self._link_quality = LinkQuality(self._link_quality.usual_delay_s)

    def _restart_all_servers(self) -> None:
        for server in self.servers.values():
            server.restart(self.now_s, 0.3, END_S - self.now_s + DRAIN_S)
            backend = server.register_start(20)
            for vm in self.vm_lives.values():
                delay_s = self.random.uniform(0.01, 0.3)
                self.call_later(vm, delay_s, vm.install, backend)

    def _next_call(self) -> None:
        if self.now_s < END_S:
            service, domain = self.draw_pool()
            names: Sequence[str] = self.names_by_domain[domain]
            if self.happens(self.demand.foreign_probability):
                names = list(self._vms)
            self._start_call(self.random.choice(names), service, domain)
            pause_s = self.random.expovariate(self.demand.calls_per_s)
            self.events.call_later(pause_s, self._next_call)

    def _next_burst(self) -> None:
        """Start calls to one pool together, at VMs of its domain or of all."""
        if self.now_s >= END_S:
            return
        service, domain = self.draw_pool()
        names: Sequence[str] = self.names_by_domain[domain]
        if self.happens(self.demand.foreign_probability):
            names = list(self._vms)
        if self.plays_hard_faults and self.happens(FIRST_CALLERS_PROBABILITY):
            callers = self.first_in_rank((service, domain))
        else:
            count = self.random.randint(1, len(names))
            callers = self.random.sample(names, count)
        for _ in range(self.random.randint(1, self.demand.max_burst)):
            self.events.call_later(
                self.random.uniform(0, 0.1),
                self._start_call,
                self.random.choice(callers),
                service,
                domain,
            )
        pause_s = self.random.expovariate(self.demand.bursts_per_s)
        self.events.call_later(pause_s, self._next_burst)

    def _start_call(self, name: str, service: str, domain: str) -> None:
        """Start a call, which may go to one more domain."""
        others = [other for other in self.domains if other != domain]
        self.random.shuffle(others)
        cancels = self.happens(self.demand.cancel_probability)
        call = Call(
            len(self.calls),
            service,
            [domain, *others[:1]],
            self.now_s,
            0.8,
            2.0,
            self.random.uniform(0, 0.3) if cancels else None,
        )
        vm = self.vm_lives[name]
        if vm.is_running:
            self.calls.append(call)
            self._callers[call.number] = vm
            self.call_later(vm, 0, vm.client.start, call)

    def _attempt_arrives(
        self, vm: SimulatedVm, grant: PermitGrant, call: Call
    ) -> None:
        server = self.servers[grant.backend.backend_id]
        duration_s, outcome = server.record_arrival(self.now_s, self.random)
        self.events.call_later(
            duration_s, self._attempt_ends, vm, grant, call, outcome, duration_s
        )

    def _attempt_ends(
        self,
        vm: SimulatedVm,
        grant: PermitGrant,
        call: Call,
        outcome: AttemptOutcome,
        latency_s: float,
    ) -> None:
        server = self.servers[grant.backend.backend_id]
        load = server.reported_load(self.now_s, is_probe=False)
        if load is None:
            outcome = AttemptOutcome.FAILURE
        report = AttemptReport(outcome, latency_s, load)
        self.call_later(vm, 0, vm.client.attempt_ended, grant, call, report)

    def _probe_arrives(
        self, vm: SimulatedVm, backend_id: str, delay_s: float
    ) -> None:
        server = self.servers[backend_id]
        load = server.reported_load(self.now_s, is_probe=True)
        self.call_later(vm, delay_s, vm.probe_ended, backend_id, load)

    def _run_action(
        self,
        vm: SimulatedVm,
        action: Callable[..., None],
        details: tuple[Any, ...],
    ) -> None:
        if not vm.is_running:
            return
        if self.now_s < vm.paused_until_s:
            self.events.call_at(
                vm.paused_until_s, self._run_action, vm, action, details
            )
        else:
            action(*details)

    def _deliver(
        self, receiver: str, method: str, details: tuple[Any, ...]
    ) -> None:
        vm = self.vm_lives[receiver]
        self._run_action(vm, getattr(vm, method), details)

    def _deliver_heartbeats(
        self, own: Vm, names: list[str], held: Mapping[str, Mapping[str, str]]
    ) -> None:
        for name in names:
            details = (own, held.get(name, {}))
            self._deliver(name, 'heartbeat_received', details)

    def _calm_calls(self, service: str, domain: str) -> int:
        return sum(
            call.service == service
            and call.arrived_s > CALM_FROM_S
            and call.cancel_after_s is None
            and call.first_domain == domain
            for call in self.calls
        )

    def _calm_arrivals(self, service: str, domain: str) -> int:
        return sum(
            len(server.cold_periods[-1].arrivals_s)
            for server in self.servers.values()
            if server.registration.service == service
            and server.registration.failure_domain == domain
        )


class FaultPlan:
    """Draws faults and brings them into a run."""

    def __init__(self, history: DomainHistory) -> None:
        self._history = history
        self._random = history.random
        main_kinds = (
            self._divide,
            self._divide,
            self._cut_one_way,
            self._kill_domain,
            history.silence_digests,
        )
        if history.plays_hard_faults:
            main_kinds += (self._restart_unnoticed, self._mute_first)
        other_kinds = (
            self._isolate_one,
            self._silence_one,
            self._kill_some,
            self._kill_leader,
            self._pause_some,
            self._restart_noticed,
            self._restart_unnoticed,
            history.heal,
        )
        count = self._random.randint(0, len(other_kinds))
        self._kinds = self._random.sample(other_kinds, count)
        self._main_kind = self._random.choice(main_kinds)

    def inject_one(self) -> None:
        kind = self._main_kind
        if self._kinds and self._history.happens(0.5):
            kind = self._random.choice(self._kinds)
        time_s = round(self._history.now_s - START_S, 2)
        self._history.faults.append((time_s, kind.__name__))
        kind()

    def _names(self) -> tuple[str, ...]:
        """Return the VMs of one domain, or of all."""
        history = self._history
        if self._history.happens(0.2):
            return tuple(history.vm_lives)
        return history.names_by_domain[self._domain()]

    def _domain(self) -> str:
        return self._history.draw_pool()[1]

    def _sample(self, names: tuple[str, ...]) -> list[str]:
        return self._random.sample(names, self._random.randint(1, len(names)))

    def _divide(self) -> None:
        names = self._names()
        parts = self._random.choice((2, 3, 5, len(names), len(names)))
        sides = [number % parts for number in range(len(names))]
        self._random.shuffle(sides)
        if self._history.happens(0.5):
            sides = [self._random.choice(sides) for _ in names]
        self._history.network.divide(dict(zip(names, sides, strict=True)))

    def _cut_one_way(self) -> None:
        names = self._names()
        self._history.network.cut(self._sample(names), self._sample(names))

    def _mute_first(self) -> None:
        """Let nobody hear the first VMs in rank for a pool, which hear all.

        Each of them takes itself for the leader, and sees nearly all others.
        """
        pool = self._history.draw_pool()
        first = self._history.first_in_rank(pool)
        self._history.network.cut(first, tuple(self._history.vm_lives))

    def _isolate_one(self) -> None:
        name = self._random.choice(self._names())
        self._history.network.divide({name: self._random.randint(100, 999)})

    def _silence_one(self) -> None:
        """Cut all messages of one VM in one direction."""
        one = [self._random.choice(self._names())]
        others = [name for name in self._history.vm_lives if name != one[0]]
        if self._history.happens(0.5):
            self._history.network.cut(one, others)
        else:
            self._history.network.cut(others, one)

    def _kill_some(self) -> None:
        for name in self._sample(self._names())[:3]:
            self._history.kill(name, self._down_s())

    def _kill_leader(self) -> None:
        """Kill or pause the leader of a pool, as one of its VMs sees it."""
        domain = self._domain()
        service = self._random.choice(list(self._history.services))
        seer = self._random.choice(self._history.names_by_domain[domain])
        leader = self._history.vm_lives[seer].ranked((service, domain))[0]
        if self._history.happens(0.5):
            self._history.kill(leader, self._down_s())
        else:
            self._history.pause(leader, self._random.uniform(0.2, 4))

    def _kill_domain(self) -> None:
        down_s = self._down_s()
        for name in self._history.names_by_domain[self._domain()]:
            self._history.kill(name, down_s + self._random.uniform(0, 0.3))

    def _pause_some(self) -> None:
        pause_s = self._random.uniform(0.2, 4)
        for name in self._sample(self._names())[:3]:
            self._history.pause(name, pause_s)

    def _restart_noticed(self) -> None:
        self._history.restart_servers(self._domain(), is_noticed=True)

    def _restart_unnoticed(self) -> None:
        self._history.restart_servers(self._domain(), is_noticed=False)

    def _down_s(self) -> float:
        return self._random.choice((0.2, 0.5, 2.0))


def broken_rules(history: DomainHistory) -> dict[str, object]:
    """Return what a finished run breaks, by rule."""
    found: dict[str, object] = {
        'cold rate': history.cold_rate_breaks(),
        'late calls': history.late_calls(),
        'unused pools': history.unused_pools(),
    }
    return {rule: broken for rule, broken in found.items() if broken}


def main(first: int, count: int, *, plays_hard_faults: bool) -> None:
    """Run seeds, print those that break a rule, and the worst second."""
    broken_count = 0
    worst: tuple[float, int] = (0, 0)
    started_s = perf_counter()
    for seed in range(first, first + count):
        history = DomainHistory(seed, plays_hard_faults=plays_hard_faults).run()
        for one in history.worst_seconds():
            worst = max(worst, (one.arrivals / one.bound, seed))
        broken = broken_rules(history)
        if broken:
            broken_count += 1
            sizes = [len(names) for names in history.names_by_domain.values()]
            _print(f'seed {seed}, VMs {sizes}: {broken} {history.faults}')
    seconds_each = (perf_counter() - started_s) / count
    _print(f'{broken_count} of {count} broken, {seconds_each:.2f} s each')
    _print(f'worst second {worst[0]:.2f} of its bound, seed {worst[1]}')


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main(
        int(sys.argv[1]),
        int(sys.argv[2]),
        plays_hard_faults='hard' in sys.argv[3:],
    )
