"""Ledger of a call's attempts, from which outcome and retries are decided."""

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
    """How an attempt ended, and whether any byte of its request was sent."""

    end: AttemptEnd
    bytes_sent: bool


@dataclass(frozen=True)
class CallLedger:
    """Summary of the attempts of one call so far.

    A call is ``retryable`` if it is idempotent and this entry VM is the
    first that it passes; in a chain of calls only the first VM retries.
    ``may_have_run`` is true if any attempt may have run.
    """

    retryable: bool
    attempts: int = 0
    may_have_run: bool = False


@dataclass(frozen=True)
class CallResult:
    """Final outcome of a call; ``reason`` is ``None`` if it completed."""

    outcome: Outcome
    reason: RefusalReason | None


_NEVER_RAN = frozenset((AttemptEnd.SHED, AttemptEnd.CONNECT_FAILED))

_REFUSAL_REASONS = MappingProxyType(
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

_RETRY_REASONS = MappingProxyType(
    {
        AttemptEnd.SHED: RetryReason.SHED_BY_BACKEND,
        AttemptEnd.SERVER_ERROR: RetryReason.SERVER_ERROR,
        AttemptEnd.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
        AttemptEnd.CONNECTION_LOST: RetryReason.CONNECTION_LOST,
        AttemptEnd.TRUNCATED: RetryReason.TRUNCATED_ANSWER,
    }
)


def record_attempt(ledger: CallLedger, attempt: Attempt) -> CallLedger:
    """Return the ledger with an ended attempt added."""
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
    """Return the reason to retry after a recorded attempt, or the result.

    A call may be retried only if it cannot have run or is retryable.
    """
    reason = _RETRY_REASONS.get(attempt.end)
    if reason is None:
        return Err(call_result(ledger, attempt))
    if ledger.may_have_run and not ledger.retryable:
        return Err(call_result(ledger, attempt))
    return Ok(reason)


def call_result(ledger: CallLedger, attempt: Attempt) -> CallResult:
    """Return the result of a call that ends with this attempt."""
    if attempt.end is AttemptEnd.COMPLETE_RESPONSE:
        return CallResult(Outcome.COMPLETE, None)
    return CallResult(refused_outcome(ledger), _REFUSAL_REASONS[attempt.end])


def refused_outcome(ledger: CallLedger) -> Outcome:
    """Return the outcome of a call that ends without a response."""
    return Outcome.UNKNOWN if ledger.may_have_run else Outcome.NOT_RUN
