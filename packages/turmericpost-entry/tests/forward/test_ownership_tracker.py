"""Ownership at one VM: follows changes, and nothing but changes."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random
from unittest.mock import patch

from twisted.internet.testing import MemoryReactorClock

from tests.harness import FakeClock, vm_record
from turmericpost.forward.ownership_tracker import (
    SETTLE_S,
    OwnershipTracker,
    OwnershipTrackerDependencies,
)
from turmericpost_core.config.document import (
    BackendServer,
    Document,
    FailureDomain,
    Service,
)
from turmericpost_core.membership.view import (
    MembershipSettings,
    MembershipView,
)
from turmericpost_core.membership.vm_records import VmState
from turmericpost_core.routing.balancer import Balancer
from turmericpost_core.routing.facts import Location
from turmericpost_core.routing.ownership import Ownership, assign_owners
from turmericpost_core.routing.table import RoutingTable

_ADDRESS = '10.0.0.1:1'
_SHARE_OUT = 'turmericpost.forward.ownership_tracker.assign_owners'


class OwningTest(unittest.TestCase):
    def setUp(self) -> None:
        document = Document(
            failure_domains=(FailureDomain('cairo-a', 'cairo'),),
            services=(Service('pressroom', slots=3),),
            backend_servers=(
                BackendServer('10.0.0.1', 1, 'pressroom', 'cairo-a'),
            ),
        )
        location = Location('cairo-a', 'cairo')
        self.table = RoutingTable(document, location, frozenset())
        self.reactor = MemoryReactorClock()
        self.balancer = Balancer(Random(1))
        self.balancer.install(self.table)
        self.view = MembershipView(vm_record(1), MembershipSettings())
        self.told: list[Ownership] = []
        self.owning = OwnershipTracker(
            OwnershipTrackerDependencies(
                FakeClock(self.reactor),
                self.balancer,
                lambda: self.view,
                lambda: self.table,
                self.told.append,
            ),
        )

    def _can_start(self) -> bool:
        servers = self.table.document.backend_servers
        now_s = self.reactor.seconds()
        return self.balancer.choose(servers, (), now_s) is not None

    def test_nothing_is_computed_while_nothing_changes(self) -> None:
        with patch(_SHARE_OUT, wraps=assign_owners) as computed:
            for _ in range(5):
                self.owning.update()
        self.assertEqual(computed.call_count, 1)
        self.assertEqual(len(self.told), 1)

    def test_a_vm_alone_owns_at_once_and_also_while_it_leaves(self) -> None:
        self.owning.update()
        self.assertTrue(self._can_start())
        self.view.set_own_state(VmState.LEAVING, 1)
        self.owning.update()
        owners = self.owning.ownership.backend_owners
        self.assertEqual(owners[_ADDRESS], self.view.own.identity.name)

    def test_a_vm_that_was_called_lost_settles_anew(self) -> None:
        self.owning.update()
        lost = replace(self.view.own, state=VmState.LOST)
        self.view.record_heartbeat('10.2.0.2:1', (lost,), 0)
        other = replace(vm_record(2), state=VmState.LEAVING)
        self.view.record_heartbeat('10.2.0.2:1', (other,), 0)
        self.owning.update()
        self.assertFalse(self._can_start())
        self.reactor.advance(SETTLE_S)
        self.owning.update()
        self.assertTrue(self._can_start())


if __name__ == '__main__':
    unittest.main()
