"""State sync: VMs that state no era, and configurations that the store lost."""

from __future__ import annotations

import unittest

from twisted.internet.testing import MemoryReactorClock

from tests.fleet.test_state_sync import (
    CONFIG_BOUND_S,
    DRAIN_BOUND_S,
    _is_before,
    vm,
)
from tests.fleet.test_store_reader import FakeStore
from tests.fleet.test_update_stream import large_state
from tests.harness import FakeClock
from turmericpost.fleet.messages import StateVersion
from turmericpost.fleet.state_sync import StateSync
from turmericpost.fleet.update_codec import encode_update
from turmericpost_core.fleet.state import KnownVersions
from turmericpost_core.fleet.store_position import (
    START,
    StorePosition,
    new_position,
)
from turmericpost_core.membership.domain_view import DomainView, VmReadiness
from turmericpost_core.membership.store_read_schedule import new_read_schedule

_ERA = 1


class StateSyncEraTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.view = DomainView(vm('own'))
        self.state_sync = StateSync(
            self.reactor,
            FakeClock(self.reactor),
            FakeStore(),
            self.view,
            new_read_schedule(DRAIN_BOUND_S, CONFIG_BOUND_S),
            lambda _source: None,
        )
        state = large_state()
        state.resync_operator([], new_position(_ERA, 5))
        state.directory.resync([], new_position(_ERA, 5), 0)
        wire = encode_update(state.update_since(KnownVersions()))
        self.state_sync.push_received('teller', wire)
        self.state_sync.era_stated(_ERA)

    # Guards against VMs that rely on the reads of one that runs an earlier
    # release: it states no era, so that none of its state counts as newer.
    def test_reads_of_a_vm_without_an_era_are_not_relied_on(self) -> None:
        names = (f'near{number}' for number in range(9))
        first = vm(next(name for name in names if _is_before(name, 'own')))
        now_s = self.reactor.seconds()
        self.view.record_heartbeat(first, VmReadiness.READY, now_s)
        self.view.update_liveness(now_s)
        self.state_sync.state_version_received(
            first, StateVersion(0, StorePosition(9), (9, 0), START)
        )
        is_fetched = bool(self.reactor.tcpClients)
        self.assertTrue(is_fetched or self.state_sync.is_reader())

    # Guards against unknown routes that are refused as not yet known for as long
    # as a VM runs that once held a newer configuration and has lost it.
    def test_configuration_that_its_holder_has_lost_is_not_awaited(
        self,
    ) -> None:
        version = (self.state_sync.state.versions.config or 0) + 1
        self.state_sync.held_config_received('near', version)
        self.assertIsNotNone(self.state_sync.retry_after_behind_s())
        state_version = self.state_sync.state_version()
        for _ in range(60):
            self.reactor.advance(1)
            self.state_sync.state_version_received(vm('near'), state_version)
        self.assertIsNone(self.state_sync.retry_after_behind_s())


if __name__ == '__main__':
    unittest.main()
