"""Queue of calls: starts their attempts, or relays them to another entry VM."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from twisted.internet.interfaces import IReactorTime

from turmericpost.forward.attempt import AttemptDependencies, BackendAttempt
from turmericpost.forward.call import ForwardedCall
from turmericpost.forward.relays import RelayKind, vm_as_backend
from turmericpost_core.config.document import BackendServer
from turmericpost_core.limits.backend_load import BackendLoad
from turmericpost_core.membership.vm_records import VmRecord
from turmericpost_core.outcome.reasons import RefusalReason
from turmericpost_core.routing.dispatcher import (
    Dispatcher,
    Placement,
    Refuse,
    RelayToOwner,
    StartAttempt,
)
from turmericpost_core.routing.ownership import Ownership
from turmericpost_core.routing.table import RoutingTable

_RECHECK_INTERVAL_S = 0.002

VmFinder: TypeAlias = Callable[[str], VmRecord | None]


class CallQueue:
    """Queues the calls of this VM and carries out dispatcher decisions."""

    def __init__(
        self,
        reactor: IReactorTime,
        dependencies: AttemptDependencies,
        own_name: str,
        find_vm: VmFinder,
    ) -> None:
        self._reactor = reactor
        self._dependencies = dependencies
        self._find_vm = find_vm
        self._dispatcher: Dispatcher[ForwardedCall]
        self._dispatcher = Dispatcher(own_name, dependencies.balancer)
        self._is_rechecking = False

    def install(self, table: RoutingTable) -> None:
        """Apply a new routing table.

        Updates the queue limits and reroutes queued calls.
        """
        self._dispatcher.install(table)
        for call in tuple(self._dispatcher.waiting_calls()):
            self._reroute(table, call)
        self._start_waiting_calls()

    def update_ownership(self, ownership: Ownership) -> None:
        """Apply a change of ownership and dispatch all queued calls again."""
        self._dispatcher.update_ownership(ownership)
        for call in tuple(self._dispatcher.waiting_calls()):
            self.stop_waiting(call)
            self.dispatch(call)

    def dispatch(self, call: ForwardedCall) -> None:
        """Start an attempt, or relay, refuse or queue the call.

        A queued call waits for a free slot.
        """
        placement = self._dispatcher.place(call, self._now_s())
        if not self._apply_placement(call, placement):
            call.is_waiting = True
            call.waiting_since_s = self._now_s()
            self._dispatcher.wait(call)
            self._recheck_later()

    def offer_refused(self, call: ForwardedCall) -> None:
        """Dispatch a call that another VM declined, or queue it again."""
        self._dispatcher.pacing.record_declined(
            call.offered_vm_name, self._now_s()
        )
        placement = self._dispatcher.place(call, self._now_s())
        if not self._apply_placement(call, placement):
            self._dispatcher.offer_refused(call, self._now_s())
            call.is_waiting = True
            self._recheck_later()

    def offer_accepted(self, call: ForwardedCall) -> None:
        """Record that another VM accepted an offered call."""
        self._dispatcher.pacing.record_accepted(call.offered_vm_name)

    def stop_waiting(self, call: ForwardedCall) -> None:
        """Remove a call from the queue."""
        call.is_waiting = False
        self._dispatcher.stop_waiting(call)

    def slot_freed(self, service: str) -> None:
        """Start queued calls of a service while slots are free.

        Calls are taken from the client accounts in rotation.
        """
        while True:
            selection = self._dispatcher.next_start(service, self._now_s())
            if selection is None:
                return
            call, backend = selection
            self.stop_waiting(call)
            self._start(call, backend)

    def relay(
        self,
        call: ForwardedCall,
        vm: VmRecord,
        kind: RelayKind,
    ) -> None:
        """Relay a call to another entry VM."""
        service = call.route.service
        server = vm_as_backend(vm, service.name)
        load = BackendLoad(service)
        load.start()
        attempt = BackendAttempt(
            server,
            load,
            call,
            self._dependencies,
            relay_kind=kind,
        )
        self._dependencies.metrics.relays[kind.value] += 1
        call.start_attempt(server, attempt)

    def _apply_placement(
        self, call: ForwardedCall, placement: Placement
    ) -> bool:
        """Carry out a placement; return false if the call has to be queued."""
        if isinstance(placement, StartAttempt):
            self._start(call, placement.backend)
        elif isinstance(placement, RelayToOwner):
            self._relay_to_vm(call, placement.vm_name, RelayKind.PASSED)
        elif isinstance(placement, Refuse):
            call.refuse(placement.reason)
        else:
            return False
        return True

    def _start(self, call: ForwardedCall, backend: BackendServer) -> None:
        load = self._dependencies.balancer.start(backend.address)
        if load is None:
            call.refuse(RefusalReason.NO_ELIGIBLE_BACKEND)
            return
        call.tried_addresses.add(backend.address)
        attempt = BackendAttempt(backend, load, call, self._dependencies)
        call.start_attempt(backend, attempt)

    def _relay_to_vm(
        self,
        call: ForwardedCall,
        name: str,
        kind: RelayKind,
    ) -> None:
        call.offered.add(name)
        vm = self._find_vm(name)
        if vm is None:
            self.dispatch(call)
        else:
            self.relay(call, vm, kind)

    def _reroute(self, table: RoutingTable, call: ForwardedCall) -> None:
        route = table.route(call.request.facts)
        if route.is_err():
            self.stop_waiting(call)
            call.refuse(route.unwrap_err())
        elif route.unwrap().backends:
            call.route = route.unwrap()
        else:
            self.stop_waiting(call)
            call.refuse(RefusalReason.NO_ELIGIBLE_BACKEND)

    def _start_waiting_calls(self) -> None:
        for service in self._dispatcher.services_with_waiting_calls():
            self.slot_freed(service)

    def _offer_waiting_calls(self) -> None:
        for service in self._dispatcher.services_with_waiting_calls():
            selection = self._dispatcher.next_offer(service, self._now_s())
            while selection is not None:
                call, name = selection
                self.stop_waiting(call)
                call.offered_vm_name = name
                self._dispatcher.pacing.record_offer(name, self._now_s())
                self._relay_to_vm(call, name, RelayKind.OFFERED)
                selection = self._dispatcher.next_offer(service, self._now_s())

    def _recheck_later(self) -> None:
        if not self._is_rechecking:
            self._is_rechecking = True
            self._reactor.callLater(_RECHECK_INTERVAL_S, self._recheck)

    def _recheck(self) -> None:
        self._is_rechecking = False
        self._start_waiting_calls()
        self._offer_waiting_calls()
        if self._dispatcher.has_waiting:
            self._recheck_later()

    def _now_s(self) -> float:
        return self._dependencies.clock.monotonic_s()
