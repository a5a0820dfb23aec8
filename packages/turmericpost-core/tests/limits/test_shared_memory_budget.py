"""Tests of the memory that the connections of a process use together."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from turmericpost_core.limits.shared_memory_budget import SharedMemoryBudget

_LIMIT_BYTES = 1000
_HOLDERS = 10


class SharedMemoryBudgetTest(unittest.TestCase):
    # Guards against usual callers that are refused because of others.
    def test_own_part_is_always_allowed(self) -> None:
        budget = SharedMemoryBudget(_LIMIT_BYTES, _HOLDERS)
        budget.change(5000)
        self.assertTrue(budget.allows(_LIMIT_BYTES // _HOLDERS))
        self.assertFalse(budget.allows(_LIMIT_BYTES // _HOLDERS + 1))

    # Guards against a limit that a single large request meets in calm.
    def test_one_holder_may_use_the_common_rest(self) -> None:
        budget = SharedMemoryBudget(_LIMIT_BYTES, _HOLDERS)
        budget.change(_LIMIT_BYTES)
        self.assertTrue(budget.allows(_LIMIT_BYTES))

    # Guards against holders that exceed the memory together, whatever they do.
    @given(
        st.lists(st.tuples(st.integers(0, _HOLDERS - 1), st.integers(0, 400)))
    )
    def test_sum_is_bounded(self, uses: list[tuple[int, int]]) -> None:
        budget = SharedMemoryBudget(_LIMIT_BYTES, _HOLDERS)
        used = [0] * _HOLDERS
        for holder, use_bytes in uses:
            budget.change(use_bytes - used[holder])
            used[holder] = use_bytes
            if not budget.allows(use_bytes):
                budget.change(-use_bytes)
                used[holder] = 0
            self.assertEqual(budget.used_bytes, sum(used))
            self.assertLess(budget.used_bytes, 2 * _LIMIT_BYTES)


if __name__ == '__main__':
    unittest.main()
