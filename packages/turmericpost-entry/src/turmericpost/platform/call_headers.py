"""The platform's header fields of calls and load reports, and its endpoints."""

from __future__ import annotations

import json
import math
from urllib.parse import SplitResult, parse_qs, urlsplit

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
_EXPECTED_BACKEND_ID = b'x-expect-instance'
_NOT_RUN = b'x-not-executed'
_BACKEND_ID = b'x-instance-id'
_LOAD = b'x-server-load'
_WARMUP_LEFT = b'x-warmup-ms'
_RATE_LIMIT = b'server-limit'
_LEAVING = b'server-leaving'
_RETRY_AFTER = b'retry-after'
_REPLACED_FIELDS = frozenset((EXPECT, _DEADLINE, _EXPECTED_BACKEND_ID))
_CHUNKED = (TRANSFER_ENCODING, b'chunked')

_READY_PATH = b'/-/ready'
_RESOLVE_PATH = '/-/resolve'
_MISDIRECTED = 421
_UNAVAILABLE = 503
_MS_PER_S = 1000
_USUAL_SLOWNESS_PERCENT = 100.0
_MAX_SLOWNESS_PERCENT = 100_000
_COUNTS = 3


class PlatformCallCodec:
    """Decodes and encodes heads with the platform's header fields.

    Implements ``CallCodec``.
    """

    def read_call(self, head: RequestHead) -> CallHead:
        """Decode the request head of a call."""
        url = _split_target(head.target)
        host = url.netloc or _decode_text(head.first(HOST))
        left_ms = _parse_number(head.first(_DEADLINE))
        return CallHead(
            host=host.lower().partition(':')[0],
            path=url.path or '/',
            call_id=_decode_text(head.first(_CALL_ID)),
            time_left_s=None
            if left_ms is None
            else max(left_ms, 0) / _MS_PER_S,
        )

    def forwarded_head(
        self,
        head: RequestHead,
        backend_id: str,
        time_left_s: float,
    ) -> bytes:
        """Return the encoded request head to send to a backend server.

        The head states the time left and which backend server should run the
        call.
        """
        headers = end_to_end(head.headers, _REPLACED_FIELDS)
        left_ms = max(int(time_left_s * _MS_PER_S), 1)
        headers.append((_DEADLINE, b'%d' % left_ms))
        headers.append((_EXPECTED_BACKEND_ID, backend_id.encode('utf-8')))
        if head.content_length is None:
            headers.append(_CHUNKED)
        return render_request(head.method, head.target, headers)

    def probe_head(self, path: str, address: str) -> bytes:
        """Return the encoded request that probes a backend server."""
        headers = [(HOST, address.encode('ascii'))]
        return render_request('GET', path.encode('utf-8'), headers)

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Decode the head of a backend server's response."""
        is_misdirected = head.status == _MISDIRECTED
        pause_field = None
        if head.status == _UNAVAILABLE:
            pause_field = head.first(_RETRY_AFTER)
        pause_s = _parse_amount(pause_field)
        response_id = head.first(_BACKEND_ID)
        return ResponseInfo(
            status=head.status,
            not_run=is_misdirected or head.first(_NOT_RUN) is not None,
            is_wrong_backend=is_misdirected,
            reported_load=_decode_load_report(head),
            backend_id=None
            if response_id is None
            else _decode_text(response_id),
            requests_per_s=_decode_rate_limit(head),
            has_rate_limit=head.first(_RATE_LIMIT) is not None,
            is_leaving=head.first(_LEAVING) == b'1',
            pause_s=pause_s,
            has_invalid_pause=pause_field is not None and pause_s is None,
        )

    def is_stale_response(self, head: ResponseHead, call_id: str) -> bool:
        """Return whether a response lacks the request id of the call.

        Backend servers repeat the id in each response, so one without it
        belongs to a probe or to no request.
        """
        return _decode_text(head.first(_CALL_ID)) != call_id

    def read_address_query(
        self,
        head: RequestHead,
    ) -> AddressQuery | None:
        """Decode an address query; return ``None`` for other requests."""
        target = _split_target(head.target)
        if target.path != _RESOLVE_PATH:
            return None
        query = parse_qs(target.query)
        return AddressQuery(
            host=query.get('Name', [''])[0].lower(),
            region=query.get('Region', [''])[0],
            failure_domain=query.get('Zone', [''])[0],
        )

    def address_response(
        self,
        addresses: tuple[str, ...],
        valid_s: float,
    ) -> bytes:
        """Return the JSON body with addresses and their validity in seconds."""
        body = {'Addresses': addresses, 'TtlS': valid_s}
        return json.dumps(body).encode('utf-8')

    def is_readiness_request(self, head: RequestHead) -> bool:
        """Return whether the request is a readiness check of this VM."""
        return head.target.partition(b'?')[0] == _READY_PATH

    def is_metrics_request(self, head: RequestHead) -> bool:
        """Return whether the request asks for the metrics."""
        return _decode_text(head.target).partition('?')[0] == METRICS_PATH


def _split_target(target: bytes) -> SplitResult:
    """Split a request target; all parts are empty if it is not valid."""
    text = _decode_text(target)
    if text.startswith('/'):
        path, _, query = text.partition('?')
        return SplitResult('', '', path, query, '')
    try:
        return urlsplit(text)
    except ValueError:
        return SplitResult('', '', '', '', '')


def _decode_load_report(head: ResponseHead) -> ReportedLoad | None:
    """Decode the load report in a response: running, waiting, slots, slowness.

    The slowness is optional. It states how long work takes now, where 100 is
    the usual time, which is also assumed if it is invalid. Returns ``None`` if
    one of the others is invalid or missing.
    """
    field = head.first(_LOAD)
    if field is None:
        return None
    figures = [_parse_amount(text) for text in field.split(b',')]
    counts = figures[:_COUNTS]
    if len(counts) < _COUNTS or None in counts:
        return None
    running, waiting, slots = (int(count or 0) for count in counts)
    cold_ms = _parse_amount(head.first(_WARMUP_LEFT))
    is_probe = head.first(_BACKEND_ID) is not None
    if cold_ms is None and is_probe:
        cold_ms = 0
    return ReportedLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        slowness_percent=_valid_slowness(figures[_COUNTS:]),
        cold_left_s=None if cold_ms is None else cold_ms / _MS_PER_S,
    )


def _valid_slowness(figures: list[float | None]) -> float:
    """Return the first figure, or the usual slowness if it is invalid."""
    slowness_percent = figures[0] if figures else None
    if slowness_percent and slowness_percent <= _MAX_SLOWNESS_PERCENT:
        return slowness_percent
    return _USUAL_SLOWNESS_PERCENT


def _decode_rate_limit(head: ResponseHead) -> float | None:
    return _parse_amount(head.first(_RATE_LIMIT))


def _parse_amount(text: bytes | None) -> float | None:
    """Return a number that is not negative, ``None`` for other texts."""
    number = _parse_number(text)
    return None if number is None or number < 0 else number


def _parse_number(text: bytes | None) -> float | None:
    """Return a finite number, ``None`` for other texts."""
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _decode_text(field: bytes | None) -> str:
    return '' if field is None else field.decode('latin-1')
