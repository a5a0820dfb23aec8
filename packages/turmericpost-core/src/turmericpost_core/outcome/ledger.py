"""Outcome ledger: what may be said, and done again, after each attempt."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from types import MappingProxyType

from result import Err, Ok, Result

from turmericpost_core.outcome.reasons import (
    Outcome,
    RefusalReason,
    RetryReason,
)


class AttemptEnd(Enum):
    """How one attempt at a backend server ended."""

    COMPLETE_RESPONSE = 'whole-answer'
    SHED = 'shed'
    SERVER_ERROR = 'server-error'
    CONNECT_FAILED = 'connect-failed'
    CONNECTION_LOST = 'connection-lost'
    TRUNCATED = 'truncated'
    MALFORMED = 'malformed'
    UNFRAMED = 'unframed'
    DEADLINE = 'deadline'
    CALLER_GONE = 'caller-gone'


@dataclass(frozen=True)
class Attempt:
    """One attempt: its end, and whether any byte of it was sent."""

    end: AttemptEnd
    bytes_sent: bool


@dataclass(frozen=True)
class CallLedger:
    """Attempts of one call so far, as far as they bear on its outcome.

    ``repeatable`` calls are idempotent and stand at the one level of a
    chain of calls that repeats work.
    """

    retryable: bool
    attempts: int = 0
    may_have_run: bool = False


@dataclass(frozen=True)
class CallResult:
    """The call ends: what the caller is told."""

    outcome: Outcome
    reason: RefusalReason | None


_NEVER_RAN = frozenset((AttemptEnd.SHED, AttemptEnd.CONNECT_FAILED))

_REFUSALS = MappingProxyType(
    {
        AttemptEnd.SHED: RefusalReason.SHED_BY_BACKEND,
        AttemptEnd.SERVER_ERROR: RefusalReason.SERVER_ERROR,
        AttemptEnd.CONNECT_FAILED: RefusalReason.CONNECT_FAILED,
        AttemptEnd.CONNECTION_LOST: RefusalReason.CONNECTION_LOST,
        AttemptEnd.TRUNCATED: RefusalReason.TRUNCATED_ANSWER,
        AttemptEnd.MALFORMED: RefusalReason.MALFORMED_ANSWER,
        AttemptEnd.UNFRAMED: RefusalReason.UNFRAMED_ANSWER,
        AttemptEnd.DEADLINE: RefusalReason.DEADLINE_EXCEEDED,
        AttemptEnd.CALLER_GONE: RefusalReason.CALLER_GONE,
    }
)

_RETRIES = MappingProxyType(
    {
        AttemptEnd.SHED: RetryReason.SHED_BY_BACKEND,
        AttemptEnd.SERVER_ERROR: RetryReason.SERVER_ERROR,
        AttemptEnd.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
        AttemptEnd.CONNECTION_LOST: RetryReason.CONNECTION_LOST,
        AttemptEnd.TRUNCATED: RetryReason.TRUNCATED_ANSWER,
    }
)


def record_attempt(ledger: CallLedger, attempt: Attempt) -> CallLedger:
    """Return the ledger with one more ended attempt."""
    ran = attempt.bytes_sent and attempt.end not in _NEVER_RAN
    return replace(
        ledger,
        attempts=ledger.attempts + 1,
        may_have_run=ledger.may_have_run or ran,
    )


def retry_reason(
    ledger: CallLedger,
    attempt: Attempt,
) -> Result[RetryReason, CallResult]:
    """Say whether a recorded attempt allows another one.

    A call may be sent again only when it never ran or is repeatable.
    """
    reason = _RETRIES.get(attempt.end)
    if reason is None:
        return Err(call_result(ledger, attempt))
    if ledger.may_have_run and not ledger.retryable:
        return Err(call_result(ledger, attempt))
    return Ok(reason)


def call_result(ledger: CallLedger, attempt: Attempt) -> CallResult:
    """Return what the caller is told when no attempt follows."""
    if attempt.end is AttemptEnd.COMPLETE_RESPONSE:
        return CallResult(Outcome.COMPLETE, None)
    return CallResult(refused_outcome(ledger), _REFUSALS[attempt.end])


def refused_outcome(ledger: CallLedger) -> Outcome:
    """Return the truthful outcome of a call that gets no answer."""
    return Outcome.UNKNOWN if ledger.may_have_run else Outcome.NOT_RUN
