"""Head of a request as it goes to a backend server."""

from __future__ import annotations

from dataclasses import dataclass

from turmericpost.forward.buffered_response import VIA_FIELD
from turmericpost.forward.call_facts import DEADLINE, DEPTH, RELAYED
from turmericpost.forward.relays import RelayKind
from turmericpost.http1.heads import (
    EXPECT,
    TRANSFER_ENCODING,
    RequestHead,
    end_to_end,
    render_request,
)

_REPLACED = frozenset((EXPECT, DEADLINE, DEPTH, RELAYED))
_CHUNKED = (TRANSFER_ENCODING, b'chunked')


@dataclass(frozen=True)
class OnwardFields:
    """What the next hop is told of the call."""

    deadline_ms: int
    depth: int
    relay_kind: RelayKind | None


def forwarded_head(head: RequestHead, onward: OnwardFields) -> bytes:
    """Return the bytes of the head with deadline and depth brought up to now.

    Hop-by-hop fields are dropped; the framing of the body stays.
    """
    headers = end_to_end(head.headers, _REPLACED)
    headers.append(VIA_FIELD)
    headers.append((DEADLINE, b'%d' % onward.deadline_ms))
    headers.append((DEPTH, b'%d' % onward.depth))
    if onward.relay_kind is not None:
        kind = onward.relay_kind.value.encode('ascii')
        headers.append((RELAYED, kind))
    if head.content_length is None:
        headers.append(_CHUNKED)
    return render_request(head.method, head.target, headers)
