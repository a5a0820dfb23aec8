"""What follows a send: repeats only where allowed, refusals only if true."""

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

_ENDS = st.lists(st.sampled_from(tuple(AttemptStatus)), max_size=8)
_RAN = frozenset((AttemptStatus.ANSWERED, AttemptStatus.LOST))


class NextStepTest(unittest.TestCase):
    @given(_ENDS, st.integers(min_value=1, max_value=4))
    def test_unrepeatable_call_runs_at_most_once(
        self,
        ends: list[AttemptStatus],
        max_attempts: int,
    ) -> None:
        runs = self._play(False, max_attempts, ends)[0]
        self.assertLessEqual(runs, 1)

    @given(st.booleans(), _ENDS, st.integers(min_value=1, max_value=4))
    def test_not_run_is_true(
        self,
        is_idempotent: bool,
        ends: list[AttemptStatus],
        max_attempts: int,
    ) -> None:
        runs, step = self._play(is_idempotent, max_attempts, ends)
        if step is NextStep.FAIL_NOT_RUN:
            self.assertEqual(runs, 0)

    @given(_ENDS, st.integers(min_value=1, max_value=4))
    def test_attempts_are_bounded(
        self,
        ends: list[AttemptStatus],
        max_attempts: int,
    ) -> None:
        runs = self._play(True, max_attempts, ends)[0]
        self.assertLessEqual(runs, max_attempts)

    def test_sends_are_bounded_even_if_none_ran(self) -> None:
        record = AttemptHistory(is_idempotent=True, max_attempts=9)
        for _ in range(MAX_TOTAL_ATTEMPTS):
            self.assertTrue(record.may_attempt)
            record = record_attempt(record, AttemptStatus.NOT_RUN)
        step = next_step(record, AttemptStatus.NOT_RUN)
        self.assertIs(step, NextStep.FAIL_NOT_RUN)

    def test_failure_answer_is_repeated_or_delivered(self) -> None:
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

    def test_only_what_arrived_makes_a_repeat(self) -> None:
        record = record_attempt(AttemptHistory(True, 2), AttemptStatus.NOT_SENT)
        self.assertFalse(record.is_retry)
        self.assertTrue(record_attempt(record, AttemptStatus.NOT_RUN).is_retry)

    def _play(
        self,
        is_idempotent: bool,
        max_attempts: int,
        ends: list[AttemptStatus],
    ) -> tuple[int, NextStep | None]:
        record = AttemptHistory(is_idempotent, max_attempts)
        runs = 0
        step = None
        for end in ends:
            runs += end in _RAN
            record = record_attempt(record, end)
            status = 500 if end is AttemptStatus.ANSWERED else 0
            step = next_step(record, end, status)
            repeats = {NextStep.RETRY, NextStep.RETRY_OR_DELIVER}
            if step not in repeats:
                break
        return runs, step
