"""Tests of the ownership tracker of one VM."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random
from unittest.mock import patch

from twisted.internet.testing import MemoryReactorClock

from tests.harness import FakeClock, vm_record
from turmericpost.forward.ownership_tracker import (
    OWNERSHIP_SETTLE_S,
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
_ASSIGN_OWNERS = 'turmericpost.forward.ownership_tracker.assign_owners'


class OwnershipTrackerTest(unittest.TestCase):
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
        self.changes: list[Ownership] = []
        self.tracker = OwnershipTracker(
            OwnershipTrackerDependencies(
                FakeClock(self.reactor),
                self.balancer,
                lambda: self.view,
                lambda: self.table,
                self.changes.append,
            ),
        )

    def _has_available_backend(self) -> bool:
        servers = self.table.document.backend_servers
        now_s = self.reactor.seconds()
        return self.balancer.choose(servers, (), now_s) is not None

    def test_ownership_is_not_recomputed_without_changes(self) -> None:
        with patch(_ASSIGN_OWNERS, wraps=assign_owners) as assign_owners_mock:
            for _ in range(5):
                self.tracker.update()
        self.assertEqual(assign_owners_mock.call_count, 1)
        self.assertEqual(len(self.changes), 1)

    def test_only_vm_owns_backends_at_once_and_while_leaving(self) -> None:
        self.tracker.update()
        self.assertTrue(self._has_available_backend())
        self.view.set_own_state(VmState.LEAVING, 1)
        self.tracker.update()
        owners = self.tracker.ownership.backend_owners
        self.assertEqual(owners[_ADDRESS], self.view.own.identity.name)

    def test_vm_reported_lost_waits_before_using_backends_again(self) -> None:
        self.tracker.update()
        lost_record = replace(self.view.own, state=VmState.LOST)
        self.view.record_heartbeat('10.2.0.2:1', (lost_record,), 0)
        other = replace(vm_record(2), state=VmState.LEAVING)
        self.view.record_heartbeat('10.2.0.2:1', (other,), 0)
        self.tracker.update()
        self.assertFalse(self._has_available_backend())
        self.reactor.advance(OWNERSHIP_SETTLE_S)
        self.tracker.update()
        self.assertTrue(self._has_available_backend())


if __name__ == '__main__':
    unittest.main()
