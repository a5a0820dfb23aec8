"""State of a VM whose store returns from a copy and begins another era."""

from __future__ import annotations

import unittest

from tests.fleet.test_state import config
from tests.grants.samples import backend
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.directory import BackendDirectory, UpdateOutcome
from turmericpost_core.fleet.earlier_era import (
    EARLIER_ERA_HOLD_S,
    REREGISTRATION_GRACE_S,
)
from turmericpost_core.fleet.state import (
    FleetState,
    KnownVersions,
    OperatorChange,
)
from turmericpost_core.fleet.store_position import new_position


def entry(
    era: int | None, offset: int, number: int, **changes: object
) -> Registration:
    return Registration(
        new_position(era, offset), f'b{number}', backend(number, **changes)
    )


def removal(era: int | None, offset: int, number: int) -> Registration:
    return Registration(new_position(era, offset), f'b{number}', None)


def published(era: int | None, offset: int, version: int) -> OperatorChange:
    return OperatorChange(new_position(era, offset), config(version))


def evacuation(
    era: int | None, offset: int, *, is_evacuated: bool = True
) -> OperatorChange:
    return OperatorChange(
        new_position(era, offset),
        evacuated_domain='nasr',
        is_evacuated=is_evacuated,
    )


class OperatorErasTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = FleetState()
        self.state.resync_operator(
            [published(1, 0, 4), evacuation(1, 1)], new_position(1, 2)
        )
        self.state.apply_operator_records(
            [published(1, 2, 5)], new_position(1, 3)
        )

    def return_from_copy(self, *changes: OperatorChange) -> None:
        self.state.resync_operator(changes, new_position(2, len(changes)))
        self.state.withhold(0)

    def test_configuration_in_force_is_kept_until_there_is_a_newer_one(
        self,
    ) -> None:
        self.return_from_copy(published(2, 0, 4))
        self.assertEqual(self.state.config.version, 5)
        self.assertEqual(self.state.held_config, 5)
        self.state.apply_operator_records(
            [published(2, 1, 7)], new_position(2, 2)
        )
        self.assertEqual(self.state.config.version, 7)
        self.assertIsNone(self.state.held_config)

    def test_configuration_is_no_longer_held_when_it_is_written_again(
        self,
    ) -> None:
        self.return_from_copy()
        self.assertEqual(self.state.held_config, 5)
        self.state.apply_operator_records(
            [published(2, 0, 5)], new_position(2, 1)
        )
        self.assertIsNone(self.state.held_config)

    def test_other_vm_gets_a_held_configuration_at_an_equal_position(
        self,
    ) -> None:
        self.return_from_copy(published(2, 0, 4))
        other = FleetState()
        other.resync_operator([published(2, 0, 4)], new_position(2, 1))
        outcome = other.apply_update(self.state.update_since(other.versions))
        self.assertIs(outcome, UpdateOutcome.APPLIED)
        self.assertEqual(other.config.version, 5)
        self.assertEqual(other.held_config, 5)

    def test_update_with_a_later_era_and_an_older_configuration(self) -> None:
        other = FleetState()
        other.resync_operator([published(2, 0, 4)], new_position(2, 1))
        update = other.update_since(self.state.versions)
        self.assertIs(self.state.apply_update(update), UpdateOutcome.APPLIED)
        self.assertEqual(self.state.config.version, 5)
        self.assertEqual(self.state.held_config, 5)
        self.assertEqual(self.state.operator_offset, other.operator_offset)
        self.assertEqual(self.state.out_of_service, {'nasr'})

    def test_evacuation_is_held_for_a_time(self) -> None:
        self.return_from_copy()
        self.assertEqual(self.state.evacuated, frozenset())
        self.state.withhold(EARLIER_ERA_HOLD_S - 0.1)
        self.assertEqual(self.state.out_of_service, {'nasr'})
        self.assertTrue(self.state.withhold(EARLIER_ERA_HOLD_S))
        self.assertEqual(self.state.out_of_service, frozenset())

    def test_evacuation_ends_when_the_operator_ends_it(self) -> None:
        self.return_from_copy()
        ended = evacuation(2, 0, is_evacuated=False)
        self.state.apply_operator_records([ended], new_position(2, 1))
        self.assertEqual(self.state.out_of_service, frozenset())

    def test_evacuation_that_is_written_again_does_not_end_by_time(
        self,
    ) -> None:
        self.return_from_copy()
        self.state.apply_operator_records(
            [evacuation(2, 0)], new_position(2, 1)
        )
        self.state.withhold(2 * EARLIER_ERA_HOLD_S)
        self.assertEqual(self.state.out_of_service, {'nasr'})

    def test_listing_of_an_earlier_era_is_ignored(self) -> None:
        self.return_from_copy(published(2, 0, 4))
        versions = self.state.versions
        late = [published(1, 0, 4), published(1, 2, 5)]
        self.assertFalse(self.state.resync_operator(late, new_position(1, 900)))
        self.assertEqual(self.state.versions, versions)

    def test_second_return_holds_what_the_first_one_held(self) -> None:
        self.return_from_copy(published(2, 0, 4), evacuation(2, 1))
        self.state.resync_operator([published(3, 0, 3)], new_position(3, 1))
        self.assertEqual(self.state.held_config, 5)
        self.assertEqual(self.state.out_of_service, {'nasr'})

    def test_without_an_era_nothing_is_held(self) -> None:
        state = FleetState()
        state.resync_operator([published(None, 0, 4)], new_position(None, 1))
        state.apply_operator_records(
            [evacuation(None, 1)], new_position(None, 2)
        )
        state.resync_operator([published(None, 0, 4)], new_position(None, 3))
        self.assertIsNone(state.held_config)
        self.assertEqual(state.out_of_service, frozenset())

    def test_update_of_an_earlier_release_without_era(self) -> None:
        """Its configuration counts if it is newer, its position does not."""
        older = FleetState()
        older.resync_operator([published(None, 8, 9)], new_position(None, 9))
        position = self.state.operator_offset
        outcome = self.state.apply_update(older.update_since(KnownVersions()))
        self.assertIs(outcome, UpdateOutcome.APPLIED)
        self.assertEqual(self.state.config.version, 9)
        self.assertEqual(self.state.operator_offset, position)
        self.assertEqual(self.state.evacuated, {'nasr'})


class DirectoryErasTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = BackendDirectory()
        self.directory.resync(
            [entry(1, 0, 0), entry(1, 1, 1)], new_position(1, 2), 0
        )

    def usable_ids(self, now_s: float) -> set[str]:
        self.directory.withhold(now_s)
        return self.used_ids()

    def used_ids(self) -> set[str]:
        """Return the servers in use, without a call that has a time."""
        return {
            known.backend_id
            for known in self.directory.in_use()
            if not known.is_draining
        }

    def hear(self, other: BackendDirectory) -> UpdateOutcome:
        update = other.update_since(self.directory.version)
        return self.directory.apply_update(update)

    def new_peer(self) -> BackendDirectory:
        peer = BackendDirectory()
        peer.apply_update(self.directory.update_since(None))
        return peer

    def test_draining_server_stays_out_of_use(self) -> None:
        drain = entry(1, 2, 0, is_draining=True)
        self.directory.apply_records([drain], 1)
        listed = [entry(2, 0, 0), entry(2, 1, 1)]
        self.directory.resync(listed, new_position(2, 2), 2)
        for now_s in (2, 2 * EARLIER_ERA_HOLD_S):
            self.assertEqual(self.usable_ids(now_s), {'b1'})
        restarted = entry(2, 2, 0, started_ms=2)
        self.directory.apply_records([restarted], 40)
        self.assertEqual(self.usable_ids(40), {'b0', 'b1'})

    def test_removed_server_is_withheld_for_a_time(self) -> None:
        self.directory.apply_records([removal(1, 2, 0)], 1)
        listed = [entry(2, 0, 0), entry(2, 1, 1)]
        self.directory.resync(listed, new_position(2, 2), 2)
        self.assertEqual(self.usable_ids(2), {'b1'})
        self.assertEqual(self.usable_ids(1.9 + EARLIER_ERA_HOLD_S), {'b1'})
        self.assertEqual(self.usable_ids(2 + EARLIER_ERA_HOLD_S), {'b0', 'b1'})

    # Guards against servers that left and are used again, because the VM knew no
    # other server when the store returned from a copy.
    def test_last_server_that_was_removed_is_withheld(self) -> None:
        records = [removal(1, 2, 0), removal(1, 3, 1)]
        self.directory.apply_records(records, 1)
        listed = [entry(2, 0, 0), entry(2, 1, 1)]
        self.directory.resync(listed, new_position(2, 2), 2)
        self.assertEqual(self.usable_ids(2), set())

    def test_removed_server_is_withheld_if_another_vm_lists_it(self) -> None:
        peer = self.new_peer()
        self.directory.apply_records([removal(1, 2, 0)], 1)
        listed = [entry(2, 0, 0), entry(2, 1, 1)]
        peer.resync(listed, new_position(2, 2), 2)
        self.assertIs(self.hear(peer), UpdateOutcome.APPLIED)
        self.assertIn('b0', self.directory.backends)
        self.assertNotIn('b0', self.used_ids())
        self.assertEqual(self.usable_ids(2), {'b1'})

    def test_server_that_the_copy_lacks_has_time_to_register_again(
        self,
    ) -> None:
        self.directory.resync([entry(2, 0, 0)], new_position(2, 1), 2)
        self.assertEqual(self.usable_ids(2), {'b0', 'b1'})
        self.assertEqual(self.usable_ids(4.4), {'b0', 'b1'})
        self.assertEqual(self.usable_ids(4.5), {'b0'})

    # Guards against live servers that the reader drops at once, because another
    # VM had told it of the era before it listed the copy.
    def test_grace_time_after_another_vm_told_of_the_era(self) -> None:
        peer = self.new_peer()
        listed = [entry(2, 0, 0)]
        peer.resync(listed, new_position(2, 1), 2)
        self.hear(peer)
        self.directory.resync(listed, new_position(2, 1), 2.1)
        self.directory.expire(2.1)
        self.assertEqual(self.usable_ids(2.1), {'b0', 'b1'})

    # Guards against grace times that never end, because VMs take each other's
    # state with postponed removals and list again.
    def test_grace_time_starts_once_in_an_era(self) -> None:
        listed = [entry(2, 0, 0)]
        self.directory.resync(listed, new_position(2, 1), 2)
        peer = self.new_peer()
        peer.resync(listed, new_position(2, 1), 3)
        self.hear(peer)
        self.directory.resync(listed, new_position(2, 1), 4)
        self.directory.expire(2 + REREGISTRATION_GRACE_S)
        self.assertEqual(self.usable_ids(2 + REREGISTRATION_GRACE_S), {'b0'})

    # Guards against live servers that are dropped when the store returns from a
    # copy for the second time, at the end of the grace time of the first one.
    def test_second_return_starts_another_grace_time(self) -> None:
        self.directory.resync([entry(2, 0, 0)], new_position(2, 1), 2)
        self.directory.resync([entry(3, 0, 0)], new_position(3, 1), 4)
        self.directory.expire(3.9 + REREGISTRATION_GRACE_S)
        self.assertEqual(self.usable_ids(6.4), {'b0', 'b1'})
        self.directory.expire(4 + REREGISTRATION_GRACE_S)
        self.assertEqual(self.usable_ids(6.5), {'b0'})

    # Guards against a listing that was answered before another VM read a drain
    # and that brings the server back into use, on all VMs.
    def test_listing_older_than_the_version_is_ignored(self) -> None:
        peer = self.new_peer()
        peer.resync([entry(2, 0, 0)], new_position(2, 1), 2)
        peer.apply_records([entry(2, 1, 0, is_draining=True)], 3)
        self.hear(peer)
        self.assertEqual(self.directory.version, peer.version)
        late = [entry(2, 0, 0)]
        self.assertFalse(self.directory.resync(late, new_position(2, 1), 3))
        self.assertNotIn('b0', self.usable_ids(3))
        self.assertEqual(self.directory.version, peer.version)

    # Guards against a drain that is undone by a VM that missed it and postpones
    # the removal that followed.
    def test_update_from_a_vm_that_missed_a_drain(self) -> None:
        peer = self.new_peer()
        self.directory.apply_records([entry(1, 2, 0, is_draining=True)], 1)
        peer.start_reregistration_grace(1)
        listed = [entry(1, 1, 1), entry(1, 4, 2)]
        peer.resync(listed, new_position(1, 5), 2)
        self.assertIs(self.hear(peer), UpdateOutcome.APPLIED)
        self.assertIn('b0', self.directory.backends)
        self.assertNotIn('b0', self.used_ids())
        self.assertEqual(self.usable_ids(2), {'b1', 'b2'})

    # Guards against a removed server that another VM still has and that is used
    # until the next call with a time.
    def test_held_server_in_a_later_update_is_withheld_at_once(self) -> None:
        peer = self.new_peer()
        self.directory.apply_records([removal(1, 2, 0)], 1)
        self.directory.resync([entry(2, 0, 1)], new_position(2, 1), 2)
        self.directory.withhold(2)
        listed = [entry(2, 0, 1), entry(2, 1, 0)]
        peer.resync(listed, new_position(2, 2), 3)
        self.assertIs(self.hear(peer), UpdateOutcome.APPLIED)
        self.assertNotIn('b0', self.used_ids())

    # Guards against VMs with different registries that count as equal, because
    # one of them knew of a start that the copy lacks.
    def test_later_start_than_the_listed_one_is_used(self) -> None:
        self.directory.apply_records([entry(1, 2, 0, started_ms=2)], 1)
        listed = [entry(2, 0, 0), entry(2, 1, 1)]
        self.directory.resync(listed, new_position(2, 2), 2)
        peer = BackendDirectory()
        peer.resync(listed, new_position(2, 2), 2)
        self.assertEqual(peer.version, self.directory.version)
        self.assertEqual(peer.backends, self.directory.backends)
        used = {known.backend_id: known for known in self.directory.in_use()}
        self.assertEqual(used['b0'].started_ms, 2)

    # Guards against a server that is used after a second return, though its own
    # record had removed it between, since its time to register was not over.
    def test_removal_between_two_returns_is_held(self) -> None:
        listed = [entry(2, 0, 0), entry(2, 1, 1)]
        peer = self.new_peer()
        peer.resync(listed, new_position(2, 2), 2)
        self.hear(peer)
        peer.apply_records([removal(2, 2, 0)], 2 + REREGISTRATION_GRACE_S)
        self.hear(peer)
        listed_again = [entry(3, 0, 0), entry(3, 1, 1)]
        self.directory.resync(listed_again, new_position(3, 2), 5)
        self.assertEqual(self.used_ids(), {'b1'})

    def test_records_of_an_earlier_era_are_skipped(self) -> None:
        listed = [entry(2, 0, 0), entry(2, 1, 1)]
        self.directory.resync(listed, new_position(2, 2), 2)
        late = [removal(1, 900, 0)]
        self.assertFalse(self.directory.apply_records(late, 3))
        self.assertEqual(set(self.directory.backends), {'b0', 'b1'})

    def test_unchanged_listing_of_another_era_raises_the_version(self) -> None:
        listed = [entry(2, 0, 0), entry(2, 1, 1)]
        self.assertTrue(self.directory.resync(listed, new_position(2, 2), 2))
        self.assertEqual(self.directory.era, 2)
        self.assertEqual(self.directory.logged_version, (2, 0))

    def test_without_an_era_a_listing_drops_servers_at_once(self) -> None:
        directory = BackendDirectory()
        directory.resync(
            [entry(None, 0, 0), entry(None, 1, 1)], new_position(None, 2), 0
        )
        directory.resync([entry(None, 0, 0)], new_position(None, 9), 1)
        self.assertEqual(set(directory.backends), {'b0'})

    def test_update_of_an_earlier_release_without_era(self) -> None:
        older = BackendDirectory()
        older.resync([entry(None, 900, 5)], new_position(None, 901), 0)
        self.assertIs(self.hear(older), UpdateOutcome.UNCHANGED)
        self.assertEqual(set(self.directory.backends), {'b0', 'b1'})

    def test_first_era_after_state_of_an_earlier_release(self) -> None:
        """The servers that it knew have time to register, too."""
        directory = BackendDirectory()
        older = BackendDirectory()
        older.resync([entry(None, 0, 5)], new_position(None, 1), 0)
        directory.apply_update(older.update_since(None))
        directory.resync([entry(0, 0, 0)], new_position(0, 1), 2)
        in_use = {known.backend_id for known in directory.in_use()}
        self.assertEqual(in_use, {'b0', 'b5'})
        directory.expire(2 + REREGISTRATION_GRACE_S)
        self.assertEqual(set(directory.backends), {'b0'})
