"""Fleet state: records apply in offset order, versions never go back."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from tests.grants.samples import SPEC, backend
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.directory import UpdateOutcome
from turmericpost_core.fleet.operator_config import (
    CallerLimits,
    OperatorConfig,
    OperatorRoute,
    RouteIndex,
    SplitPart,
)
from turmericpost_core.fleet.state import (
    FleetState,
    KnownVersions,
    OperatorChange,
)
from turmericpost_core.fleet.store_position import StorePosition

_LIMITS = CallerLimits(16384, 67108864, 3, 15)


def route(path: str, host: str = 'a', **weights: float) -> OperatorRoute:
    parts = weights or {'press': 1}
    return OperatorRoute(
        name=path,
        host=host,
        path_prefix=path,
        is_idempotent=True,
        timeout_s=1,
        objective_s=0.5,
        rank=1,
        split=tuple(SplitPart(*part) for part in parts.items()),
        max_attempts=2,
        home_regions=frozenset(),
    )


def config(version: int) -> OperatorConfig:
    return OperatorConfig(
        version,
        (route('/a/'),),
        {SPEC.name: SPEC},
        _LIMITS,
    )


class FleetStateTest(unittest.TestCase):
    def test_older_configuration_is_ignored(self) -> None:
        state = FleetState()
        state.apply_operator_records(
            [OperatorChange(0, config(5))], StorePosition(1)
        )
        state.apply_operator_records(
            [OperatorChange(1, config(3))], StorePosition(2)
        )
        self.assertEqual(state.config.version, 5)

    def test_servers_of_an_evacuated_domain_are_not_usable(self) -> None:
        state = FleetState()
        registered = Registration(0, 'b0', backend(0))
        state.directory.apply_records([registered], 0)
        evacuation = OperatorChange(0, evacuated_domain='nasr')
        state.apply_operator_records([evacuation], StorePosition(1))
        self.assertEqual(state.usable_backends(), ())
        self.assertEqual(state.slots('press'), {})
        evacuation_end = OperatorChange(
            1, evacuated_domain='nasr', is_evacuated=False
        )
        state.apply_operator_records([evacuation_end], StorePosition(2))
        self.assertEqual(len(state.usable_backends()), 1)

    def test_listing_ends_evacuations_that_it_does_not_contain(self) -> None:
        state = FleetState()
        state.apply_operator_records(
            [OperatorChange(0, evacuated_domain='nasr')], StorePosition(1)
        )
        self.assertTrue(state.resync_operator([], StorePosition(9)))
        self.assertEqual(state.evacuated, frozenset())

    def test_update_is_rejected_if_an_earlier_configuration_is_missing(
        self,
    ) -> None:
        """The update with the earlier configuration was lost."""
        sender, receiver = FleetState(), FleetState()
        for state in (sender, receiver):
            state.apply_operator_records(
                [OperatorChange(0, config(1))], StorePosition(1)
            )
        sender.apply_operator_records(
            [OperatorChange(1, config(2))], StorePosition(2)
        )
        known = sender.versions
        evacuation = OperatorChange(2, evacuated_domain='nasr')
        sender.apply_operator_records([evacuation], StorePosition(3))
        partial_update = sender.update_since(known)
        self.assertIs(
            receiver.apply_update(partial_update), UpdateOutcome.MISMATCH
        )
        self.assertEqual(receiver.operator_offset, 1)
        receiver.apply_update(sender.update_since(receiver.versions))
        self.assertEqual(receiver.versions, sender.versions)
        self.assertEqual(receiver.evacuated, {'nasr'})

    @given(st.permutations(tuple(range(6))))
    def test_version_never_decreases_with_updates_in_any_order(
        self,
        order: list[int],
    ) -> None:
        """Six VMs, each with one more record, send updates in any order."""
        updates = []
        sender = FleetState()
        for offset in order:
            sender = FleetState()
            changes = [
                OperatorChange(one, config(one + 1))
                for one in range(offset + 1)
            ]
            sender.apply_operator_records(changes, StorePosition(offset + 1))
            updates.append(sender.update_since(KnownVersions()))
        receiver_state = FleetState()
        highest_version = 0
        for update in updates:
            receiver_state.apply_update(update)
            self.assertGreaterEqual(
                receiver_state.config.version, highest_version
            )
            highest_version = receiver_state.config.version
        self.assertEqual(highest_version, 6)


class RouteTest(unittest.TestCase):
    def test_longest_path_prefix_wins(self) -> None:
        index = RouteIndex((route('/a/'), route('/a/b/'), route('/', 'z')))
        self.assertEqual(index.find('a', '/a/b/c').name, '/a/b/')
        self.assertEqual(index.find('a', '/a/c').name, '/a/')
        self.assertIsNone(index.find('a', '/b'))
        self.assertIsNone(index.find('q', '/a/'))

    def test_calls_are_split_by_weight(self) -> None:
        split = route('/a/', one=90, two=10)
        points = [step / 1000 for step in range(1000)]
        found = [split.pick_service(point) for point in points]
        self.assertEqual(found.count('two'), 100)
