"""Decision whether a call is retried, delivered or failed after an attempt."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

_FIRST_SERVER_ERROR = 500
MAX_TOTAL_ATTEMPTS = 4
"""Maximum attempts of one call, including those that did not run."""


class AttemptStatus(Enum):
    """How an attempt ended, as far as it matters for the next step.

    After ``LOST`` it is unknown whether the backend server ran the call.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    NOT_SENT = 'not-sent'
    LOST = 'lost'


class NextStep(Enum):
    """What to do with a call after an attempt.

    ``RETRY_OR_DELIVER`` means to retry, or to deliver the error response if
    no retry is possible.
    """

    DELIVER = 'deliver'
    RETRY = 'repeat'
    RETRY_OR_DELIVER = 'repeat-or-deliver'
    FAIL_NOT_RUN = 'fail-not-run'
    FAIL_UNKNOWN = 'fail-unknown'


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """Counts of a call's ended attempts.

    ``sent`` counts the attempts that were sent to a server, ``may_have_run``
    those that the server ran or may have run. ``max_attempts`` limits the
    latter.
    """

    is_idempotent: bool
    max_attempts: int
    attempts: int = 0
    may_have_run: int = 0
    sent: int = 0

    @property
    def is_retry(self) -> bool:
        """Whether another attempt would count as a retry."""
        return self.sent > 0

    def may_hedge(self, in_flight: int) -> bool:
        """Return whether a hedged attempt may be added to those in flight."""
        if (
            not self.is_idempotent
            or self.attempts + in_flight >= MAX_TOTAL_ATTEMPTS
        ):
            return False
        return self.may_have_run + in_flight < self.max_attempts

    @property
    def may_attempt(self) -> bool:
        """Whether the call may be sent to a backend server again."""
        if (
            self.attempts >= MAX_TOTAL_ATTEMPTS
            or self.may_have_run >= self.max_attempts
        ):
            return False
        return self.is_idempotent or not self.may_have_run


def record_attempt(
    history: AttemptHistory, attempt_status: AttemptStatus
) -> AttemptHistory:
    """Return the history with an ended attempt added."""
    sent = attempt_status is not AttemptStatus.NOT_SENT
    ran = attempt_status in {AttemptStatus.ANSWERED, AttemptStatus.LOST}
    return replace(
        history,
        attempts=history.attempts + 1,
        sent=history.sent + sent,
        may_have_run=history.may_have_run + ran,
    )


def next_step(
    history: AttemptHistory, attempt_status: AttemptStatus, status: int = 0
) -> NextStep:
    """Return the next step after the attempt that was recorded last.

    ``status`` is the HTTP status of the response, if there was one.
    """
    if attempt_status is AttemptStatus.ANSWERED:
        is_failure = status >= _FIRST_SERVER_ERROR
        if is_failure and history.is_idempotent and history.may_attempt:
            return NextStep.RETRY_OR_DELIVER
        return NextStep.DELIVER
    if history.may_attempt:
        return NextStep.RETRY
    return failure_step(history)


def failure_step(history: AttemptHistory) -> NextStep:
    """Return the failure step of a call that cannot be retried.

    The call is reported as not run only if no attempt may have run.
    """
    if history.may_have_run:
        return NextStep.FAIL_UNKNOWN
    return NextStep.FAIL_NOT_RUN
