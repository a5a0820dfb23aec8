"""Header fields of calls, of load reports and of the VM's own endpoints."""

from __future__ import annotations

import json
from urllib.parse import parse_qs, urlsplit

from turmericpost.gateway.call_codec import (
    AddressQuery,
    CallHead,
    ResponseInfo,
)
from turmericpost.http1.heads import (
    EXPECT,
    HOST,
    TRANSFER_ENCODING,
    RequestHead,
    ResponseHead,
    end_to_end,
    render_request,
)
from turmericpost.platform.settings_file import METRICS_PATH
from turmericpost_core.grants.permits import ReportedLoad

_CALL_ID = b'x-request-id'
_DEADLINE = b'x-deadline-ms'
_EXPECTED = b'x-expect-instance'
_NOT_RUN = b'x-not-executed'
_BACKEND_ID = b'x-instance-id'
_LOAD = b'x-server-load'
_COLD_LEFT = b'x-warmup-ms'
_REPLACED = frozenset((EXPECT, _DEADLINE, _EXPECTED))
_CHUNKED = (TRANSFER_ENCODING, b'chunked')

_READY_PATH = b'/-/ready'
_RESOLVE_PATH = '/-/resolve'
_MISDIRECTED = 421
_MS_PER_S = 1000
_USUAL_PERCENT = 100.0
_PLACES_WITH_SPEED = 4
_MIN_PLACES = 3


class PlatformCallCodec:
    """The platform's spelling of calls."""

    def read_call(self, head: RequestHead) -> CallHead:
        """Return what a request head says."""
        host = _text(head.first(HOST)).lower()
        path = _text(head.target).partition('?')[0]
        if not path.startswith('/'):
            absolute = urlsplit(path)
            host, path = absolute.netloc.lower(), absolute.path or '/'
        left_ms = _figure(head.first(_DEADLINE))
        return CallHead(
            host=host.partition(':')[0],
            path=path,
            call_id=_text(head.first(_CALL_ID)),
            time_left_s=None if left_ms is None else left_ms / _MS_PER_S,
        )

    def onward_head(
        self,
        head: RequestHead,
        backend_id: str,
        time_left_s: float,
    ) -> bytes:
        """Return the head as it goes to a backend server."""
        headers = end_to_end(head.headers, _REPLACED)
        left_ms = max(int(time_left_s * _MS_PER_S), 1)
        headers.append((_DEADLINE, b'%d' % left_ms))
        headers.append((_EXPECTED, backend_id.encode('utf-8')))
        if head.content_length is None:
            headers.append(_CHUNKED)
        return render_request(head.method, head.target, headers)

    def probe_head(self, path: str, address: str) -> bytes:
        """Return the request that asks a server for its load."""
        headers = [(HOST, address.encode('ascii'))]
        return render_request('GET', path.encode('utf-8'), headers)

    def read_answer(self, head: ResponseHead) -> ResponseInfo:
        """Return what the head of an answer says."""
        is_other = head.status == _MISDIRECTED
        named = head.first(_BACKEND_ID)
        return ResponseInfo(
            status=head.status,
            not_run=is_other or head.first(_NOT_RUN) is not None,
            is_other_backend=is_other,
            reported_load=_load(head),
            backend_id=None if named is None else _text(named),
        )

    def is_stale_response(self, head: ResponseHead, call_id: str) -> bool:
        """Return whether an answer names another call than this one."""
        named = head.first(_CALL_ID)
        return bool(call_id) and named is not None and _text(named) != call_id

    def read_address_question(
        self,
        head: RequestHead,
    ) -> AddressQuery | None:
        """Return the question for addresses, ``None`` for other requests."""
        target = urlsplit(_text(head.target))
        if target.path != _RESOLVE_PATH:
            return None
        query = parse_qs(target.query)
        return AddressQuery(
            host=query.get('Name', [''])[0].lower(),
            region=query.get('Region', [''])[0],
            failure_domain=query.get('Zone', [''])[0],
        )

    def address_answer(
        self,
        addresses: tuple[str, ...],
        valid_s: float,
    ) -> bytes:
        """Return the body that answers a question for addresses."""
        body = {'Addresses': addresses, 'TtlS': valid_s}
        return json.dumps(body).encode('utf-8')

    def is_readiness_question(self, head: RequestHead) -> bool:
        """Return whether the request asks if this VM is ready."""
        return head.target.partition(b'?')[0] == _READY_PATH

    def is_metrics_question(self, head: RequestHead) -> bool:
        """Return whether the request asks for the metrics."""
        return _text(head.target).partition('?')[0] == METRICS_PATH


def _load(head: ResponseHead) -> ReportedLoad | None:
    """Decode a load report: running, waiting, slots and slowness.

    The fourth figure is how long work takes at this moment, 100 as usual.
    """
    field = head.first(_LOAD)
    if field is None:
        return None
    reported_load = [_figure(place) for place in field.split(b',')]
    known = [figure for figure in reported_load if figure is not None]
    if len(known) < _MIN_PLACES:
        return None
    has_speed = len(known) >= _PLACES_WITH_SPEED
    cold_ms = _figure(head.first(_COLD_LEFT))
    is_probe = head.first(_BACKEND_ID) is not None
    if cold_ms is None and is_probe:
        cold_ms = 0
    return ReportedLoad(
        running=int(known[0]),
        waiting=int(known[1]),
        slots=int(known[2]),
        slowness_percent=known[3] if has_speed else _USUAL_PERCENT,
        cold_left_s=None if cold_ms is None else cold_ms / _MS_PER_S,
    )


def _figure(text: bytes | None) -> float | None:
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        return None


def _text(field: bytes | None) -> str:
    return '' if field is None else field.decode('latin-1')
