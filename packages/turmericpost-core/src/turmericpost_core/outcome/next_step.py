"""What follows when one send of a call has ended."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

_FIRST_SERVER_ERROR = 500
MAX_TOTAL_ATTEMPTS = 4
"""Sends of one call, those included that were not run."""


class AttemptStatus(Enum):
    """How a send ended, as far as it matters for what follows."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    NOT_SENT = 'not-sent'
    LOST = 'lost'


class NextStep(Enum):
    """What to do with the call."""

    DELIVER = 'deliver'
    RETRY = 'repeat'
    RETRY_OR_DELIVER = 'repeat-or-deliver'
    FAIL_NOT_RUN = 'fail-not-run'
    FAIL_UNKNOWN = 'fail-unknown'


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """What the sends of a call may have done so far."""

    is_idempotent: bool
    max_attempts: int
    attempts: int = 0
    may_have_run: int = 0
    arrived: int = 0

    @property
    def is_retry(self) -> bool:
        """Whether another send counts as sent again."""
        return self.arrived > 0

    def may_hedge(self, running: int) -> bool:
        """Whether a second send may start beside those still running."""
        if (
            not self.is_idempotent
            or self.attempts + running >= MAX_TOTAL_ATTEMPTS
        ):
            return False
        return self.may_have_run + running < self.max_attempts

    @property
    def may_attempt(self) -> bool:
        """Whether the call may go to another backend server at all."""
        if (
            self.attempts >= MAX_TOTAL_ATTEMPTS
            or self.may_have_run >= self.max_attempts
        ):
            return False
        return self.is_idempotent or not self.may_have_run


def record_attempt(
    record: AttemptHistory, end: AttemptStatus
) -> AttemptHistory:
    """Return the record after one more send."""
    arrived = end is not AttemptStatus.NOT_SENT
    ran = end in {AttemptStatus.ANSWERED, AttemptStatus.LOST}
    return replace(
        record,
        attempts=record.attempts + 1,
        arrived=record.arrived + arrived,
        may_have_run=record.may_have_run + ran,
    )


def next_step(
    record: AttemptHistory, end: AttemptStatus, status: int = 0
) -> NextStep:
    """Return what follows the send that was recorded last."""
    if end is AttemptStatus.ANSWERED:
        is_failure = status >= _FIRST_SERVER_ERROR
        if is_failure and record.is_idempotent and record.may_attempt:
            return NextStep.RETRY_OR_DELIVER
        return NextStep.DELIVER
    if record.may_attempt:
        return NextStep.RETRY
    return failure_step(record)


def failure_step(record: AttemptHistory) -> NextStep:
    """Return how the call fails truthfully when it can't be sent again."""
    if record.may_have_run:
        return NextStep.FAIL_UNKNOWN
    return NextStep.FAIL_NOT_RUN
