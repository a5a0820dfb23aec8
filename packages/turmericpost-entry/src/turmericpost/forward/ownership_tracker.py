"""Tracks which entry VM owns which backend server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from turmericpost_core.clock import Clock
from turmericpost_core.membership.view import MembershipView
from turmericpost_core.membership.vm_records import VmIdentity, VmRecord
from turmericpost_core.routing.balancer import Balancer
from turmericpost_core.routing.ownership import (
    NO_OWNERSHIP,
    Ownership,
    assign_owners,
)
from turmericpost_core.routing.table import RoutingTable

OWNERSHIP_SETTLE_S = 2
WARM_UP_LEASE_S = 1


@dataclass(frozen=True)
class OwnershipTrackerDependencies:
    """Collaborators of the tracker.

    ``on_change`` receives each new ownership.
    """

    clock: Clock
    balancer: Balancer
    view: Callable[[], MembershipView]
    table: Callable[[], RoutingTable | None]
    on_change: Callable[[Ownership], None]


class OwnershipTracker:
    """Recomputes backend ownership when its inputs change.

    The inputs are the membership view and the configuration.
    """

    def __init__(self, dependencies: OwnershipTrackerDependencies) -> None:
        self.ownership = NO_OWNERSHIP
        self._dependencies = dependencies
        self._refutation = 0
        self._last_inputs: tuple[RoutingTable, tuple[VmIdentity, ...]] | None
        self._last_inputs = None

    def vms(self) -> tuple[VmRecord, ...]:
        """Return the VMs that accept new calls.

        VMs in an out-of-service failure domain are left out unless no other
        VM is live. If no VM is live, this VM is returned even if it is
        leaving.
        """
        view = self._dependencies.view()
        live = view.live() or (view.own,)
        table = self._dependencies.table()
        if table is None:
            return live
        in_service_vms = tuple(
            vm
            for vm in live
            if vm.identity.failure_domain not in table.out_of_service_domains
        )
        return in_service_vms or live

    def update(self) -> None:
        """Recompute ownership if the membership view or configuration changed.

        While other VMs considered this VM lost, its backend servers had
        other owners. After it has refuted the report of its loss, this VM
        therefore waits again before it uses the backend servers it owns.
        """
        table = self._dependencies.table()
        if table is None:
            return
        view = self._dependencies.view()
        own = view.own.identity
        self._allow_warm_up(view)
        if view.own.refutation != self._refutation:
            self._refutation = view.own.refutation
            self._dependencies.balancer.clear_owned()
            self.ownership = NO_OWNERSHIP
            self._last_inputs = None
        vms = self.vms()
        inputs = (table, tuple(vm.identity for vm in vms))
        if inputs == self._last_inputs:
            return
        self._last_inputs = inputs
        ownership = assign_owners(table.document, vms)
        if ownership == self.ownership:
            return
        self.ownership = ownership
        self._assign_owned_backends(
            own.name, is_alone=len(view.all_records()) == 1
        )
        self._dependencies.on_change(ownership)

    def _allow_warm_up(self, view: MembershipView) -> None:
        """Allow calls to cold backend servers for ``WARM_UP_LEASE_S`` seconds.

        They are allowed only if this VM is connected and most known VMs of
        its region are not lost.
        """
        now_s = self._dependencies.clock.monotonic_s()
        region = view.own.identity.region
        may_warm_up = view.has_majority(region) and view.is_connected(now_s)
        allowed_until_s = now_s + WARM_UP_LEASE_S if may_warm_up else 0
        self._dependencies.balancer.allow_warm_up(allowed_until_s)

    def _assign_owned_backends(self, own_name: str, *, is_alone: bool) -> None:
        owned = frozenset(
            address
            for address, name in self.ownership.backend_owners.items()
            if name == own_name
        )
        settle_s = 0 if is_alone else OWNERSHIP_SETTLE_S
        now_s = self._dependencies.clock.monotonic_s()
        self._dependencies.balancer.assign_owned(owned, now_s + settle_s)
