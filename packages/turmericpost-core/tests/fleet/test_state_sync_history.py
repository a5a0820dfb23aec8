"""Simulated state sync: drains arrive in time, versions never go back.

The last two tests break the product code on purpose to show that each check
can fail.
"""

from __future__ import annotations

import unittest
from unittest.mock import patch

from tests.fleet.state_sync_history import (
    CONFIG_BOUND_S,
    DRAIN_BOUND_S,
    DURATION_S,
    VMS,
    StateSyncSimulation,
)
from turmericpost_core.fleet.directory import UpdateOutcome
from turmericpost_core.fleet.state import FleetState, FleetUpdate
from turmericpost_core.membership.store_read_schedule import new_read_schedule

RUNS = 1000
RUNS_WITH_FAULT = 60
FAULT_FREE_RUNS = 60


def only_first_reads(
    ranked: tuple[str, ...],
    own_name: str,
    *_: object,
) -> bool:
    """Broken reader selection: no other VM ever takes over."""
    return ranked[0] == own_name


def apply_any_update(state: FleetState, update: FleetUpdate) -> UpdateOutcome:
    """Broken update: accepts any configuration, even an older one."""
    if update.config is not None:
        config = state._configs.apply(update.config)
        state._configs.newest = config or state.config
    return UpdateOutcome.APPLIED


class StateSyncSimulationTest(unittest.TestCase):
    def test_drains_arrive_in_time_and_no_version_goes_back(self) -> None:
        drains = 0
        for seed in range(RUNS):
            history = StateSyncSimulation(seed).run()
            drains += len(history.drain_started_s)
            self.assertEqual(history.late_drains(), [], seed)
            self.assertFalse(history.has_reverted(), seed)
        self.assertGreater(drains, RUNS)

    def test_only_one_vm_reads_the_store_without_faults(self) -> None:
        """Each store request is billed, so a single VM should read."""
        for seed in range(FAULT_FREE_RUNS):
            history = StateSyncSimulation(seed)
            history.faults.clear()
            expected_reads = (
                DURATION_S
                / new_read_schedule(DRAIN_BOUND_S, CONFIG_BOUND_S).period_s
                + VMS
            )
            self.assertLessEqual(history.run().reads, expected_reads, seed)

    def test_drain_check_detects_a_missing_take_over(self) -> None:
        patched_name = 'tests.fleet.state_sync_history.is_reader'
        with patch(patched_name, only_first_reads):
            late_by_seed = [
                StateSyncSimulation(seed).run().late_drains()
                for seed in range(RUNS_WITH_FAULT)
            ]
        self.assertTrue(any(late_by_seed))

    def test_version_check_detects_a_vm_that_accepts_older_versions(
        self,
    ) -> None:
        with patch.object(FleetState, 'apply_update', apply_any_update):
            has_reverted = [
                StateSyncSimulation(seed).run().has_reverted()
                for seed in range(RUNS_WITH_FAULT)
            ]
        self.assertTrue(any(has_reverted))
