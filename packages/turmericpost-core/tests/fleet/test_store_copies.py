"""State after the store has returned from a copy, told by other VMs."""

from __future__ import annotations

import unittest
from collections.abc import Iterable

from tests.fleet.test_state import config
from tests.grants.samples import backend
from turmericpost_core.fleet.backends import Backend, Registration
from turmericpost_core.fleet.directory import BackendDirectory
from turmericpost_core.fleet.earlier_era import EARLIER_ERA_HOLD_S
from turmericpost_core.fleet.state import FleetState, OperatorChange
from turmericpost_core.fleet.store_position import new_position

_ERA = 1
_LATER_ERA = 2
_RETURNED_S = 100.0


def _records(
    backends: Iterable[Backend], era: int = _ERA, begin: int = 0
) -> list[Registration]:
    return [
        Registration(new_position(era, begin + number), one.backend_id, one)
        for number, one in enumerate(backends)
    ]


def _directory(*backends: Backend) -> BackendDirectory:
    directory = BackendDirectory()
    records = _records(backends)
    directory.resync(records, new_position(_ERA, len(records)), 0)
    return directory


def _used(directory: BackendDirectory) -> set[str]:
    return {one.backend_id for one in directory.in_use()}


class RegistryOfACopyTest(unittest.TestCase):
    # Guards against servers that are dropped at once although they may register
    # again, by a VM that heard of the later era before it read the store.
    def test_vm_that_took_an_update_gives_servers_time_to_register(
        self,
    ) -> None:
        first = _directory(backend(0), backend(1))
        second = _directory(backend(0), backend(1))
        copy = _records([backend(0)], _LATER_ERA)
        end = new_position(_LATER_ERA, 1)
        first.resync(copy, end, _RETURNED_S)
        second.apply_update(first.update_since(second.version))
        self.assertIn('b1', _used(second))
        second.resync(copy, end, _RETURNED_S + 0.5)
        self.assertEqual(_used(second), {'b0', 'b1'})

    # Guards against the same drop on all VMs, as they take the update of the one
    # that dropped the server.
    def test_drop_by_another_reader_is_not_passed_on(self) -> None:
        first = _directory(backend(0), backend(1))
        second = _directory(backend(0), backend(1))
        copy = _records([backend(0)], _LATER_ERA)
        end = new_position(_LATER_ERA, 1)
        first.resync(copy, end, _RETURNED_S)
        second.apply_update(first.update_since(second.version))
        second.resync(copy, end, _RETURNED_S + 0.5)
        first.apply_update(second.update_since(first.version))
        self.assertEqual(_used(first), {'b0', 'b1'})

    # Guards against the same drop by a VM that has just started: it never knew
    # the server, and its registry counts as the settled or newer one.
    def test_listing_of_a_started_vm_drops_no_server_in_grace(self) -> None:
        for written_since in (0, 1):
            with self.subTest(written_since=written_since):
                first = _directory(backend(0), backend(1))
                copy = _records([backend(0)], _LATER_ERA)
                first.resync(copy, new_position(_LATER_ERA, 1), _RETURNED_S)
                started = BackendDirectory()
                end = new_position(_LATER_ERA, 1 + written_since)
                started.resync(copy, end, _RETURNED_S + 0.5)
                first.apply_update(started.update_since(None))
                self.assertIn('b1', _used(first))

    # Guards against calls to a server that leaves, if the copy lacks it and its
    # records are written again one after the other.
    def test_leaving_server_that_the_copy_lacks_stays_withheld(self) -> None:
        leaving = backend(1, is_draining=True)
        directory = _directory(backend(0), leaving)
        copy = _records([backend(0)], _LATER_ERA)
        directory.resync(copy, new_position(_LATER_ERA, 1), _RETURNED_S)
        written_again = _records([backend(1)], _LATER_ERA, 1)
        directory.apply_records(written_again, _RETURNED_S + 1)
        directory.withhold(_RETURNED_S + 1)
        self.assertEqual(_used(directory), {'b0'})

    # Guards against a record that the store has lost and that a late response
    # brings into the registry of the later era.
    def test_record_of_the_earlier_era_is_not_applied_after_an_update(
        self,
    ) -> None:
        first = _directory(backend(0), backend(1))
        second = _directory(backend(0), backend(1))
        copy = _records([backend(0)], _LATER_ERA)
        first.resync(copy, new_position(_LATER_ERA, 1), _RETURNED_S)
        second.apply_update(first.update_since(second.version))
        lost = _records([backend(2)], _ERA, 2)
        second.apply_records(lost, _RETURNED_S)
        self.assertNotIn('b2', second.backends)

    # Guards against calls to a server that is gone, as its removal is lost again
    # by a second return of the store and counts from the first one only.
    def test_second_return_holds_a_lost_removal_anew(self) -> None:
        directory = _directory(backend(0), backend(1))
        removal = Registration(new_position(_ERA, 2), 'b1', None)
        directory.apply_records([removal], 0)
        both = (backend(0), backend(1))
        returns_s = (_RETURNED_S, _RETURNED_S + EARLIER_ERA_HOLD_S - 1)
        for era, returned_s in enumerate(returns_s, _LATER_ERA):
            copy = _records(both, era)
            directory.resync(copy, new_position(era, 2), returned_s)
            directory.withhold(returned_s)
            self.assertEqual(_used(directory), {'b0'})
        directory.withhold(returns_s[-1] + 2)
        self.assertEqual(_used(directory), {'b0'})


class ConfigurationOfACopyTest(unittest.TestCase):
    # Guards against a newer configuration of which no VM tells, after the VM
    # that listed the copy has ended.
    def test_vm_that_took_an_update_tells_of_a_lost_configuration(
        self,
    ) -> None:
        states = FleetState(), FleetState()
        for state in states:
            state.resync_operator(
                [OperatorChange(new_position(_ERA, 1), config(2))],
                new_position(_ERA, 2),
            )
        first, second = states
        copy = [OperatorChange(new_position(_LATER_ERA, 0), config(1))]
        end = new_position(_LATER_ERA, 1)
        first.resync_operator(copy, end)
        second.apply_update(first.update_since(second.versions))
        self.assertEqual(first.held_config, 2)
        self.assertEqual(second.held_config, 2)

    # Guards against a domain that stays out of service, on VMs that hear from
    # another one that the operator has taken the evacuation back.
    def test_update_ends_an_evacuation_that_was_taken_back(self) -> None:
        states = FleetState(), FleetState()
        evacuated = OperatorChange(new_position(_ERA, 0), None, 'nasr')
        for state in states:
            state.resync_operator([evacuated], new_position(_ERA, 1))
        first, second = states
        first.resync_operator([], new_position(_LATER_ERA, 0))
        second.apply_update(first.update_since(second.versions))
        taken_back = OperatorChange(
            new_position(_LATER_ERA, 0), None, 'nasr', is_evacuated=False
        )
        first.apply_operator_records([taken_back], new_position(_LATER_ERA, 1))
        second.apply_update(first.update_since(second.versions))
        self.assertEqual(first.out_of_service, frozenset())
        self.assertEqual(second.out_of_service, frozenset())

    # Guards against calls to an evacuated domain, as the evacuation is lost again
    # by a second return of the store and is held from the first one only.
    def test_second_return_holds_an_evacuation_anew(self) -> None:
        state = FleetState()
        evacuated = OperatorChange(new_position(_ERA, 0), None, 'nasr')
        state.resync_operator([evacuated], new_position(_ERA, 1))
        returns_s = (_RETURNED_S, _RETURNED_S + EARLIER_ERA_HOLD_S - 1)
        for era, returned_s in enumerate(returns_s, _LATER_ERA):
            state.resync_operator([], new_position(era, 0))
            state.withhold(returned_s)
            self.assertEqual(state.out_of_service, {'nasr'})
        state.withhold(returns_s[-1] + 2)
        self.assertEqual(state.out_of_service, {'nasr'})


if __name__ == '__main__':
    unittest.main()
