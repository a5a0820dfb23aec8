"""One request and its answer on a caller connection."""

from __future__ import annotations

from collections.abc import Callable
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

_EARLY_BYTES = 65536
_CLOSE = (CONNECTION, b'close')
_CHUNKED = (TRANSFER_ENCODING, b'chunked')


class BodyReceiver(Protocol):
    """Takes the body of a request, and news of its caller."""

    def body_received(self, body: bytes) -> None:
        """Take a part of the body."""

    def body_complete(self) -> None:
        """Take the end of the body."""

    def body_failed(self, reason: RefusalReason) -> None:
        """Learn that the rest of the body will not come."""

    def caller_gone(self) -> None:
        """Learn that nobody waits for the answer."""

    def pause_response(self) -> None:
        """Stop sending: the caller reads too slowly."""

    def resume_response(self) -> None:
        """Send on."""


class ExchangeConnection(Protocol):
    """What an exchange needs of its connection."""

    @property
    def is_draining(self) -> bool:
        """Whether the connection must close after this answer."""

    def write(self, wire: bytes) -> None:
        """Send bytes to the caller."""

    def exchange_ended(self, *, reusable: bool) -> None:
        """Go on with the next request, or close."""

    def abort(self) -> None:
        """Close at once, so that the caller sees a broken answer."""

    def hold_reading(self, *, held: bool) -> None:
        """Stop or go on reading from the caller."""


class Exchange:
    """A request being received and its answer being sent."""

    def __init__(
        self,
        head: RequestHead,
        connection: ExchangeConnection,
        max_body_bytes: int,
    ) -> None:
        self.head = head
        self.body_ended = False
        self._connection = connection
        self._receiver: BodyReceiver | None = None
        self._early: list[bytes] = []
        self._body_bytes_left = max_body_bytes
        self._failure: RefusalReason | None = None
        self._answer_chunked = False
        self._closes_after = False
        self._is_over = False

    @property
    def is_over(self) -> bool:
        """Whether the answer has been sent or given up."""
        return self._is_over

    @property
    def failure(self) -> RefusalReason | None:
        """Why the request can't be received whole, if it can't."""
        return self._failure

    def accept_body(self, receiver: BodyReceiver) -> None:
        """Hand the body to a receiver, from its first byte on."""
        self._receiver = receiver
        if not self.body_ended and self.head.first(EXPECT):
            self._connection.write(CONTINUE)
        early = self._early
        self._early = []
        self.resume_body()
        for body in early:
            receiver.body_received(body)
        if self._failure is not None:
            receiver.body_failed(self._failure)
        elif self.body_ended:
            receiver.body_complete()

    def pause_body(self) -> None:
        """Stop reading the body from the caller."""
        self._connection.hold_reading(held=True)

    def resume_body(self) -> None:
        """Go on reading the body."""
        self._connection.hold_reading(held=False)

    def send_full_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send an answer that is there as a whole, and end the exchange."""
        if self._is_over:
            return
        framed = [*headers, (CONTENT_LENGTH, b'%d' % len(body))]
        self._connection.write(self._render(status, framed) + body)
        self._end()

    def send_bodiless_response(self, status: int, headers: Headers) -> None:
        """Send an answer that has no body, and end the exchange."""
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
        """Send the head of an answer whose body follows in parts."""
        if self._is_over:
            return
        if content_length is None:
            self._answer_chunked = True
            framing = _CHUNKED
        else:
            framing = (CONTENT_LENGTH, b'%d' % content_length)
        self._connection.write(self._render(status, [*headers, framing]))

    def send_body(self, body: bytes) -> None:
        """Send a part of the body."""
        if self._is_over:
            return
        wire = render_chunk(body) if self._answer_chunked else body
        self._connection.write(wire)

    def send_end(self) -> None:
        """End an answer sent in parts."""
        if self._is_over:
            return
        if self._answer_chunked:
            self._connection.write(LAST_CHUNK)
        self._end()

    def abort(self) -> None:
        """Break the connection: the answer sent so far is not whole."""
        if not self._is_over:
            self._is_over = True
            self._connection.abort()

    def receive_body(self, body: bytes) -> None:
        """Take a part of the body from the connection."""
        if self._is_over:
            return
        self._body_bytes_left -= len(body)
        if self._body_bytes_left < 0:
            self.fail_body(RefusalReason.BODY_TOO_LARGE)
        elif self._receiver is None:
            self._keep_early(body)
        else:
            self._receiver.body_received(body)

    def end_body(self) -> None:
        """Take the end of the body from the connection."""
        if self._failure is not None or self.body_ended:
            return
        self.body_ended = True
        self._tell(_body_complete)

    def fail_body(self, reason: RefusalReason) -> None:
        """Give up the body; the answer then closes the connection."""
        if self._failure is not None or self.body_ended:
            return
        self._failure = reason
        self._tell(lambda receiver: receiver.body_failed(reason))

    def caller_gone(self) -> None:
        """Tell the receiver that the caller has gone."""
        if not self._is_over:
            self._is_over = True
            self._tell(_caller_gone)

    def pause_response(self) -> None:
        """Tell the receiver to stop sending."""
        self._tell(_pause_answer)

    def resume_response(self) -> None:
        """Tell the receiver to send on."""
        self._tell(_resume_answer)

    def _keep_early(self, body: bytes) -> None:
        self._early.append(body)
        if sum(map(len, self._early)) > _EARLY_BYTES:
            self.pause_body()

    def _tell(self, message: Callable[[BodyReceiver], None]) -> None:
        if self._receiver is not None:
            message(self._receiver)

    def _render(self, status: int, headers: Headers) -> bytes:
        if not self._is_reusable or self._connection.is_draining:
            self._closes_after = True
            headers = [*headers, _CLOSE]
        return render_response(status, headers)

    @property
    def _is_reusable(self) -> bool:
        return self.head.keeps_alive and self.body_ended

    def _end(self) -> None:
        self._is_over = True
        reusable = self._is_reusable and not self._closes_after
        self._connection.exchange_ended(reusable=reusable)


def _body_complete(receiver: BodyReceiver) -> None:
    receiver.body_complete()


def _caller_gone(receiver: BodyReceiver) -> None:
    receiver.caller_gone()


def _pause_answer(receiver: BodyReceiver) -> None:
    receiver.pause_response()


def _resume_answer(receiver: BodyReceiver) -> None:
    receiver.resume_response()
