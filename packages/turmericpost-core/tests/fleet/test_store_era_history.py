"""Seeded histories with eras: what is known outlives a copy of the store.

All tests but the first break the product code on purpose, to show that each
check can fail.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterable, Mapping
from contextlib import ExitStack
from dataclasses import replace
from unittest.mock import PropertyMock, patch

from tests.fleet.store_era_history import StoreEraHistory
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.fleet.config_updates import ConfigHistory, ConfigUpdate
from turmericpost_core.fleet.directory import BackendDirectory
from turmericpost_core.fleet.earlier_era import EarlierEra
from turmericpost_core.fleet.operator_config import OperatorConfig
from turmericpost_core.fleet.state import FleetState, FleetUpdate
from turmericpost_core.fleet.store_position import StorePosition

RUNS = 40
SEEDS = range(40)
HELD_CONFIG_SEEDS = range(30, 60)
LONG_S = 1e9
_apply_update = FleetState.apply_update
_begin_era = EarlierEra.begin_era


def failed_checks(seed: int) -> set[str]:
    """Return the names of the checks that fail in a history."""
    return set(StoreEraHistory(seed).run().checks.found)


def offset_without_era(_era: int | None, offset: int) -> StorePosition:
    """Broken position: offsets of two eras are compared."""
    return StorePosition(offset)


def install_any(history: ConfigHistory, config: OperatorConfig) -> bool:
    """Broken configurations: the last one read is in force."""
    history.newest = config
    return True


def apply_by_position(state: FleetState, update: FleetUpdate) -> object:
    """Broken update: only a later position brings a newer configuration."""
    if update.operator_offset <= state.operator_offset:
        return state.directory.apply_update(update.registry)
    return _apply_update(state, update)


def apply_to_any_base(
    history: ConfigHistory, update: ConfigUpdate
) -> OperatorConfig:
    """Broken update: changes are applied to whatever is in force."""
    base = history.newest
    routes = {route.name: route for route in base.routes} if base else {}
    routes.update((route.name, route) for route in update.routes)
    return OperatorConfig(
        update.version, tuple(routes.values()), update.services, update.limits
    )


def hold_nothing(*_: object) -> None:
    """Broken departures: an older copy of the store is right."""


def hold_no_draining(
    earlier_era: EarlierEra, registered: Mapping[str, Backend]
) -> None:
    """Broken departures: only removals are held."""
    serving = {
        name: replace(backend, is_draining=False)
        for name, backend in registered.items()
    }
    _begin_era(earlier_era, serving)


def keep_nothing(
    earlier_era: EarlierEra, registered: Mapping[str, Backend]
) -> None:
    """Broken grace time: servers that the copy lacks are gone at once."""
    _begin_era(earlier_era, registered)
    earlier_era._present = {}
    earlier_era._update_servers()


def hold_no_evacuations(state: FleetState, position: StorePosition) -> bool:
    """Broken state: evacuations that the copy lacks end at once."""
    if position.era == state.operator_offset.era:
        return False
    state._stored_config = None
    return True


class StoreEraHistoryTest(unittest.TestCase):
    # Guards against configurations that go back or are missing on some VMs,
    # servers that left and are used, servers that run and are not used, and
    # evacuations that end, after the store has returned from a copy.
    def test_what_vms_know_outlives_a_copy_of_the_store(self) -> None:
        drills = 0
        for seed in range(RUNS):
            history = StoreEraHistory(seed).run()
            drills += len(history.drill_ends_s)
            self.assertEqual(dict(history.checks.found), {}, seed)
        self.assertGreater(drills, RUNS)


class BrokenCodeTest(unittest.TestCase):
    def assert_detected(
        self, check: str, *faults: object, seeds: Iterable[int] = SEEDS
    ) -> None:
        """Assert that a check fails in one of the histories of broken code."""
        with ExitStack() as stack:
            for fault in faults:
                stack.enter_context(fault)
            is_detected = any(check in failed_checks(seed) for seed in seeds)
        self.assertTrue(is_detected)

    def test_offsets_that_are_compared_across_eras(self) -> None:
        self.assert_detected(
            'late-config',
            patch('tests.fleet.era_store.new_position', offset_without_era),
            patch.object(StorePosition, 'is_of_era', return_value=True),
        )

    def test_equal_positions_with_other_evacuations(self) -> None:
        self.assert_detected(
            'equal-evacuated',
            patch('tests.fleet.era_store.new_position', offset_without_era),
            patch.object(StorePosition, 'is_of_era', return_value=True),
        )

    def test_equal_versions_with_other_servers(self) -> None:
        self.assert_detected(
            'equal-servers',
            patch('tests.fleet.era_store.new_position', offset_without_era),
            patch.object(StorePosition, 'is_of_era', return_value=True),
        )

    def test_departures_that_are_not_held(self) -> None:
        self.assert_detected(
            'removed-used', patch.object(EarlierEra, 'begin_era', hold_nothing)
        )

    def test_draining_servers_that_are_not_held(self) -> None:
        self.assert_detected(
            'draining-used',
            patch.object(EarlierEra, 'begin_era', hold_no_draining),
        )

    def test_departures_that_are_held_for_good(self) -> None:
        name = 'turmericpost_core.fleet.earlier_era.EARLIER_ERA_HOLD_S'
        self.assert_detected('end-servers', patch(name, LONG_S))

    def test_evacuations_that_are_not_held(self) -> None:
        self.assert_detected(
            'evacuation-lost',
            patch.object(FleetState, '_begin_era', hold_no_evacuations),
        )

    def test_evacuations_that_are_held_for_good(self) -> None:
        name = 'turmericpost_core.fleet.state.EARLIER_ERA_HOLD_S'
        self.assert_detected('end-evacuated', patch(name, LONG_S))

    def test_held_configuration_that_is_not_told(self) -> None:
        nothing = PropertyMock(return_value=None)
        self.assert_detected(
            'late-config',
            patch.object(FleetState, 'held_config', nothing),
            seeds=HELD_CONFIG_SEEDS,
        )

    def test_configurations_that_are_compared_by_position(self) -> None:
        self.assert_detected(
            'late-config',
            patch.object(FleetState, 'apply_update', apply_by_position),
            seeds=HELD_CONFIG_SEEDS,
        )

    def test_configurations_that_go_back(self) -> None:
        self.assert_detected(
            'config-back', patch.object(ConfigHistory, 'install', install_any)
        )

    def test_changes_of_configurations_that_are_applied_to_another_one(
        self,
    ) -> None:
        self.assert_detected(
            'equal-config',
            patch.object(ConfigHistory, 'apply', apply_to_any_base),
        )

    def test_lost_servers_that_get_no_time_to_register(self) -> None:
        self.assert_detected(
            'live-dropped',
            patch.object(EarlierEra, 'begin_era', keep_nothing),
        )

    def test_lost_servers_that_are_kept_for_good(self) -> None:
        name = 'turmericpost_core.fleet.earlier_era.REREGISTRATION_GRACE_S'
        self.assert_detected('end-servers', patch(name, LONG_S))

    def test_registries_that_stay_unsettled(self) -> None:
        never = patch.object(BackendDirectory, 'expire', return_value=False)
        self.assert_detected('late-servers', never)
