"""Ledger: a call that may have run is never reported as not run."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from turmericpost_core.outcome.ledger import (
    Attempt,
    AttemptEnd,
    CallLedger,
    call_result,
    record_attempt,
    retry_reason,
)
from turmericpost_core.outcome.reasons import Outcome

_ATTEMPTS = st.builds(
    Attempt,
    st.sampled_from(
        [end for end in AttemptEnd if end is not AttemptEnd.COMPLETE_RESPONSE],
    ),
    st.booleans(),
)


class LedgerTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(_ATTEMPTS, min_size=1, max_size=4), st.booleans())
    def test_outcome_is_unknown_if_an_attempt_may_have_run(
        self,
        attempts: list[Attempt],
        retryable: bool,  # noqa: FBT001
    ) -> None:
        ledger = CallLedger(retryable=retryable)
        may_have_run = False
        for attempt in attempts:
            never_ran = attempt.end in {
                AttemptEnd.SHED,
                AttemptEnd.CONNECT_FAILED,
            }
            may_have_run |= attempt.bytes_sent and not never_ran
            ledger = record_attempt(ledger, attempt)
            if may_have_run and not retryable:
                self.assertTrue(retry_reason(ledger, attempt).is_err())
        call_outcome = call_result(ledger, attempts[-1])
        expected = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        self.assertIs(call_outcome.outcome, expected)
        self.assertIsNotNone(call_outcome.reason)

    def test_a_shed_call_may_be_retried(self) -> None:
        shed = Attempt(AttemptEnd.SHED, bytes_sent=True)
        ledger = record_attempt(CallLedger(retryable=False), shed)
        self.assertTrue(retry_reason(ledger, shed).is_ok())


if __name__ == '__main__':
    unittest.main()
