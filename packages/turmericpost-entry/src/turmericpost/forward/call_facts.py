"""Read from a request head what the caller says about its call."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from turmericpost.forward.relays import RelayKind, relay_kind
from turmericpost.http1.heads import HOST, RequestHead
from turmericpost_core.outcome.reasons import RefusalReason
from turmericpost_core.routing.facts import CallFacts

ACCOUNT = b'turmericpost-account'
HOME_REGIONS = b'turmericpost-home-regions'
DEADLINE = b'turmericpost-deadline-ms'
DEPTH = b'turmericpost-depth'
OPERATION_KEY = b'idempotency-key'
RELAYED = b'turmericpost-relayed'

MAX_DEPTH = 16

_MAX_DEADLINE_MS = 86_400_000
_MAX_KEY_BYTES = 256


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A call: facts for routing, and what travels with it.

    ``deadline_ms`` is ``None`` when the caller set no deadline.
    """

    facts: CallFacts
    deadline_ms: int | None
    depth: int
    operation_key: str | None
    arrived_as: RelayKind | None = None


def read_call(head: RequestHead) -> Result[CallRequest, RefusalReason]:
    """Return the call that a request head describes."""
    fields = {
        name: text.decode('latin-1')
        for name, text in head.headers
        if name in _READ_FIELDS
    }
    service = fields.get(HOST, '').partition(':')[0].partition('.')[0]
    deadline_ms = _number(fields.get(DEADLINE), _MAX_DEADLINE_MS)
    depth = _number(fields.get(DEPTH, '0'), MAX_DEPTH)
    if depth is None:
        return Err(RefusalReason.TOO_DEEP)
    if not service or (DEADLINE in fields and deadline_ms is None):
        return Err(RefusalReason.MALFORMED_REQUEST)
    operation_key = fields.get(OPERATION_KEY)
    if operation_key is not None and len(operation_key) > _MAX_KEY_BYTES:
        return Err(RefusalReason.MALFORMED_REQUEST)
    facts = CallFacts(
        service=service.lower(),
        account=fields.get(ACCOUNT, '').strip(),
        method=head.method,
        path=_path(head.target),
        requested_home_regions=parse_home_regions(fields.get(HOME_REGIONS)),
    )
    return Ok(
        CallRequest(
            facts,
            deadline_ms,
            depth,
            operation_key,
            relay_kind(head.first(RELAYED)),
        ),
    )


def parse_home_regions(text: str | None) -> frozenset[str] | None:
    """Return the regions of a comma list, ``None`` if none was given."""
    if text is None:
        return None
    names = (name.strip() for name in text.split(','))
    return frozenset(name for name in names if name)


_READ_FIELDS = frozenset(
    (
        HOST,
        ACCOUNT,
        HOME_REGIONS,
        DEADLINE,
        DEPTH,
        OPERATION_KEY,
    )
)


def _number(text: str | None, highest: int) -> int | None:
    if text is None:
        return None
    stripped = text.strip()
    if not (stripped.isascii() and stripped.isdigit()):
        return None
    number = int(stripped)
    return number if number <= highest else None


def _path(target: bytes) -> str:
    return target.partition(b'?')[0].decode('latin-1')
