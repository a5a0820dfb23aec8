"""Refusals of calls as problem documents (RFC 9457)."""

from __future__ import annotations

import json
from http import HTTPStatus
from types import MappingProxyType

from turmericpost.http1.exchange import Exchange
from turmericpost.http1.heads import Headers
from turmericpost_core.outcome.reasons import Outcome, RefusalReason

OUTCOME_HEADER = b'turmericpost-outcome'
REASON_HEADER = b'turmericpost-reason'
PROBLEM_TYPE = b'application/problem+json'

_STATUS_BY_REASON = MappingProxyType(
    {
        RefusalReason.MALFORMED_REQUEST: HTTPStatus.BAD_REQUEST,
        RefusalReason.HEADERS_TOO_LARGE: (
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        ),
        RefusalReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        RefusalReason.SLOW_CALLER: HTTPStatus.REQUEST_TIMEOUT,
        RefusalReason.UPGRADE_UNSUPPORTED: HTTPStatus.NOT_IMPLEMENTED,
        RefusalReason.TOO_DEEP: HTTPStatus.LOOP_DETECTED,
        RefusalReason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
        RefusalReason.UNKNOWN_ACCOUNT: HTTPStatus.FORBIDDEN,
        RefusalReason.OUTSIDE_HOME_REGIONS: HTTPStatus.MISDIRECTED_REQUEST,
        RefusalReason.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
        RefusalReason.CONNECT_FAILED: HTTPStatus.BAD_GATEWAY,
        RefusalReason.CONNECTION_LOST: HTTPStatus.BAD_GATEWAY,
        RefusalReason.TRUNCATED_ANSWER: HTTPStatus.BAD_GATEWAY,
        RefusalReason.MALFORMED_ANSWER: HTTPStatus.BAD_GATEWAY,
        RefusalReason.UNFRAMED_ANSWER: HTTPStatus.BAD_GATEWAY,
        RefusalReason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    }
)


def refusal_status(reason: RefusalReason) -> HTTPStatus:
    """Return the HTTP status code for a refusal reason, 503 by default."""
    return _STATUS_BY_REASON.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)


def send_refusal(
    exchange: Exchange,
    outcome: Outcome,
    reason: RefusalReason,
) -> None:
    """Send a problem document with outcome and reason to the caller."""
    status = refusal_status(reason)
    problem = {
        'type': f'urn:turmericpost:refusal:{reason.value}',
        'title': reason.value.replace('-', ' '),
        'status': status.value,
        'outcome': outcome.value,
    }
    headers: Headers = [
        (b'content-type', PROBLEM_TYPE),
        (OUTCOME_HEADER, outcome.value.encode('ascii')),
        (REASON_HEADER, reason.value.encode('ascii')),
    ]
    exchange.send_full_response(
        status.value, headers, json.dumps(problem).encode()
    )
