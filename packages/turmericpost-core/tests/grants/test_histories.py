"""Promises over seeded histories of brokers, and checks that can fail."""

from __future__ import annotations

import unittest
from unittest.mock import PropertyMock, patch

from tests.grants.history import (
    COLD_OVER,
    COLD_PER_S,
    COLD_SLACK,
    RATIO,
    SLACK,
    WINDOW_S,
    History,
    Outcome,
    most_within,
)
from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.sliding_retry_budget import SlidingRetryBudget
from turmericpost_core.outcome.next_step import AttemptHistory, NextStep

POOL_SLACK = SLACK / 4
HISTORIES = 1000
BROKEN_HISTORIES = 60


def cold_pace_broken(outcome: Outcome) -> bool:
    bound = COLD_PER_S * COLD_OVER + COLD_SLACK
    for name, times_s in outcome.arrivals_s.items():
        until_s = outcome.cold_until_s[name]
        cold = [time_s for time_s in times_s if time_s < until_s]
        if most_within(cold, 1) > bound:
            return True
    return False


def budget_broken(outcome: Outcome) -> bool:
    most = most_within(outcome.repeats_s, WINDOW_S)
    return most > RATIO * len(outcome.calls_s) + POOL_SLACK


def ran_twice(outcome: Outcome) -> bool:
    return any(
        call.runs > 1 for call in outcome.calls if not call.record.is_idempotent
    )


def not_run_is_false(outcome: Outcome) -> bool:
    return any(
        call.runs and call.ended_as is NextStep.FAIL_NOT_RUN
        for call in outcome.calls
    )


class HistoryTest(unittest.TestCase):
    def test_promises_hold_in_every_history(self) -> None:
        checks = (cold_pace_broken, budget_broken, ran_twice, not_run_is_false)
        runs = 0
        for seed in range(HISTORIES):
            outcome = History(seed).play()
            runs += sum(call.runs for call in outcome.calls)
            for check in checks:
                self.assertFalse(check(outcome), (check.__name__, seed))
        self.assertGreater(runs, HISTORIES)

    def test_pace_check_sees_a_broker_without_pace(self) -> None:
        with patch.object(BackendState, 'may_take_at_pace', return_value=True):
            self.assertTrue(self._any_broken(cold_pace_broken))

    def test_budget_check_sees_a_broker_without_budget(self) -> None:
        always = PropertyMock(return_value=True)
        with (
            patch.object(SlidingRetryBudget, 'take', return_value=True),
            patch.object(AttemptHistory, 'may_attempt', always),
            patch('tests.grants.history.SHED_WEIGHT', 9),
        ):
            self.assertTrue(self._any_broken(budget_broken))

    def test_run_check_sees_repeats_of_what_may_have_run(self) -> None:
        always = PropertyMock(return_value=True)
        with (
            patch.object(SlidingRetryBudget, 'take', return_value=True),
            patch.object(AttemptHistory, 'may_attempt', always),
        ):
            self.assertTrue(self._any_broken(ran_twice))

    def test_truth_check_sees_false_words(self) -> None:
        with patch(
            'turmericpost_core.outcome.next_step.failure_step',
            return_value=NextStep.FAIL_NOT_RUN,
        ):
            self.assertTrue(self._any_broken(not_run_is_false))

    def _any_broken(self, check: object) -> bool:
        return any(
            check(History(seed).play()) for seed in range(BROKEN_HISTORIES)
        )
