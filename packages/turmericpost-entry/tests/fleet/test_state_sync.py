"""State sync: selection of the store reader, pushes and fetches."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from twisted.internet.testing import MemoryReactorClock

from tests.fleet.test_store_reader import FakeStore
from tests.fleet.test_update_stream import large_state
from tests.harness import FakeClock
from turmericpost.fleet.messages import StateVersion
from turmericpost.fleet.state_sync import STARTUP_READ_DELAY_S, StateSync
from turmericpost.fleet.update_codec import encode_update
from turmericpost.observe.events import LogEvent
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.state import KnownVersions
from turmericpost_core.membership.domain_view import (
    DomainView,
    Vm,
)
from turmericpost_core.membership.store_read_schedule import new_read_schedule

DRAIN_BOUND_S = 2.0
CONFIG_BOUND_S = 2.0


def vm(name: str, domain: str = 'nasr') -> Vm:
    return Vm(name, name, 7540, '', domain, 'cairo', 1)


class StateSyncTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.changes: list[str] = []
        self.state_sync = self._new_state_sync(is_seed_vm=False)
        self.sender_state = large_state()

    def _new_state_sync(self, *, is_seed_vm: bool) -> StateSync:
        return StateSync(
            self.reactor,
            FakeClock(self.reactor),
            FakeStore(),
            DomainView(vm('own')),
            new_read_schedule(DRAIN_BOUND_S, CONFIG_BOUND_S),
            self.changes.append,
            is_seed_vm=is_seed_vm,
        )

    def test_starting_vm_lets_seed_vms_read_first(
        self,
    ) -> None:
        """All VMs start at once, and each store request is billed."""
        self.assertFalse(self.state_sync.is_reader())
        self.assertTrue(self._new_state_sync(is_seed_vm=True).is_reader())
        self.reactor.advance(STARTUP_READ_DELAY_S)
        self.assertTrue(self.state_sync.is_reader())

    def test_vm_with_state_may_read_at_once(self) -> None:
        self._push(self.sender_state.update_since(KnownVersions()))
        self.assertEqual(self.changes, ['teller'])
        self.assertTrue(self.state_sync.is_reader())

    def test_push_that_does_not_match_the_state_is_ignored(self) -> None:
        known = self.sender_state.versions
        removal = Registration(known.backends[0], 'i-0', None)
        self.sender_state.directory.apply_records([removal], 1)
        self._push(self.sender_state.update_since(known))
        self.assertEqual(self.changes, [])
        self.assertEqual(self.state_sync.state.versions.config, None)

    def test_malformed_push_is_logged(self) -> None:
        with patch('turmericpost.fleet.lag_monitor.log_event') as logged:
            self.state_sync.push_received('teller', b'nonsense')
        self.assertEqual(logged.call_args.args, (LogEvent.UPDATE_FAILED,))

    def test_newer_state_of_the_own_domain_is_fetched_at_once(self) -> None:
        self.state_sync.state_version_received(
            vm('near'), self._newer_version()
        )
        self.assertEqual(len(self.reactor.tcpClients), 1)

    def test_newer_state_of_another_domain_is_fetched_after_a_delay(
        self,
    ) -> None:
        self.state_sync.state_version_received(
            vm('far', 'smouha'), self._newer_version()
        )
        self.assertEqual(self.reactor.tcpClients, [])
        self.reactor.advance(0.5)
        self.state_sync.state_version_received(
            vm('far', 'smouha'), self._newer_version()
        )
        self.assertEqual(len(self.reactor.tcpClients), 1)

    def _newer_version(self) -> StateVersion:
        return StateVersion(0, 7, (9, 0), 9)

    def _push(self, update: object) -> None:
        self.state_sync.push_received('teller', encode_update(update))
