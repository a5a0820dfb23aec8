"""Reads of the store by VMs that are behind."""

from __future__ import annotations

import unittest

from turmericpost_core.membership.catch_up import TAKEOVER_S, CatchUp
from turmericpost_core.membership.store_read_schedule import new_read_schedule

CONFIG_BOUND_S = 2.0
VMS = 400


class CatchUpTest(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = new_read_schedule(2.0, CONFIG_BOUND_S)
        self.catch_up = CatchUp('vm1', self.schedule)

    def test_vm_reads_well_inside_the_configuration_bound(self) -> None:
        self.assertFalse(self.catch_up.must_read(None, 9))
        self.assertFalse(self.catch_up.must_read(9, 9))
        self.assertFalse(
            self.catch_up.must_read(9, 9 + self.schedule.behind_after_s - 0.01)
        )
        self.assertTrue(self.catch_up.must_read(9, 9 + CONFIG_BOUND_S / 2))

    # Guards against all VMs that read at the same moment when the updates of
    # their readers fail, beyond the rate that the store allows.
    def test_reads_of_many_vms_are_spread(self) -> None:
        catch_ups = [
            CatchUp(f'vm{number}', self.schedule) for number in range(VMS)
        ]
        steps = [step / 100 for step in range(200)]
        first_s = [
            next(at_s for at_s in steps if catch_up.must_read(0, at_s))
            for catch_up in catch_ups
        ]
        window_s = self.schedule.spread_s / 4
        most = max(
            sum(begin_s <= at_s < begin_s + window_s for at_s in first_s)
            for begin_s in first_s
        )
        self.assertLess(most, VMS / 2)
        self.assertLess(max(first_s), CONFIG_BOUND_S / 2)

    def test_vm_that_had_to_read_reads_on_for_a_while(self) -> None:
        self.assertFalse(self.catch_up.reads_on(1))
        self.catch_up.must_read(0, 1)
        self.assertTrue(self.catch_up.reads_on(TAKEOVER_S))
        self.assertFalse(self.catch_up.reads_on(1 + TAKEOVER_S))

    # Guards against VMs that all read without a pause although none of them can
    # hand on what it reads.
    def test_vm_that_cannot_hand_on_reads_for_itself_only(self) -> None:
        self.catch_up.must_read(0, 1)
        self.catch_up.hand_on_failed(1.5)
        self.assertFalse(self.catch_up.reads_on(1.5))
        self.assertTrue(self.catch_up.must_read(1.5, 3))
        self.assertFalse(self.catch_up.reads_on(3))
        self.catch_up.must_read(3, 2 + TAKEOVER_S)
        self.assertTrue(self.catch_up.reads_on(2 + TAKEOVER_S))


if __name__ == '__main__':
    unittest.main()
