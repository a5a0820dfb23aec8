"""Simulated entry VMs that use the product's own routing decisions."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from turmericpost_core.config.document import (
    BackendServer,
    Document,
    FailureDomain,
    Limits,
    Service,
)
from turmericpost_core.limits.backend_load import (
    AttemptResult,
    LoadReport,
    ReportedState,
)
from turmericpost_core.membership.owner_selection import (
    AddressRequest,
    choose_owner_vms,
)
from turmericpost_core.membership.vm_records import VmIdentity, VmRecord
from turmericpost_core.routing.balancer import Balancer
from turmericpost_core.routing.dispatcher import (
    Dispatcher,
    Refuse,
    RelayToOwner,
    StartAttempt,
)
from turmericpost_core.routing.facts import CallFacts, Location
from turmericpost_core.routing.ownership import assign_owners
from turmericpost_core.routing.table import Route, RoutingTable
from turmericpost_standins.bench.event_loop import EventLoop
from turmericpost_standins.bench.sim_backend import SimBackend
from turmericpost_standins.bench.workload import Workload

DoneCallback = Callable[[], None]

_SERVICE = 'catalogue'
_REGION = 'cairo'
_DOMAIN = 'cairo-a'
_RECHECK_INTERVAL_S = 0.002
_QUEUE_LENGTH_PER_SLOT = 1000
_CALLER_PORT = 80


class SimCall:
    """Simulated call with the attributes that the dispatcher needs."""

    account = 'church'
    can_be_offered = True

    def __init__(self, route: Route, on_done: DoneCallback) -> None:
        self.route = route
        self.on_done = on_done
        self.tried_addresses: set[str] = set()
        self.offered: set[str] = set()
        self.waiting_since_s = float(0)
        self.next_offer_s = float(0)
        self.is_offered_by_peer = False
        self.is_relayed_by_peer = False


class SimVm:
    """Simulated entry VM with the product's balancer and dispatcher."""

    def __init__(self, policy: OwnersPolicy, name: str, seed: int) -> None:
        self.name = name
        self.balancer = Balancer(Random(seed))
        self.dispatcher: Dispatcher[SimCall] = Dispatcher(name, self.balancer)
        self._policy = policy
        self._is_recheck_scheduled = False

    def handle_call(self, call: SimCall) -> bool:
        """Start, relay or queue a call; return ``False`` if it is refused."""
        now_s = self._policy.loop.now_s
        placement = self.dispatcher.place(call, now_s)
        if isinstance(placement, StartAttempt):
            self._start(call, placement.backend)
        elif isinstance(placement, RelayToOwner):
            call.is_relayed_by_peer = True
            self._policy.relay(call, placement.vm_name)
        elif isinstance(placement, Refuse):
            return False
        else:
            call.waiting_since_s = now_s
            self.dispatcher.wait(call)
            self._offer_waiting()
            self._schedule_recheck()
        return True

    def offer_refused(self, call: SimCall, name: str) -> None:
        """Start or queue a call again after VM ``name`` refused to take it over."""
        call.is_offered_by_peer = False
        now_s = self._policy.loop.now_s
        self.dispatcher.pacing.record_declined(name, now_s)
        if not self.try_start(call):
            self.dispatcher.offer_refused(call, now_s)
            self._schedule_recheck()

    def try_start(self, call: SimCall) -> bool:
        """Start a call if a slot is free; return whether it was started."""
        placement = self.dispatcher.place(call, self._policy.loop.now_s)
        if isinstance(placement, StartAttempt):
            self._start(call, placement.backend)
            return True
        return False

    def _start(self, call: SimCall, backend: BackendServer) -> None:
        load = self.balancer.start(backend.address)
        begun_s = self._policy.loop.now_s
        sim_server = self._policy.backend_at(backend)

        def finish_attempt() -> None:  # noqa: WPS430
            now_s = self._policy.loop.now_s
            if load is not None:
                self.balancer.record_report(
                    backend.address,
                    LoadReport(0, 0, ReportedState.WARM, 1),
                    now_s,
                )
                self.balancer.finish(
                    load,
                    AttemptResult.SUCCESS,
                    now_s - begun_s,
                    now_s,
                )
            call.on_done()
            self._start_waiting()

        sim_server.serve(finish_attempt)

    def _start_waiting(self) -> None:
        while True:
            found = self.dispatcher.next_start(
                _SERVICE,
                self._policy.loop.now_s,
            )
            if found is None:
                return
            call, backend = found
            self.dispatcher.stop_waiting(call)
            self._start(call, backend)

    def _schedule_recheck(self) -> None:
        if not self._is_recheck_scheduled:
            self._is_recheck_scheduled = True
            self._policy.loop.call_later(_RECHECK_INTERVAL_S, self._recheck)

    def _recheck(self) -> None:
        self._is_recheck_scheduled = False
        self._start_waiting()
        self._offer_waiting()
        if self.dispatcher.has_waiting:
            self._schedule_recheck()

    def _offer_waiting(self) -> None:
        now_s = self._policy.loop.now_s
        found = self.dispatcher.next_offer(_SERVICE, now_s)
        while found is not None:
            call, name = found
            self.dispatcher.stop_waiting(call)
            call.offered.add(name)
            self.dispatcher.pacing.record_offer(name, now_s)
            self._policy.offer(call, self, name)
            found = self.dispatcher.next_offer(_SERVICE, now_s)


class OwnersPolicy:
    """All simulated entry VMs, and how callers choose among them.

    A caller usually sends a call to an owner of the service, and sometimes
    to a random VM (``Workload.random_vm_share``).
    """

    def __init__(
        self,
        backends: list[SimBackend],
        workload: Workload,
        loop: EventLoop,
        random: Random,
        owners_per_service: int,
    ) -> None:
        self.loop = loop
        self.offers = 0
        self.relays = 0
        self._workload = workload
        self._random = random
        document = _document(workload, owners_per_service)
        self._backends = {
            server.address: backend
            for server, backend in zip(
                document.backend_servers,
                backends,
                strict=True,
            )
        }
        live_vms = [_vm_record(number) for number in range(workload.entry_vms)]
        table = RoutingTable(document, Location(_DOMAIN, _REGION), frozenset())
        self._route = table.route(
            CallFacts(_SERVICE, 'church', 'GET', '/'),
        ).unwrap()
        self._live_vms = live_vms
        self._ownership = assign_owners(document, live_vms)
        self._vms = {}
        for number, record in enumerate(live_vms):
            vm = SimVm(self, record.identity.name, number)
            vm.balancer.install(table)
            vm.dispatcher.install(table)
            vm.dispatcher.update_ownership(self._ownership)
            self._vms[vm.name] = vm

    def submit(self, on_done: DoneCallback) -> None:
        """Send a call to an owner of the service, or sometimes to a random VM."""
        name = self._resolve_vm()
        if self._random.random() < self._workload.random_vm_share:
            name = self._random.choice(list(self._vms))
        self._vms[name].handle_call(SimCall(self._route, on_done))

    def backend_at(self, server: BackendServer) -> SimBackend:
        """Return the simulation of a configured backend server."""
        return self._backends[server.address]

    def relay(self, call: SimCall, name: str) -> None:
        """Relay a call to the owner VM ``name`` after the network delay."""
        self.relays += 1
        self.loop.call_later(
            self._workload.vm_delay_s,
            lambda: self._vms[name].handle_call(call),
        )

    def offer(self, call: SimCall, offering_vm: SimVm, name: str) -> None:
        """Offer a queued call to the owner VM ``name``, which may refuse it."""
        self.offers += 1
        call.is_offered_by_peer = True
        self.loop.call_later(
            self._workload.vm_delay_s,
            lambda: self._deliver_offer(call, offering_vm, name),
        )

    def _resolve_vm(self) -> str:
        owner_vms = choose_owner_vms(
            AddressRequest(_SERVICE, None, _REGION),
            self._live_vms,
            self._ownership,
            self._random,
        )
        return owner_vms[0].identity.name

    def _deliver_offer(
        self, call: SimCall, offering_vm: SimVm, name: str
    ) -> None:
        if self._vms[name].handle_call(call):
            self.loop.call_later(
                self._workload.mean_service_s,
                lambda: offering_vm.dispatcher.pacing.record_accepted(name),
            )
            return
        self.loop.call_later(
            self._workload.vm_delay_s,
            lambda: offering_vm.offer_refused(call, name),
        )


def _document(workload: Workload, owners_per_service: int) -> Document:
    return Document(
        failure_domains=(FailureDomain(_DOMAIN, _REGION),),
        services=(
            Service(
                _SERVICE,
                slots=workload.slots,
                queue_per_slot=_QUEUE_LENGTH_PER_SLOT,
            ),
        ),
        backend_servers=tuple(
            BackendServer('10.0.0.1', number + 1, _SERVICE, _DOMAIN)
            for number in range(workload.backends)
        ),
        limits=Limits(owners_per_service=owners_per_service),
        allow_unknown_accounts=True,
    )


def _vm_record(number: int) -> VmRecord:
    identity = VmIdentity(
        f'10.1.0.{number}:1',
        f'10.1.0.{number}',
        _CALLER_PORT,
        _DOMAIN,
        _REGION,
    )
    return VmRecord(identity, 1)
