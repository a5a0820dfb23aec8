"""How far a VM is behind what other VMs state."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from turmericpost_core.fleet.state_lag import (
    MAX_MISSING_VERSIONS,
    PartLag,
    StatedVersion,
    StateLag,
    StatePart,
    StateWay,
    is_outdated,
)


class PartLagTest(unittest.TestCase):
    def setUp(self) -> None:
        self.part_lag = PartLag()

    def _state(self, version: int, at_s: float) -> None:
        self.part_lag.record_statement(StatedVersion(version, 'vm1', at_s))

    def test_lag_begins_with_the_oldest_missing_version(self) -> None:
        for version in (5, 7, 6, 9):
            self._state(version, version)
        self.part_lag.record_own(5)
        self.assertEqual(self.part_lag.since_s, 7)
        self.assertEqual(self.part_lag.age_s(10), 3)
        self.part_lag.record_own(9)
        self.assertIsNone(self.part_lag.newest)
        self.assertEqual(self.part_lag.age_s(10), 0)

    # Guards against a VM that counts as behind for good because others count
    # the versions of the same records differently.
    def test_own_read_covers_all_that_was_stated_before_it(self) -> None:
        self._state(5, 1)
        self._state(6, 3)
        self.part_lag.record_read(2)
        self.assertEqual(self.part_lag.since_s, 3)
        self.part_lag.record_read(3)
        self.assertIsNone(self.part_lag.since_s)

    @given(st.lists(st.integers(1, 500), max_size=300))
    def test_lag_is_bounded_and_keeps_its_begin_and_newest(
        self, versions: list[int]
    ) -> None:
        part_lag = PartLag()
        for at_s, version in enumerate(versions):
            part_lag.record_statement(StatedVersion(version, 'vm1', at_s))
        if versions:
            assert part_lag.newest is not None
            self.assertEqual(part_lag.newest.version, max(versions))
            self.assertEqual(part_lag.since_s, 0)
        self.assertLessEqual(len(part_lag._missing), MAX_MISSING_VERSIONS)


class StateLagTest(unittest.TestCase):
    def test_failures_are_kept_by_part_while_it_is_behind(self) -> None:
        state_lag = StateLag()
        state_lag.record_failure(StateWay.PUSH, 'malformed')
        operator = state_lag.part(StatePart.OPERATOR)
        operator.record_statement(StatedVersion(1, 'vm1', 0))
        state_lag.record_failure(StateWay.FETCH, 'aborted')
        self.assertEqual(operator.failures, {(StateWay.FETCH, 'aborted'): 1})
        self.assertFalse(state_lag.part(StatePart.REGISTRY).failures)
        self.assertEqual(state_lag.failures.total(), 2)


class OutdatedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.part_lag = PartLag()

    def _is_outdated(self, *peer_versions: int, now_s: float = 3) -> bool:
        return is_outdated(self.part_lag, peer_versions, now_s, 2)

    def test_vm_that_is_behind_for_too_long_is_outdated(self) -> None:
        self.assertFalse(self._is_outdated(5, 5))
        self.part_lag.record_statement(StatedVersion(5, 'vm1', 0))
        self.assertTrue(self._is_outdated(5, 5))
        self.assertTrue(self._is_outdated(5, 4))
        self.assertFalse(self._is_outdated(5, 5, now_s=1))
        self.part_lag.record_own(5)
        self.assertFalse(self._is_outdated(5, 5))

    # Guards against one VM that states a wrong version and so takes all others
    # out of the addresses for callers.
    def test_one_vm_with_a_newer_version_takes_no_other_one_out(self) -> None:
        self.part_lag.record_statement(StatedVersion(5, 'vm1', 0))
        self.assertFalse(self._is_outdated(5, 4, 4))
        self.assertFalse(self._is_outdated(4, 4))
        self.assertFalse(self._is_outdated())


if __name__ == '__main__':
    unittest.main()
