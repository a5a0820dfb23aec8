"""Ownership at this VM: follows the view and the configuration."""

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

SETTLE_S = 2
WARM_UP_VALID_S = 1


@dataclass(frozen=True)
class OwnershipTrackerDependencies:
    """What ownership is made from, and who has to know."""

    clock: Clock
    balancer: Balancer
    view: Callable[[], MembershipView]
    table: Callable[[], RoutingTable | None]
    on_change: Callable[[Ownership], None]


class OwnershipTracker:
    """Keeps the ownership in force; a change takes effect at once."""

    def __init__(self, parts: OwnershipTrackerDependencies) -> None:
        self.ownership = NO_OWNERSHIP
        self._parts = parts
        self._refutation = 0
        self._shared: tuple[RoutingTable, tuple[VmIdentity, ...]] | None
        self._shared = None

    def vms(self) -> tuple[VmRecord, ...]:
        """Return the VMs that take new calls.

        VMs in a failure domain out of service do not, unless all are. The
        last VM serves on while it leaves.
        """
        view = self._parts.view()
        live = view.live() or (view.own,)
        table = self._parts.table()
        if table is None:
            return live
        kept = tuple(
            fact
            for fact in live
            if fact.identity.failure_domain not in table.out_of_service_domains
        )
        return kept or live

    def update(self) -> None:
        """Follow a change of the view or of the configuration.

        A VM that had to deny its loss was replaced for a while, so whatever
        it owns has to settle again.
        """
        table = self._parts.table()
        if table is None:
            return
        view = self._parts.view()
        own = view.own.identity
        self._allow_warm_up(view)
        if view.own.refutation != self._refutation:
            self._refutation = view.own.refutation
            self._parts.balancer.clear_owned()
            self.ownership = NO_OWNERSHIP
            self._shared = None
        vms = self.vms()
        shared = (table, tuple(fact.identity for fact in vms))
        if shared == self._shared:
            return
        self._shared = shared
        ownership = assign_owners(table.document, vms)
        if ownership == self.ownership:
            return
        self.ownership = ownership
        self._take_over(own.name, is_alone=len(view.all_records()) == 1)
        self._parts.on_change(ownership)

    def _allow_warm_up(self, view: MembershipView) -> None:
        """Let cold servers get calls while most of the region is in touch."""
        now_s = self._parts.clock.monotonic_s()
        region = view.own.identity.region
        is_safe = view.has_majority(region) and view.is_connected(now_s)
        until_s = now_s + WARM_UP_VALID_S if is_safe else 0
        self._parts.balancer.allow_warm_up(until_s)

    def _take_over(self, own_name: str, *, is_alone: bool) -> None:
        owned = frozenset(
            address
            for address, name in self.ownership.backend_owners.items()
            if name == own_name
        )
        settle_s = 0 if is_alone else SETTLE_S
        now_s = self._parts.clock.monotonic_s()
        self._parts.balancer.assign_owned(owned, now_s + settle_s)
