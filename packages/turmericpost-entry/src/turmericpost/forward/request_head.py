"""Renders the request head sent to a backend server or another entry VM."""

from __future__ import annotations

from dataclasses import dataclass

from turmericpost.forward.buffered_response import VIA_HEADER
from turmericpost.forward.call_facts import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    RELAY_KIND_HEADER,
)
from turmericpost.forward.relays import RelayKind
from turmericpost.http1.heads import (
    EXPECT,
    TRANSFER_ENCODING,
    RequestHead,
    end_to_end,
    render_request,
)

_REPLACED_FIELDS = frozenset(
    (
        EXPECT,
        ATTEMPT_ID_HEADER,
        DEADLINE_HEADER,
        DEPTH_HEADER,
        RELAY_KIND_HEADER,
    )
)
_CHUNKED_HEADER = (TRANSFER_ENCODING, b'chunked')


@dataclass(frozen=True)
class NextHopFields:
    """Header values that are set for the next hop."""

    deadline_ms: int
    call_depth: int
    relay_kind: RelayKind | None
    attempt_id: bytes | None


def forwarded_head(head: RequestHead, next_hop: NextHopFields) -> bytes:
    """Render the request head with the remaining deadline and the new depth.

    Hop-by-hop fields are dropped. A body without a content length is sent
    chunked.
    """
    headers = end_to_end(head.headers, _REPLACED_FIELDS)
    headers.append(VIA_HEADER)
    headers.append((DEADLINE_HEADER, b'%d' % next_hop.deadline_ms))
    headers.append((DEPTH_HEADER, b'%d' % next_hop.call_depth))
    if next_hop.attempt_id is not None:
        headers.append((ATTEMPT_ID_HEADER, next_hop.attempt_id))
    if next_hop.relay_kind is not None:
        kind = next_hop.relay_kind.value.encode('ascii')
        headers.append((RELAY_KIND_HEADER, kind))
    if head.content_length is None:
        headers.append(_CHUNKED_HEADER)
    return render_request(head.method, head.target, headers)
