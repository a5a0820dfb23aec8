"""Responses of this VM to calls that it refuses or fails."""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType

from turmericpost.http1.exchange import Exchange
from turmericpost.http1.heads import Headers
from turmericpost_core.outcome.reasons import RefusalReason

REASON_FIELD = b'turmericpost-reason'

MIN_RETRY_AFTER_S = 0.05
"""Minimum value of the retry-after field. Callers wait at most a third of their
remaining time, so a longer minimum would not help those with little time."""

_RETRY_AFTER = b'retry-after'
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_STATUSES = MappingProxyType(
    {
        RefusalReason.MALFORMED_REQUEST: 400,
        RefusalReason.HEADERS_TOO_LARGE: 431,
        RefusalReason.BODY_TOO_LARGE: 413,
        RefusalReason.SLOW_CALLER: 408,
        RefusalReason.UPGRADE_UNSUPPORTED: 400,
        RefusalReason.UNKNOWN_SERVICE: 404,
        RefusalReason.DEADLINE_EXCEEDED: 504,
        RefusalReason.CONNECTION_LOST: _BAD_GATEWAY,
        RefusalReason.TRUNCATED_ANSWER: _BAD_GATEWAY,
        RefusalReason.MALFORMED_ANSWER: _BAD_GATEWAY,
    }
)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why this VM refuses or fails a call.

    ``retry_after_s`` is sent to the caller if the call was not run.
    """

    reason: RefusalReason
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """Status code of the response; 503 means that the call was not run."""
        return _STATUSES.get(self.reason, _UNAVAILABLE)


def refuse(exchange: Exchange, refusal: Refusal) -> None:
    """Send the response to a refused or failed call."""
    headers: Headers = [
        (REASON_FIELD, refusal.reason.value.encode('ascii')),
    ]
    if refusal.status == _UNAVAILABLE:
        wait_s = max(refusal.retry_after_s or 0, MIN_RETRY_AFTER_S)
        headers.append((_RETRY_AFTER, b'%.2f' % wait_s))
    exchange.send_full_response(refusal.status, headers, b'')
