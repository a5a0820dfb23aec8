"""Tests of the queue of waiting calls and of the retry budget."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from turmericpost_core.limits.retry_budget import (
    RetryBudget,
    RetryBudgetSettings,
)
from turmericpost_core.limits.waiting_calls import WaitingCalls


class WaitingCallsTest(unittest.TestCase):
    def test_accounts_take_turns(self) -> None:
        waiting: WaitingCalls[int] = WaitingCalls(10)
        for account, call in (('a', 1), ('a', 2), ('a', 3), ('b', 4)):
            waiting.add(account, call)
        served = []
        while waiting:
            served.append(waiting.pop_next(next(waiting.next_by_account())[0]))
        self.assertEqual(served, [1, 4, 2, 3])

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.sampled_from('abc'), st.booleans())))
    def test_every_call_is_removed_once(
        self, steps: list[tuple[str, bool]]
    ) -> None:
        waiting: WaitingCalls[int] = WaitingCalls(5)
        queued_calls = set()
        for call, (account, is_add) in enumerate(steps):
            if is_add and not waiting.is_full:
                waiting.add(account, call)
                queued_calls.add(call)
            elif waiting:
                queued_calls.remove(
                    waiting.pop_next(next(waiting.next_by_account())[0])
                )
            self.assertEqual(len(waiting), len(queued_calls))
            self.assertEqual(set(waiting.calls()), queued_calls)
            self.assertLessEqual(len(waiting), 5)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_within_their_share_of_the_calls(self) -> None:
        budget = RetryBudget(RetryBudgetSettings(0.1, 5))
        retries = 0
        for _ in range(1000):
            budget.record_call()
            if budget.has_token:
                budget.spend()
                retries += 1
        self.assertLessEqual(retries, 0.1 * 1000 + 5)
        self.assertGreaterEqual(retries, 0.1 * 1000 - 1)


if __name__ == '__main__':
    unittest.main()
