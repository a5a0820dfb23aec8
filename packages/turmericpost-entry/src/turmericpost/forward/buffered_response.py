"""Responses: sent when complete, or streamed when large or slow."""

from __future__ import annotations

from dataclasses import dataclass

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from turmericpost.forward.call_facts import ATTEMPT_ID_HEADER
from turmericpost.forward.load_header import LOAD_REPORT_HEADER
from turmericpost.forward.refusals import OUTCOME_HEADER, REASON_HEADER
from turmericpost.http1.exchange import Exchange
from turmericpost.http1.heads import (
    CONTENT_LENGTH,
    VIA,
    Headers,
    ResponseHead,
    end_to_end,
)
from turmericpost_core.operations.table import StoredResponse
from turmericpost_core.outcome.reasons import Outcome

VIA_HEADER = (VIA, b'1.1 turmericpost')

_MS_PER_S = 1000
_FIRST_SERVER_ERROR = 500
_DROPPED_ALWAYS = frozenset((LOAD_REPORT_HEADER, ATTEMPT_ID_HEADER))
_DROPPED_WHEN_REFRAMED = frozenset((*_DROPPED_ALWAYS, CONTENT_LENGTH))
_OUTCOME_FIELDS = frozenset((OUTCOME_HEADER, REASON_HEADER))


@dataclass(frozen=True)
class BufferLimits:
    """Limits on the size and duration of buffering an incomplete response."""

    hold_bytes: int
    hold_ms: float


class BufferedResponse:
    """Buffers one response and sends it to the caller.

    Streaming starts when the buffer is full or the time limit has passed.
    Before that, nothing has been sent and the call can still be retried.
    """

    def __init__(
        self,
        exchange: Exchange,
        reactor: IReactorTime,
        limits: BufferLimits,
    ) -> None:
        self.is_streaming = False
        self._is_relayed = False
        self._exchange = exchange
        self._reactor = reactor
        self._limits = limits
        self._head: ResponseHead | None = None
        self._buffered_parts: list[bytes] = []
        self._buffered_bytes = 0
        self._timer: IDelayedCall | None = None

    def begin(self, head: ResponseHead, *, is_relayed: bool) -> None:
        """Store the response head.

        A response relayed by another entry VM keeps its outcome fields.
        """
        self._head = head
        self._is_relayed = is_relayed

    def add(self, body: bytes) -> None:
        """Buffer a part of the body, or send it if streaming has started."""
        if self.is_streaming:
            self._exchange.send_body(body)
            return
        self._buffered_parts.append(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > self._limits.hold_bytes:
            self._start_streaming()
        elif self._timer is None:
            self._timer = self._reactor.callLater(
                self._limits.hold_ms / _MS_PER_S,
                self._start_streaming,
            )

    def end(self) -> None:
        """Send the complete response, or the end of a streamed one."""
        self.stop_timer()
        if self.is_streaming:
            self._exchange.send_end()
        elif self._head is not None:
            send_stored_response(self._exchange, self.stored_response())

    def stored_response(self) -> StoredResponse | None:
        """Return the buffered response.

        Returns ``None`` if there is none or if it is streamed.
        """
        head = self._head
        if head is None or self.is_streaming:
            return None
        headers = tuple(self._headers(head, is_complete=True))
        body = b''.join(self._buffered_parts) if head.has_body else None
        return StoredResponse(head.status, headers, body)

    def discard(self) -> None:
        """Discard the buffered head and body."""
        self.stop_timer()
        self._head = None
        self._buffered_parts.clear()
        self._buffered_bytes = 0

    def stop_timer(self) -> None:
        """Cancel the timer that ends buffering."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _start_streaming(self) -> None:
        self.stop_timer()
        head = self._head
        if head is None or self.is_streaming:
            return
        self.is_streaming = True
        headers = self._headers(head, is_complete=False)
        self._exchange.send_head(head.status, headers, head.content_length)
        if self._buffered_parts:
            self._exchange.send_body(b''.join(self._buffered_parts))
            self._buffered_parts.clear()

    def _headers(self, head: ResponseHead, *, is_complete: bool) -> Headers:
        """Return the header fields to send to the caller."""
        is_reframed = head.has_body or not is_complete
        dropped = _DROPPED_WHEN_REFRAMED if is_reframed else _DROPPED_ALWAYS
        if self._is_relayed:
            return end_to_end(head.headers, dropped)
        headers = end_to_end(head.headers, dropped | _OUTCOME_FIELDS)
        outcome = response_outcome(head.status).value.encode('ascii')
        return [*headers, VIA_HEADER, (OUTCOME_HEADER, outcome)]


def send_stored_response(
    exchange: Exchange, response: StoredResponse | None
) -> None:
    """Send a stored response, with or without body; ``None`` sends nothing."""
    if response is None:
        return
    headers = list(response.headers)
    if response.body is None:
        exchange.send_bodiless_response(response.status, headers)
    else:
        exchange.send_full_response(response.status, headers, response.body)


def response_outcome(status: int) -> Outcome:
    """Return the outcome of a complete response.

    It is ``UNKNOWN`` for a 5xx status.
    """
    if status >= _FIRST_SERVER_ERROR:
        return Outcome.UNKNOWN
    return Outcome.COMPLETE
