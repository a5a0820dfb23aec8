"""State sync: selection of the store reader, pushes and fetches."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest.mock import patch

from twisted.internet.testing import MemoryReactorClock

from tests.fleet.test_store_reader import FakeStore
from tests.fleet.test_update_stream import large_state, server
from tests.harness import FakeClock
from turmericpost.fleet.messages import StateVersion
from turmericpost.fleet.state_sync import (
    OTHER_DOMAIN_DELAY_S,
    STARTUP_READ_DELAY_S,
    StateSync,
)
from turmericpost.fleet.update_codec import encode_update
from turmericpost.observe.events import LogEvent
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.directory import (
    REREGISTRATION_GRACE_S,
    BackendDirectory,
)
from turmericpost_core.fleet.state import FleetState, KnownVersions
from turmericpost_core.fleet.store_position import (
    START,
    StorePosition,
    new_position,
)
from turmericpost_core.membership.catch_up import TAKEOVER_S
from turmericpost_core.membership.domain_view import (
    DomainView,
    Vm,
    VmReadiness,
)
from turmericpost_core.membership.ring import rendezvous_owners
from turmericpost_core.membership.store_read_schedule import new_read_schedule

DRAIN_BOUND_S = 2.0
CONFIG_BOUND_S = 2.0
_STEP_S = 0.05


def vm(name: str, domain: str = 'nasr') -> Vm:
    return Vm(name, name, 7540, '', domain, 'cairo', 1)


def _is_before(name: str, other: str) -> bool:
    return rendezvous_owners('store-reader', (name, other), 1) == (name,)


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

    # Guards against a domain without the store that has a new configuration
    # only after the second digest of another one, at its bound.
    def test_one_digest_of_another_domain_leads_to_a_fetch(self) -> None:
        self.state_sync.state_version_received(
            vm('far', 'smouha'), self._newer_version()
        )
        self.reactor.advance(OTHER_DOMAIN_DELAY_S)
        self.assertEqual(len(self.reactor.tcpClients), 1)

    # Guards against billed traffic between domains for each change of the
    # registry, which the reader of the own domain reads a little later.
    def test_newer_registry_of_another_domain_is_not_fetched_at_once(
        self,
    ) -> None:
        self.state_sync.state_version_received(
            vm('far', 'smouha'),
            StateVersion(0, START, (9, 0), StorePosition(9)),
        )
        self.reactor.advance(OTHER_DOMAIN_DELAY_S)
        self.assertEqual(self.reactor.tcpClients, [])

    # Guards against a server that is gone, but used for good: a VM that listed
    # the registry anew has it without that server, under the same version.
    def test_removal_holds_if_a_peer_has_another_registry_of_its_version(
        self,
    ) -> None:
        directory = self.state_sync.state.directory
        directory.apply_records([Registration(0, 'i-0', server(0))], 0)
        directory.start_reregistration_grace(0)
        directory.apply_records(
            [Registration(1, 'i-0', None), Registration(2, 'i-1', server(1))], 0
        )
        listed = BackendDirectory()
        listed.resync([Registration(2, 'i-1', server(1))], StorePosition(3), 0)
        self.assertEqual(listed.version, directory.version)
        self.state_sync.state_version_received(
            vm('far', 'smouha'),
            StateVersion(0, START, listed.version, listed.resume_offset),
        )
        self.state_sync.reader.start()
        self._run(2 * REREGISTRATION_GRACE_S)
        directory.withhold(self.reactor.seconds())
        usable = self.state_sync.state.usable_backends()
        self.assertEqual([one.backend_id for one in usable], ['i-1'])

    # Guards against a removal that is void, and a server that is gone but used,
    # because a VM takes an equal version for an equal registry.
    def test_settled_registry_of_the_same_version_is_fetched(self) -> None:
        directory = self.state_sync.state.directory
        directory.apply_records([Registration(0, 'i-0', server(0))], 0)
        directory.start_reregistration_grace(0)
        directory.apply_records(
            [Registration(1, 'i-0', None), Registration(2, 'i-1', server(1))], 0
        )
        self.state_sync.state_version_received(
            vm('near'),
            StateVersion(0, START, directory.version, StorePosition(2)),
        )
        self.assertEqual(self.reactor.tcpClients, [])
        self.assertEqual(directory.resume_offset, 1)
        self.state_sync.state_version_received(
            vm('near'),
            StateVersion(0, START, directory.version, StorePosition(3)),
        )
        self.assertEqual(len(self.reactor.tcpClients), 1)
        self.assertEqual(directory.resume_offset, 1)

    # Guards against a VM that uses a server that has left, since it learned of
    # the removal without a change of the version.
    def test_registry_of_the_same_version_is_announced(self) -> None:
        directory = self.state_sync.state.directory
        directory.apply_records([Registration(0, 'i-0', server(0))], 0)
        directory.start_reregistration_grace(0)
        records = [
            Registration(1, 'i-0', None),
            Registration(2, 'i-1', server(1)),
        ]
        directory.apply_records(records, 0)
        sender = FleetState()
        sender.directory.resync(records[1:], StorePosition(3), 0)
        self.assertEqual(sender.versions, self.state_sync.state.versions)
        self._push(sender.update_since(KnownVersions()))
        self.assertEqual(set(directory.backends), {'i-1'})
        self.assertEqual(self.changes, ['teller'])

    def test_state_that_came_otherwise_is_not_fetched_after_the_delay(
        self,
    ) -> None:
        versions = self.sender_state.versions
        self.state_sync.state_version_received(
            vm('far', 'smouha'),
            StateVersion(0, versions.operator_offset, versions.backends, START),
        )
        self._push(self.sender_state.update_since(KnownVersions()))
        self.reactor.advance(OTHER_DOMAIN_DELAY_S)
        self.assertEqual(self.reactor.tcpClients, [])

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

    # Guards against a VM that hears that others are newer, gets no update, and
    # waits for good although it reaches the store.
    def test_vm_that_stays_behind_reads_the_store_itself(self) -> None:
        store = self.state_sync.reader._store
        self._hear_fresh_reader()
        self.state_sync.reader.start()
        self.reactor.advance(1)
        self.assertEqual(store.calls.total(), 0)
        store.write('smouha')
        self._hear_fresh_reader(operator_offset=1)
        self._run(CONFIG_BOUND_S / 2)
        self.assertEqual(self.state_sync.state.evacuated, {'smouha'})

    # Guards against a domain that falls behind with each version, since its
    # reader reads but cannot hand on what it reads.
    def test_vm_that_lacked_updates_reads_on_for_its_domain(self) -> None:
        self._hear_fresh_reader()
        self.state_sync.reader.start()
        self.assertFalse(self.state_sync.is_reader())
        self._hear_fresh_reader(operator_offset=1)
        self._run(CONFIG_BOUND_S / 2)
        self._hear_fresh_reader()
        self.assertTrue(self.state_sync.is_reader())
        self._run(TAKEOVER_S)
        self._hear_fresh_reader()
        self.assertFalse(self.state_sync.is_reader())

    # Guards against reads of the store that go on although this VM has all that
    # was read there before.
    def test_version_that_the_store_does_not_have_ends_the_reads(self) -> None:
        store = self.state_sync.reader._store
        self._hear_fresh_reader()
        self.state_sync.reader.start()
        self._hear_again_and_again()
        before = store.calls.copy()
        self._hear_again_and_again()
        self.assertEqual(store.calls, before)
        self.assertEqual(store.calls['list-operator'], 1)

    # Guards against a VM that keeps an older configuration, since the store has
    # given its position to another one and no position tells which is newer.
    def test_configuration_that_the_store_lost_is_fetched(self) -> None:
        self._push(self.sender_state.update_since(KnownVersions()))
        version = self.sender_state.versions.config or 0
        self._hear_held_config(version)
        self.assertEqual(len(self.reactor.tcpClients), 0)
        self._hear_held_config(version + 1)
        self.assertEqual(len(self.reactor.tcpClients), 1)

    # Guards against a final refusal of a route that another VM knows, and
    # against none for as long as this VM runs if that VM is lost.
    def test_vm_is_behind_while_another_holds_a_newer_configuration(
        self,
    ) -> None:
        self._push(self.sender_state.update_since(KnownVersions()))
        version = self.sender_state.versions.config or 0
        self._hear_held_config(version)
        self.assertIsNone(self.state_sync.retry_after_behind_s())
        self._hear_held_config(version + 1)
        self.assertIsNotNone(self.state_sync.retry_after_behind_s())
        self.state_sync.vms_lost(['near'])
        self.assertIsNone(self.state_sync.retry_after_behind_s())

    # Guards against a push whose configuration is newer, but whose position is
    # not, and that is never followed by a fetch.
    def test_push_that_lacks_a_newer_configuration_leads_to_a_fetch(
        self,
    ) -> None:
        self._push(self.sender_state.update_since(KnownVersions()))
        update = self.sender_state.update_since(self.state_sync.state.versions)
        newer = (update.config_version or 0) + 1
        self._push(replace(update, config_version=newer))
        teller, stated = vm('teller'), self.state_sync.state_version()
        self.state_sync.state_version_received(teller, stated)
        self.assertEqual(len(self.reactor.tcpClients), 1)

    # Guards against one VM that states a wrong era and lets all others list
    # the store again and again.
    def test_era_of_another_vm_says_nothing_of_the_store(self) -> None:
        self.state_sync.era_stated(1)
        with (
            patch.object(self.state_sync.reader, 'era_stated') as era_stated,
            patch('turmericpost.fleet.state_sync.log_event') as logged,
        ):
            for name in ('near', 'far'):
                self.state_sync.state_version_received(
                    vm(name), StateVersion(0, new_position(9, 1), (0, 0), START)
                )
        era_stated.assert_not_called()
        logged.assert_called_once_with(
            LogEvent.STORE_ERA_CHANGED, was=1, era=9, source='near'
        )

    def _hear_held_config(self, version: int) -> None:
        """Hear of a configuration from a VM whose positions are the same."""
        self.state_sync.held_config_received('near', version)
        self.state_sync.state_version_received(
            vm('near'), self.state_sync.state_version()
        )

    def _hear_again_and_again(self) -> None:
        """Hear of a newer version for longer than a takeover lasts."""
        for _ in range(int(2 * TAKEOVER_S)):
            self._hear_fresh_reader(operator_offset=9)
            self._run(1)

    def _hear_fresh_reader(self, operator_offset: int = 0) -> None:
        """Let the first VM by rank state a read that is not stale."""
        view = self.state_sync._view
        names = (f'near{number}' for number in range(9))
        first = next(name for name in names if _is_before(name, 'own'))
        now_s = self.reactor.seconds()
        view.record_heartbeat(vm(first), VmReadiness.READY, now_s)
        view.update_liveness(now_s)
        self.state_sync.state_version_received(
            vm(first),
            StateVersion(0, StorePosition(operator_offset), (0, 0), START),
        )

    def _run(self, seconds: float) -> None:
        for _ in range(int(seconds / _STEP_S)):
            self.reactor.advance(_STEP_S)

    def _newer_version(self) -> StateVersion:
        return StateVersion(0, StorePosition(7), (9, 0), StorePosition(9))

    def _push(self, update: object) -> None:
        self.state_sync.push_received('teller', encode_update(update))
