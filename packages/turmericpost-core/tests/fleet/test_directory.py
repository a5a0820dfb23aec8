"""Registry of backend servers: records, expiry, updates from other VMs."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tests.grants.samples import backend
from turmericpost_core.fleet.backends import Backend, Registration
from turmericpost_core.fleet.changes import (
    BackendChange,
    RegistryUpdate,
    directory_digest,
)
from turmericpost_core.fleet.directory import (
    REREGISTRATION_GRACE_S,
    BackendDirectory,
    UpdateOutcome,
)
from turmericpost_core.fleet.store_position import StorePosition


def registered(offset: int, number: int, **changes: object) -> Registration:
    return Registration(offset, f'b{number}', backend(number, **changes))


def removed(offset: int, number: int) -> Registration:
    return Registration(offset, f'b{number}', None)


def full_update(version: tuple[int, int], *backends: Backend) -> RegistryUpdate:
    return RegistryUpdate(
        base=None,
        version=version,
        next_offset=StorePosition(version[0]),
        digest=directory_digest(backends),
        changes=tuple(
            BackendChange(version, one.backend_id, one) for one in backends
        ),
    )


class BackendDirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = BackendDirectory()
        self.directory.apply_records([registered(0, 0), registered(1, 1)], 0)

    def test_duplicate_registration_is_no_change(self) -> None:
        version = self.directory.version
        self.assertFalse(self.directory.apply_records([registered(2, 0)], 1))
        self.assertEqual(self.directory.version, version)
        self.assertEqual(self.directory.next_offset, 3)

    def test_drain_and_removal_are_changes(self) -> None:
        drain = registered(2, 0, is_draining=True)
        self.assertTrue(self.directory.apply_records([drain], 1))
        self.assertTrue(self.directory.apply_records([removed(3, 1)], 1))
        self.assertEqual(set(self.directory.backends), {'b0'})

    def test_records_before_the_offset_are_skipped(self) -> None:
        self.directory.apply_records([removed(2, 0)], 1)
        self.assertFalse(self.directory.apply_records([registered(0, 0)], 1))
        self.assertNotIn('b0', self.directory.backends)

    def test_registration_of_an_older_start_is_ignored(self) -> None:
        self.directory.apply_records([registered(2, 0, started_ms=9)], 1)
        self.directory.apply_records([registered(3, 0, started_ms=1)], 1)
        self.assertEqual(self.directory.backends['b0'].started_ms, 9)

    def test_expired_registration_is_kept_after_an_outage(self) -> None:
        self.directory.start_reregistration_grace(10)
        self.assertFalse(self.directory.apply_records([removed(2, 0)], 10))
        self.assertIn('b0', self.directory.backends)
        self.directory.apply_records([registered(3, 0)], 11)
        self.assertFalse(self.directory.expire(10 + REREGISTRATION_GRACE_S))
        self.assertIn('b0', self.directory.backends)

    # Guards against live servers that all VMs drop for good after an outage of
    # the store: the VM that read the removals does not read on.
    def test_removal_is_void_once_another_vm_has_read_past_it(self) -> None:
        reader = BackendDirectory()
        reader.apply_update(self.directory.update_since(None))
        self.directory.start_reregistration_grace(10)
        self.directory.apply_records([removed(2, 0), removed(3, 1)], 10)
        reader.start_reregistration_grace(10)
        for record in (
            removed(2, 0),
            removed(3, 1),
            registered(4, 0),
            registered(5, 1),
        ):
            reader.apply_records([record], 10)
            self.directory.read_by_peer(reader.resume_offset)
        late_s = 10 + 2 * REREGISTRATION_GRACE_S
        self.assertFalse(self.directory.expire(late_s))
        self.assertFalse(self.directory.withhold(late_s))
        self.assertEqual(set(self.directory.backends), {'b0', 'b1'})

    # Guards against two VMs that list the registry after an outage and take each
    # other for evidence that a server that has left is registered.
    def test_removals_found_in_listings_do_not_void_each_other(self) -> None:
        other = BackendDirectory()
        other.apply_update(self.directory.update_since(None))
        other.read_by_peer(4)
        for directory, end in ((self.directory, 9), (other, 10)):
            directory.start_reregistration_grace(10)
            directory.resync([registered(8, 1)], StorePosition(end), 10)
        for _ in range(2):
            self.directory.read_by_peer(other.resume_offset)
            other.read_by_peer(self.directory.resume_offset)
        for directory in (self.directory, other):
            self.assertTrue(directory.expire(10 + REREGISTRATION_GRACE_S))
            self.assertEqual(set(directory.backends), {'b1'})

    def test_removal_stays_while_it_is_pending_at_the_other_vm(self) -> None:
        self.directory.start_reregistration_grace(10)
        self.directory.apply_records([removed(2, 0)], 10)
        self.directory.read_by_peer(2)
        self.assertTrue(self.directory.expire(10 + REREGISTRATION_GRACE_S))

    # Guards against a VM that drops servers although it has read nothing since
    # they may have registered again, and one that uses them without end.
    def test_missing_server_is_withheld_until_a_read_confirms_it(self) -> None:
        self.directory.start_reregistration_grace(10)
        self.directory.apply_records([removed(2, 0)], 10)
        due_s = 10 + REREGISTRATION_GRACE_S
        self.assertFalse(self.directory.expire(due_s - 0.1))
        self.assertTrue(self.directory.withhold(due_s))
        self.assertEqual(self.directory.withheld, {'b0'})
        self.assertIn('b0', self.directory.backends)
        self.directory.apply_records([registered(3, 0)], due_s)
        self.assertTrue(self.directory.withhold(due_s))
        self.assertFalse(self.directory.expire(due_s))
        self.assertEqual(self.directory.withheld, frozenset())

    def test_registration_missing_after_the_grace_time_is_dropped(self) -> None:
        self.directory.start_reregistration_grace(10)
        self.directory.apply_records([removed(2, 0)], 10)
        self.assertTrue(self.directory.expire(10 + REREGISTRATION_GRACE_S))
        self.assertNotIn('b0', self.directory.backends)

    # Guards against a server that has left and stays in use: the VM that read
    # its removal is lost within the grace time, and the next one reads on.
    def test_removal_in_the_grace_time_is_read_again_by_other_vms(self) -> None:
        removal = removed(2, 0)
        self.directory.start_reregistration_grace(10)
        self.directory.apply_records([removal], 10)
        other = BackendDirectory()
        other.apply_update(self.directory.update_since(None))
        self.assertIn('b0', other.backends)
        self.assertLessEqual(other.next_offset, removal.offset)
        other.apply_records([removal], 12)
        self.assertNotIn('b0', other.backends)

    def test_server_missing_in_a_listing_is_read_again_by_other_vms(
        self,
    ) -> None:
        self.directory.start_reregistration_grace(10)
        self.directory.resync([registered(1, 1)], StorePosition(9), 10)
        self.assertEqual(self.directory.resume_offset, 2)
        self.directory.expire(10 + REREGISTRATION_GRACE_S)
        self.assertEqual(self.directory.resume_offset, 9)

    def test_full_update_does_not_hide_a_removal_in_the_grace_time(
        self,
    ) -> None:
        removal = removed(2, 0)
        self.directory.start_reregistration_grace(10)
        self.directory.apply_records([removal, registered(3, 1)], 10)
        update = full_update((3, 0), backend(0), backend(1))
        self.directory.apply_update(
            replace(update, next_offset=StorePosition(2))
        )
        self.directory.apply_records([removal, registered(3, 1)], 20)
        self.assertNotIn('b0', self.directory.backends)

    # Guards against a server that is gone, but used for good: VMs that hold its
    # removal have the version of one that does not.
    def test_settled_registry_replaces_one_that_holds_a_removal(self) -> None:
        settled = self._copy()
        records = [removed(2, 0), registered(3, 2)]
        settled.apply_records(records, 10)
        self.directory.start_reregistration_grace(10)
        self.directory.apply_records(records, 10)
        taker = self._copy()
        self.assertEqual(taker.version, settled.version)
        for directory in (self.directory, taker):
            self.assertTrue(
                directory.lacks(settled.version, settled.resume_offset)
            )
            self.assertFalse(
                settled.lacks(directory.version, directory.resume_offset)
            )
            self._fetch(directory, settled)
            self.assertEqual(set(directory.backends), {'b1', 'b2'})
            self.assertTrue(directory.is_settled)

    # Guards against a server that is back, but not used: a VM that still holds
    # its removal has the version of one that has read on.
    def test_settled_registry_of_the_same_servers_voids_removals(self) -> None:
        self.directory.start_reregistration_grace(10)
        records = [removed(2, 0), registered(3, 2)]
        self.directory.apply_records(records, 10)
        reader = self._copy()
        reader.start_reregistration_grace(10)
        reader.apply_records([*records, registered(4, 0)], 10)
        self._fetch(self.directory, reader)
        self.assertFalse(self.directory.withhold(10 + REREGISTRATION_GRACE_S))
        self.assertIn('b0', self.directory.backends)

    # Guards against a server that is gone, but used for good: a VM that dropped
    # it takes it back from one that holds its removal, and does not read again.
    def test_registry_with_a_held_removal_is_read_again(self) -> None:
        reader = self._copy()
        reader.apply_records([removed(2, 0)], 10)
        self.directory.start_reregistration_grace(10)
        self.directory.apply_records([removed(2, 0), registered(3, 2)], 10)
        self._fetch(reader, self.directory)
        version = reader.version
        reader.apply_records([removed(2, 0), registered(3, 2)], 11)
        self.assertEqual(set(reader.backends), {'b1', 'b2'})
        self.assertGreater(reader.version, version)

    # Guards against VMs that each drop another server and then have one version.
    def test_versions_after_different_removals_differ(self) -> None:
        other = self._copy()
        for directory, first in ((self.directory, 0), (other, 1)):
            directory.start_reregistration_grace(10)
            directory.apply_records([removed(2, first)], 10)
            directory.start_reregistration_grace(12)
            directory.resync([], StorePosition(4), 12)
            directory.expire(10 + REREGISTRATION_GRACE_S)
        self.assertNotEqual(other.backends, self.directory.backends)
        self.assertNotEqual(other.version, self.directory.version)

    def _copy(self) -> BackendDirectory:
        copied = BackendDirectory()
        copied.apply_update(self.directory.update_since(None))
        return copied

    def _fetch(
        self, receiver: BackendDirectory, sender: BackendDirectory
    ) -> None:
        update = sender.update_since(receiver.version)
        if receiver.apply_update(update) is UpdateOutcome.MISMATCH:
            receiver.apply_update(sender.update_since(None))

    def test_draining_server_gets_no_grace_time(self) -> None:
        self.directory.apply_records([registered(2, 0, is_draining=True)], 9)
        self.directory.start_reregistration_grace(10)
        self.assertTrue(self.directory.apply_records([removed(3, 0)], 10))
        self.assertNotIn('b0', self.directory.backends)

    def test_listing_replaces_the_registry(self) -> None:
        self.assertTrue(
            self.directory.resync([registered(7, 1)], StorePosition(9), 1)
        )
        self.assertEqual(set(self.directory.backends), {'b1'})
        self.assertEqual(self.directory.next_offset, 9)

    def test_older_listing_is_ignored(self) -> None:
        self.assertFalse(self.directory.resync([], StorePosition(1), 1))
        self.assertEqual(set(self.directory.backends), {'b0', 'b1'})

    def test_only_newer_updates_are_applied(self) -> None:
        apply_update = self.directory.apply_update
        self.assertIs(
            apply_update(full_update((2, 0))), UpdateOutcome.UNCHANGED
        )
        self.assertIs(
            apply_update(full_update((3, 0), backend(5))), UpdateOutcome.APPLIED
        )
        self.assertEqual(set(self.directory.backends), {'b5'})

    def test_drain_record_is_newer_than_an_earlier_expiry(self) -> None:
        self.directory.start_reregistration_grace(10)
        self.directory.apply_records([removed(2, 0)], 10)
        self.directory.expire(10 + REREGISTRATION_GRACE_S)
        version = self.directory.version
        other = BackendDirectory()
        other.apply_records(
            [registered(0, 0), registered(2, 1, is_draining=True)], 0
        )
        self.assertGreater(other.version, version)
