"""Tests of the step after an attempt: safe retries and true outcomes."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from turmericpost_core.outcome.next_step import (
    MAX_TOTAL_ATTEMPTS,
    AttemptHistory,
    AttemptStatus,
    NextStep,
    next_step,
    record_attempt,
)

_STATUSES = st.lists(st.sampled_from(tuple(AttemptStatus)), max_size=8)
_RAN = frozenset((AttemptStatus.ANSWERED, AttemptStatus.LOST))


class NextStepTest(unittest.TestCase):
    @given(_STATUSES, st.integers(min_value=1, max_value=4))
    def test_non_idempotent_call_runs_at_most_once(
        self,
        attempt_statuses: list[AttemptStatus],
        max_attempts: int,
    ) -> None:
        runs = self._simulate_call(False, max_attempts, attempt_statuses)[0]
        self.assertLessEqual(runs, 1)

    @given(st.booleans(), _STATUSES, st.integers(min_value=1, max_value=4))
    def test_not_run_is_reported_only_if_true(
        self,
        is_idempotent: bool,
        attempt_statuses: list[AttemptStatus],
        max_attempts: int,
    ) -> None:
        runs, step = self._simulate_call(
            is_idempotent, max_attempts, attempt_statuses
        )
        if step is NextStep.FAIL_NOT_RUN:
            self.assertEqual(runs, 0)

    @given(_STATUSES, st.integers(min_value=1, max_value=4))
    def test_attempts_are_bounded(
        self,
        attempt_statuses: list[AttemptStatus],
        max_attempts: int,
    ) -> None:
        runs = self._simulate_call(True, max_attempts, attempt_statuses)[0]
        self.assertLessEqual(runs, max_attempts)

    def test_attempts_are_bounded_even_if_none_ran(self) -> None:
        history = AttemptHistory(is_idempotent=True, max_attempts=9)
        for _ in range(MAX_TOTAL_ATTEMPTS):
            self.assertTrue(history.may_attempt)
            history = record_attempt(history, AttemptStatus.NOT_RUN)
        step = next_step(history, AttemptStatus.NOT_RUN)
        self.assertIs(step, NextStep.FAIL_NOT_RUN)

    def test_error_response_is_retried_or_delivered(self) -> None:
        first = record_attempt(AttemptHistory(True, 2), AttemptStatus.ANSWERED)
        step = next_step(first, AttemptStatus.ANSWERED, 500)
        self.assertIs(step, NextStep.RETRY_OR_DELIVER)
        self.assertIs(
            next_step(first, AttemptStatus.ANSWERED, 200),
            NextStep.DELIVER,
        )
        last = record_attempt(first, AttemptStatus.ANSWERED)
        step = next_step(last, AttemptStatus.ANSWERED, 500)
        self.assertIs(step, NextStep.DELIVER)

    def test_attempt_after_an_unsent_one_is_no_retry(self) -> None:
        history = record_attempt(
            AttemptHistory(True, 2), AttemptStatus.NOT_SENT
        )
        self.assertFalse(history.is_retry)
        self.assertTrue(record_attempt(history, AttemptStatus.NOT_RUN).is_retry)

    def _simulate_call(
        self,
        is_idempotent: bool,
        max_attempts: int,
        attempt_statuses: list[AttemptStatus],
    ) -> tuple[int, NextStep | None]:
        history = AttemptHistory(is_idempotent, max_attempts)
        runs = 0
        step = None
        for attempt_status in attempt_statuses:
            runs += attempt_status in _RAN
            history = record_attempt(history, attempt_status)
            status = 500 if attempt_status is AttemptStatus.ANSWERED else 0
            step = next_step(history, attempt_status, status)
            retry_steps = {NextStep.RETRY, NextStep.RETRY_OR_DELIVER}
            if step not in retry_steps:
                break
        return runs, step
