"""One request and its response on a caller connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from turmericpost.http1.heads import (
    CONNECTION,
    CONTENT_LENGTH,
    CONTINUE,
    EXPECT,
    LAST_CHUNK,
    TRANSFER_ENCODING,
    Headers,
    RequestHead,
    render_chunk,
    render_response,
)
from turmericpost_core.outcome.reasons import RefusalReason

_MAX_EARLY_BODY_BYTES = 65536
_MAX_BUFFERED_BODY_BYTES = 327680
_CLOSE_HEADER = (CONNECTION, b'close')
_CHUNKED_HEADER = (TRANSFER_ENCODING, b'chunked')


class BodyReceiver(Protocol):
    """Receives the request body and events of the caller connection."""

    def body_received(self, body: bytes) -> None:
        """Handle a part of the body."""

    def body_complete(self) -> None:
        """Handle the end of the body."""

    def body_failed(self, reason: RefusalReason) -> None:
        """Handle a body that can't be received completely."""

    def caller_gone(self) -> None:
        """Handle the loss of the caller connection."""

    def pause_response(self) -> None:
        """Pause sending the response because the caller reads too slowly."""

    def resume_response(self) -> None:
        """Resume sending the response."""


class ExchangeConnection(Protocol):
    """Caller connection, as far as an exchange uses it."""

    @property
    def is_draining(self) -> bool:
        """Whether the connection must close after this response."""

    def write(self, wire: bytes) -> None:
        """Send bytes to the caller."""

    def exchange_ended(self, *, reusable: bool) -> None:
        """Continue with the next request, or close if not reusable."""

    def abort(self) -> None:
        """Abort the connection so that the caller sees a truncated response."""

    def pause_or_resume_reading(self, *, paused: bool) -> None:
        """Pause or resume reading from the caller."""


class Exchange:
    """A request being received and its response being sent.

    The header fields of the request are dropped once the exchange is over.
    """

    def __init__(
        self,
        head: RequestHead,
        connection: ExchangeConnection,
        max_body_bytes: int,
        head_memory_bytes: int = 0,
    ) -> None:
        self.head = head
        self.body_ended = False
        self._connection = connection
        self._receiver: BodyReceiver | None = None
        self._early_body = bytearray()
        self._remaining_body_bytes = max_body_bytes
        self._head_memory_bytes = head_memory_bytes
        self._body_memory_bytes = 0
        self._failure: RefusalReason | None = None
        self._response_chunked = False
        self._has_sent_close = False
        self._is_over = False

    @property
    def is_over(self) -> bool:
        """Whether the response has been sent or the exchange was aborted."""
        return self._is_over

    @property
    def memory_bytes(self) -> int:
        """Memory in use for the head and for the body, at the most."""
        if self._is_over:
            return 0
        return self._head_memory_bytes + self._body_memory_bytes

    @property
    def failure(self) -> RefusalReason | None:
        """Why the request can't be received completely, ``None`` if it can."""
        return self._failure

    def accept_body(self, receiver: BodyReceiver) -> None:
        """Start passing the body to a receiver, from its first byte."""
        self._receiver = receiver
        if not self.body_ended and self.head.first(EXPECT):
            self._connection.write(CONTINUE)
        early_body = bytes(self._early_body)
        self._early_body.clear()
        self.resume_body()
        if early_body:
            receiver.body_received(early_body)
        if self._failure is not None:
            receiver.body_failed(self._failure)
        elif self.body_ended:
            receiver.body_complete()

    def pause_body(self) -> None:
        """Pause reading the body from the caller."""
        self._connection.pause_or_resume_reading(paused=True)

    def resume_body(self) -> None:
        """Resume reading the body from the caller."""
        self._connection.pause_or_resume_reading(paused=False)

    def send_full_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete response with a body and end the exchange."""
        if self._is_over:
            return
        framed_headers = [*headers, (CONTENT_LENGTH, b'%d' % len(body))]
        self._connection.write(self._render(status, framed_headers) + body)
        self._end()

    def send_bodiless_response(self, status: int, headers: Headers) -> None:
        """Send a response without a body and end the exchange."""
        if self._is_over:
            return
        self._connection.write(self._render(status, headers))
        self._end()

    def send_head(
        self,
        status: int,
        headers: Headers,
        content_length: int | None,
    ) -> None:
        """Send the head of a response whose body follows in parts."""
        if self._is_over:
            return
        if content_length is None:
            self._response_chunked = True
            framing_header = _CHUNKED_HEADER
        else:
            framing_header = (CONTENT_LENGTH, b'%d' % content_length)
        self._connection.write(self._render(status, [*headers, framing_header]))

    def send_body(self, body: bytes) -> None:
        """Send a part of the response body."""
        if self._is_over:
            return
        wire = render_chunk(body) if self._response_chunked else body
        self._connection.write(wire)

    def send_end(self) -> None:
        """End a response that was sent in parts."""
        if self._is_over:
            return
        if self._response_chunked:
            self._connection.write(LAST_CHUNK)
        self._end()

    def abort(self) -> None:
        """Abort the connection because the response can't be completed."""
        if not self._is_over:
            self._release()
            self._connection.abort()

    def receive_body(self, body: bytes) -> None:
        """Handle a part of the body received by the connection."""
        if self._is_over:
            return
        self._remaining_body_bytes -= len(body)
        self._body_memory_bytes = min(
            self._body_memory_bytes + len(body), _MAX_BUFFERED_BODY_BYTES
        )
        if self._remaining_body_bytes < 0:
            self.fail_body(RefusalReason.BODY_TOO_LARGE)
        elif self._receiver is None:
            self._buffer_early_body(body)
        else:
            self._receiver.body_received(body)

    def end_body(self) -> None:
        """Handle the end of the body received by the connection."""
        if self._failure is not None or self.body_ended:
            return
        self.body_ended = True
        self._notify(_notify_body_complete)

    def fail_body(self, reason: RefusalReason) -> None:
        """Stop receiving the body; the connection closes after the response."""
        if self._failure is not None or self.body_ended:
            return
        self._failure = reason
        self._notify(lambda receiver: receiver.body_failed(reason))

    def refuse_head(self, reason: RefusalReason) -> None:
        """Refuse the request before it begins, and drop its fields."""
        self.fail_body(reason)
        self._drop_fields()

    def caller_gone(self) -> None:
        """Notify the receiver that the caller has disconnected."""
        if not self._is_over:
            receiver = self._receiver
            self._release()
            if receiver is not None:
                receiver.caller_gone()

    def pause_response(self) -> None:
        """Notify the receiver that the response must be paused."""
        self._notify(_notify_pause_response)

    def resume_response(self) -> None:
        """Notify the receiver that the response can be resumed."""
        self._notify(_notify_resume_response)

    def _buffer_early_body(self, body: bytes) -> None:
        self._early_body += body
        if len(self._early_body) > _MAX_EARLY_BODY_BYTES:
            self.pause_body()

    def _notify(self, notification: Callable[[BodyReceiver], None]) -> None:
        if self._receiver is not None:
            notification(self._receiver)

    def _render(self, status: int, headers: Headers) -> bytes:
        if not self._is_reusable or self._connection.is_draining:
            self._has_sent_close = True
            headers = [*headers, _CLOSE_HEADER]
        return render_response(status, headers)

    @property
    def _is_reusable(self) -> bool:
        return self.head.keeps_alive and self.body_ended

    def _release(self) -> None:
        """End the exchange and drop what only a request in progress needs.

        The receiver refers to the exchange, so that neither would be freed
        before the next garbage collection.
        """
        self._is_over = True
        self._receiver = None
        self._early_body.clear()
        self._drop_fields()

    def _drop_fields(self) -> None:
        self._head_memory_bytes = 0
        self.head = replace(self.head, headers=[])

    def _end(self) -> None:
        self._release()
        reusable = self._is_reusable and not self._has_sent_close
        self._connection.exchange_ended(reusable=reusable)


def _notify_body_complete(receiver: BodyReceiver) -> None:
    receiver.body_complete()


def _notify_pause_response(receiver: BodyReceiver) -> None:
    receiver.pause_response()


def _notify_resume_response(receiver: BodyReceiver) -> None:
    receiver.resume_response()
