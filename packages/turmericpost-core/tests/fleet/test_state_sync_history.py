"""Drains in force in time and no reverts, and checks that can fail."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from tests.fleet.state_sync_history import (
    DRAIN_S,
    LENGTH_S,
    VMS,
    LearningHistory,
)
from turmericpost_core.fleet.directory import UpdateOutcome
from turmericpost_core.fleet.state import FleetState, FleetUpdate
from turmericpost_core.membership.store_read_schedule import new_read_schedule

HISTORIES = 1000
BROKEN_HISTORIES = 60
CALM_HISTORIES = 60


def first_only(
    ranked: tuple[str, ...],
    own_name: str,
    *_: object,
) -> bool:
    """A turn that never passes on."""
    return ranked[0] == own_name


def take_any(state: FleetState, update: FleetUpdate) -> UpdateOutcome:
    """A VM that takes what it hears last."""
    if update.config is not None:
        config = state._configs.apply(update.config)
        state._configs.newest = config or state.config
    return UpdateOutcome.APPLIED


class LearningHistoryTest(unittest.TestCase):
    def test_drains_are_known_in_time_and_nothing_reverts(self) -> None:
        drains = 0
        for seed in range(HISTORIES):
            history = LearningHistory(seed).play()
            drains += len(history.drains_s)
            self.assertEqual(history.late_drains(), [], seed)
            self.assertFalse(history.reverted(), seed)
        self.assertGreater(drains, HISTORIES)

    def test_calm_domain_reads_the_store_through_one_vm(self) -> None:
        """Pattern: nothing fails, and each call of the store is billed."""
        for seed in range(CALM_HISTORIES):
            history = LearningHistory(seed)
            history.spans.clear()
            once = LENGTH_S / new_read_schedule(DRAIN_S).period_s + VMS
            self.assertLessEqual(history.play().reads, once, seed)

    def test_drain_check_sees_a_turn_that_never_passes_on(self) -> None:
        place = 'tests.fleet.state_sync_history.is_reader'
        with patch(place, first_only):
            late = [
                LearningHistory(seed).play().late_drains()
                for seed in range(BROKEN_HISTORIES)
            ]
        self.assertTrue(any(late))

    def test_revert_check_sees_a_vm_that_takes_anything(self) -> None:
        with patch.object(FleetState, 'apply_update', take_any):
            reverted = [
                LearningHistory(seed).play().reverted()
                for seed in range(BROKEN_HISTORIES)
            ]
        self.assertTrue(any(reverted))
