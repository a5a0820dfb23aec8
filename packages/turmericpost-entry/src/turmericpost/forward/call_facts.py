"""Parses the header fields that describe a call."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from turmericpost.forward.relays import RelayKind, parse_relay_kind
from turmericpost.http1.heads import HOST, RequestHead
from turmericpost_core.outcome.reasons import RefusalReason
from turmericpost_core.routing.facts import CallFacts

ACCOUNT_HEADER = b'turmericpost-account'
HOME_REGIONS_HEADER = b'turmericpost-home-regions'
ATTEMPT_ID_HEADER = b'turmericpost-attempt-id'
DEADLINE_HEADER = b'turmericpost-deadline-ms'
DEPTH_HEADER = b'turmericpost-depth'
OPERATION_KEY_HEADER = b'idempotency-key'
RELAY_KIND_HEADER = b'turmericpost-relayed'

MAX_CALL_DEPTH = 16

_MAX_DEADLINE_MS = 86_400_000
_MAX_KEY_BYTES = 256


@dataclass(frozen=True, slots=True)
class CallRequest:
    """Data parsed from the head of a call.

    ``deadline_ms`` is ``None`` when the caller set no deadline. ``call_depth``
    is the number of earlier calls in a chain of nested calls.
    ``incoming_relay_kind`` says why another entry VM relayed the call;
    ``None`` if it came from a caller.
    """

    facts: CallFacts
    deadline_ms: int | None
    call_depth: int
    operation_key: str | None
    incoming_relay_kind: RelayKind | None = None


def parse_call_head(head: RequestHead) -> Result[CallRequest, RefusalReason]:
    """Parse the head of a call.

    Returns the refusal reason if the head is invalid.
    """
    fields = {
        name: text.decode('latin-1')
        for name, text in head.headers
        if name in _CALL_HEADERS
    }
    service = fields.get(HOST, '').partition(':')[0].partition('.')[0]
    deadline_ms = _parse_number(fields.get(DEADLINE_HEADER), _MAX_DEADLINE_MS)
    call_depth = _parse_number(fields.get(DEPTH_HEADER, '0'), MAX_CALL_DEPTH)
    if call_depth is None:
        return Err(RefusalReason.TOO_DEEP)
    if not service or (DEADLINE_HEADER in fields and deadline_ms is None):
        return Err(RefusalReason.MALFORMED_REQUEST)
    operation_key = fields.get(OPERATION_KEY_HEADER)
    if operation_key is not None and len(operation_key) > _MAX_KEY_BYTES:
        return Err(RefusalReason.MALFORMED_REQUEST)
    facts = CallFacts(
        service=service.lower(),
        account=fields.get(ACCOUNT_HEADER, '').strip(),
        method=head.method,
        path=_path(head.target),
        requested_home_regions=parse_home_regions(
            fields.get(HOME_REGIONS_HEADER)
        ),
    )
    return Ok(
        CallRequest(
            facts,
            deadline_ms,
            call_depth,
            operation_key,
            parse_relay_kind(head.first(RELAY_KIND_HEADER)),
        ),
    )


def parse_home_regions(text: str | None) -> frozenset[str] | None:
    """Return the region names of a comma-separated list.

    Returns ``None`` for ``None``.
    """
    if text is None:
        return None
    names = (name.strip() for name in text.split(','))
    return frozenset(name for name in names if name)


_CALL_HEADERS = frozenset(
    (
        HOST,
        ACCOUNT_HEADER,
        HOME_REGIONS_HEADER,
        DEADLINE_HEADER,
        DEPTH_HEADER,
        OPERATION_KEY_HEADER,
    )
)


def _parse_number(text: str | None, maximum: int) -> int | None:
    if text is None:
        return None
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit()):
        return None
    number = int(digits)
    return number if number <= maximum else None


def _path(target: bytes) -> str:
    return target.partition(b'?')[0].decode('latin-1')
