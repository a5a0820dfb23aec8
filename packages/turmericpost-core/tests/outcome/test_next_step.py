"""What follows a send: repeats only where allowed, refusals only if true."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from turmericpost_core.outcome.next_step import (
    MAX_SENDS,
    NextStep,
    SendEnd,
    SendRecord,
    next_step,
    record_send,
)

_ENDS = st.lists(st.sampled_from(tuple(SendEnd)), max_size=8)
_RAN = frozenset((SendEnd.ANSWERED, SendEnd.LOST))


class NextStepTest(unittest.TestCase):
    @given(_ENDS, st.integers(min_value=1, max_value=4))
    def test_unrepeatable_call_runs_at_most_once(
        self,
        ends: list[SendEnd],
        max_attempts: int,
    ) -> None:
        runs = self._play(False, max_attempts, ends)[0]
        self.assertLessEqual(runs, 1)

    @given(st.booleans(), _ENDS, st.integers(min_value=1, max_value=4))
    def test_not_run_is_true(
        self,
        is_idempotent: bool,
        ends: list[SendEnd],
        max_attempts: int,
    ) -> None:
        runs, step = self._play(is_idempotent, max_attempts, ends)
        if step is NextStep.FAIL_NOT_RUN:
            self.assertEqual(runs, 0)

    @given(_ENDS, st.integers(min_value=1, max_value=4))
    def test_attempts_are_bounded(
        self,
        ends: list[SendEnd],
        max_attempts: int,
    ) -> None:
        runs = self._play(True, max_attempts, ends)[0]
        self.assertLessEqual(runs, max_attempts)

    def test_sends_are_bounded_even_if_none_ran(self) -> None:
        record = SendRecord(is_idempotent=True, max_attempts=9)
        for _ in range(MAX_SENDS):
            self.assertTrue(record.may_send)
            record = record_send(record, SendEnd.NOT_RUN)
        step = next_step(record, SendEnd.NOT_RUN)
        self.assertIs(step, NextStep.FAIL_NOT_RUN)

    def test_failure_answer_is_repeated_or_delivered(self) -> None:
        first = record_send(SendRecord(True, 2), SendEnd.ANSWERED)
        step = next_step(first, SendEnd.ANSWERED, 500)
        self.assertIs(step, NextStep.REPEAT_OR_DELIVER)
        self.assertIs(
            next_step(first, SendEnd.ANSWERED, 200),
            NextStep.DELIVER,
        )
        last = record_send(first, SendEnd.ANSWERED)
        step = next_step(last, SendEnd.ANSWERED, 500)
        self.assertIs(step, NextStep.DELIVER)

    def test_only_what_arrived_makes_a_repeat(self) -> None:
        record = record_send(SendRecord(True, 2), SendEnd.NOT_SENT)
        self.assertFalse(record.is_repeat)
        self.assertTrue(record_send(record, SendEnd.NOT_RUN).is_repeat)

    def _play(
        self,
        is_idempotent: bool,
        max_attempts: int,
        ends: list[SendEnd],
    ) -> tuple[int, NextStep | None]:
        record = SendRecord(is_idempotent, max_attempts)
        runs = 0
        step = None
        for end in ends:
            runs += end in _RAN
            record = record_send(record, end)
            status = 500 if end is SendEnd.ANSWERED else 0
            step = next_step(record, end, status)
            repeats = {NextStep.REPEAT, NextStep.REPEAT_OR_DELIVER}
            if step not in repeats:
                break
        return runs, step
