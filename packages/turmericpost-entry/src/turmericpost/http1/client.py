"""Connections to backend servers: one call at a time on each."""

from __future__ import annotations

from typing import Protocol as Interface

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from turmericpost.http1.codec import ResponseParser
from turmericpost.http1.heads import KEEP_ALIVE, Headers, ResponseHead
from turmericpost_core.outcome.ledger import AttemptEnd

_FIRST_FINAL_STATUS = 200
_BODILESS = frozenset((204, 304))


class ResponseReceiver(Interface):
    """Takes the answer to one call."""

    def is_stale_response(self, head: ResponseHead) -> bool:
        """Return whether an answer is to an earlier call, so not this one's."""

    def response_head_received(self, head: ResponseHead) -> None:
        """Take the head of the answer."""

    def response_body_received(self, body: bytes) -> None:
        """Take a part of the body."""

    def response_complete(self) -> None:
        """Take the end of a whole answer."""

    def response_failed(self, end: AttemptEnd) -> None:
        """Learn that no whole answer will come."""

    def pause_request(self) -> None:
        """Stop sending: the backend server reads too slowly."""

    def resume_request(self) -> None:
        """Send on."""


@implementer(IPushProducer)
class BackendConnection(Protocol):
    """A connection to a backend server, kept between calls."""

    def __init__(self, *, accepts_unframed: bool = False) -> None:
        self.is_usable = True
        self.idle_since_s = float(0)
        self.keep_alive: bytes | None = None
        self._takes_unframed = accepts_unframed
        self._is_unframed = False
        self._parser = ResponseParser(self)
        self._receiver: ResponseReceiver | None = None
        self._bodiless_method = False
        self._headers: Headers = []
        self._in_head = False
        self._answer_begun = False
        self._skips_message = False
        self._skipped_foreign = False
        self._ended = False

    def connectionMade(self) -> None:
        """Set up the transport."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def begin(
        self, receiver: ResponseReceiver, *, to_head_request: bool
    ) -> None:
        """Start a call whose answer the receiver takes."""
        self._receiver = receiver
        self._bodiless_method = to_head_request
        self._answer_begun = False

    def write(self, wire: bytes) -> None:
        """Send bytes of the request."""
        self.transport.write(wire)

    def pause_response(self) -> None:
        """Stop reading the answer."""
        self.transport.pauseProducing()

    def resume_response(self) -> None:
        """Go on reading the answer."""
        self.transport.resumeProducing()

    def cancel(self) -> None:
        """Close at once; the backend server takes it as a cancellation."""
        self._receiver = None
        self.is_usable = False
        self.transport.abortConnection()

    def close(self) -> None:
        """Close an unused connection."""
        self.is_usable = False
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Parse what the backend server sent."""
        if self._receiver is None:
            self.cancel()
            return
        if self._parser.feed(data).is_err():
            self._fail(AttemptEnd.MALFORMED)
        elif self._ended:
            self._end()

    def connectionLost(
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Fail the call in progress."""
        self.is_usable = False
        if self._is_unframed and reason.check(ConnectionDone):
            self._ended = True
            self._end()
            return
        lost = AttemptEnd.CONNECTION_LOST
        self._fail(AttemptEnd.TRUNCATED if self._answer_begun else lost)

    def on_message_begin(self) -> None:
        """Start the head of a response."""
        if self._ended:
            self.is_usable = False
        self._headers = []
        self._in_head = True

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a field; trailer fields are dropped."""
        if self._in_head:
            self._headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Pass on the head; interim responses are dropped."""
        self._in_head = False
        status = self._parser.status
        self._skips_message = status < _FIRST_FINAL_STATUS
        if self._skips_message or self._ended or self._receiver is None:
            return
        has_body = not (self._bodiless_method or status in _BODILESS)
        head = ResponseHead(status, self._headers, has_body)
        if self._receiver.is_stale_response(head):
            self._skips_message = True
            self._skipped_foreign = True
            return
        self._answer_begun = True
        if not head.is_framed:
            if not self._takes_unframed:
                self._fail(AttemptEnd.UNFRAMED)
                return
            self._is_unframed = True
        self.keep_alive = head.first(KEEP_ALIVE)
        self._receiver.response_head_received(head)
        if self._bodiless_method:
            self._ended = True
            self.is_usable = _keeps_alive(self._headers)
            self._parser = ResponseParser(self)

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        if self._skips_message or self._ended:
            return
        if self._receiver is not None:
            self._receiver.response_body_received(body)

    def on_message_complete(self) -> None:
        """Pass on the end of the answer."""
        if not (self._skips_message or self._ended):
            self._ended = True
            self.is_usable = self._parser.keeps_alive
            if self._skipped_foreign:
                self.is_usable = False

    def pauseProducing(self) -> None:
        """Pass on that the backend server reads slowly."""
        if self._receiver is not None:
            self._receiver.pause_request()

    def resumeProducing(self) -> None:
        """Pass on that the backend server reads again."""
        if self._receiver is not None:
            self._receiver.resume_request()

    def stopProducing(self) -> None:
        """Ignore: the loss of the connection tells the same."""

    def _end(self) -> None:
        receiver = self._receiver
        self._receiver = None
        self._ended = False
        if not self.is_usable:
            self.close()
        if receiver is not None:
            receiver.response_complete()

    def _fail(self, end: AttemptEnd) -> None:
        receiver = self._receiver
        self._receiver = None
        if self.is_usable:
            self.cancel()
        if receiver is not None:
            receiver.response_failed(end)


def _keeps_alive(headers: Headers) -> bool:
    return all(
        b'close' not in text.lower()
        for name, text in headers
        if name == b'connection'
    )
