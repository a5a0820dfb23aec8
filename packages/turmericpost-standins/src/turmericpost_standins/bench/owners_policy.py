"""The product's own way: the decision core on every entry VM."""

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

Done = Callable[[], None]

_SERVICE = 'catalogue'
_REGION = 'cairo'
_DOMAIN = 'cairo-a'
_RECHECK_S = 0.002
_QUEUE_PER_SLOT = 1000
_CALLER_PORT = 80


class SimCall:
    """A call in the bench, as the dispatcher sees it."""

    account = 'church'
    can_be_offered = True

    def __init__(self, route: Route, done: Done) -> None:
        self.route = route
        self.done = done
        self.tried: set[str] = set()
        self.offered: set[str] = set()
        self.waiting_since_s = float(0)
        self.next_offer_s = float(0)
        self.is_offered_by_peer = False
        self.is_relayed_by_peer = False


class SimVm:
    """One entry VM: a balancer and a dispatcher."""

    def __init__(self, policy: OwnersPolicy, name: str, seed: int) -> None:
        self.name = name
        self.balancer = Balancer(Random(seed))
        self.dispatcher: Dispatcher[SimCall] = Dispatcher(name, self.balancer)
        self._policy = policy
        self._is_rechecking = False

    def take(self, call: SimCall) -> bool:
        """Place a call; return whether it was taken."""
        now_s = self._policy.loop.now_s
        placement = self.dispatcher.place(call, now_s)
        if isinstance(placement, StartAttempt):
            self._start(call, placement.backend)
        elif isinstance(placement, RelayToOwner):
            call.is_relayed_by_peer = True
            self._policy.send(call, placement.vm_name)
        elif isinstance(placement, Refuse):
            return False
        else:
            call.waiting_since_s = now_s
            self.dispatcher.wait(call)
            self._offer_waiting()
            self._recheck_later()
        return True

    def offer_refused(self, call: SimCall, name: str) -> None:
        """Let a call that another VM did not take wait on."""
        call.is_offered_by_peer = False
        now_s = self._policy.loop.now_s
        self.dispatcher.pacing.record_declined(name, now_s)
        if not self.take_back(call):
            self.dispatcher.offer_refused(call, now_s)
            self._recheck_later()

    def take_back(self, call: SimCall) -> bool:
        """Start a call that came back, if a slot has become free."""
        placement = self.dispatcher.place(call, self._policy.loop.now_s)
        if isinstance(placement, StartAttempt):
            self._start(call, placement.backend)
            return True
        return False

    def _start(self, call: SimCall, backend: BackendServer) -> None:
        load = self.balancer.start(backend.address)
        begun_s = self._policy.loop.now_s
        simulated = self._policy.backend_at(backend)

        def answered() -> None:  # noqa: WPS430
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
            call.done()
            self._start_waiting()

        simulated.serve(answered)

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

    def _recheck_later(self) -> None:
        if not self._is_rechecking:
            self._is_rechecking = True
            self._policy.loop.after(_RECHECK_S, self._recheck)

    def _recheck(self) -> None:
        self._is_rechecking = False
        self._start_waiting()
        self._offer_waiting()
        if self.dispatcher.has_waiting:
            self._recheck_later()

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
    """All entry VMs, and the callers that follow address answers."""

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
        self.passes = 0
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
        live = [_vm(number) for number in range(workload.entry_vms)]
        table = RoutingTable(document, Location(_DOMAIN, _REGION), frozenset())
        self._route = table.route(
            CallFacts(_SERVICE, 'church', 'GET', '/'),
        ).unwrap()
        self._live = live
        self._ownership = assign_owners(document, live)
        self._vms = {}
        for number, fact in enumerate(live):
            vm = SimVm(self, fact.identity.name, number)
            vm.balancer.install(table)
            vm.dispatcher.install(table)
            vm.dispatcher.update_ownership(self._ownership)
            self._vms[vm.name] = vm

    def submit(self, done: Done) -> None:
        """Send a call to a VM of the address answer, or to a wrong one."""
        name = self._steered()
        if self._random.random() < self._workload.steering_error:
            name = self._random.choice(list(self._vms))
        self._vms[name].take(SimCall(self._route, done))

    def backend_at(self, server: BackendServer) -> SimBackend:
        """Return the simulated back end."""
        return self._backends[server.address]

    def send(self, call: SimCall, name: str) -> None:
        """Pass a call on to an owner."""
        self.passes += 1
        self.loop.after(
            self._workload.vm_delay_s,
            lambda: self._vms[name].take(call),
        )

    def offer(self, call: SimCall, offering: SimVm, name: str) -> None:
        """Offer a call to another owner."""
        self.offers += 1
        call.is_offered_by_peer = True
        self.loop.after(
            self._workload.vm_delay_s,
            lambda: self._offered(call, offering, name),
        )

    def _steered(self) -> str:
        answer = choose_owner_vms(
            AddressRequest(_SERVICE, None, _REGION),
            self._live,
            self._ownership,
            self._random,
        )
        return answer[0].identity.name

    def _offered(self, call: SimCall, offering: SimVm, name: str) -> None:
        if self._vms[name].take(call):
            self.loop.after(
                self._workload.mean_service_s,
                lambda: offering.dispatcher.pacing.record_accepted(name),
            )
            return
        self.loop.after(
            self._workload.vm_delay_s,
            lambda: offering.offer_refused(call, name),
        )


def _document(workload: Workload, owners_per_service: int) -> Document:
    return Document(
        failure_domains=(FailureDomain(_DOMAIN, _REGION),),
        services=(
            Service(
                _SERVICE,
                slots=workload.slots,
                queue_per_slot=_QUEUE_PER_SLOT,
            ),
        ),
        backend_servers=tuple(
            BackendServer('10.0.0.1', number + 1, _SERVICE, _DOMAIN)
            for number in range(workload.backends)
        ),
        limits=Limits(owners_per_service=owners_per_service),
        allow_unknown_accounts=True,
    )


def _vm(number: int) -> VmRecord:
    identity = VmIdentity(
        f'10.1.0.{number}:1',
        f'10.1.0.{number}',
        _CALLER_PORT,
        _DOMAIN,
        _REGION,
    )
    return VmRecord(identity, 1)
