"""HTTP/1.1 client connections to backend servers, one request at a time."""

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

MAX_OVERHEAD_BYTES = 65536
"""Maximum number of bytes of a response without any of its body.

This limits heads, interim responses, trailers and framing. Heads of the
deployments have less than 1 kB.
"""

_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599
_BODILESS_STATUSES = frozenset((204, 304))


class ResponseReceiver(Interface):
    """Receives the response to one request."""

    def is_stale_response(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to an earlier request."""

    def response_head_received(self, head: ResponseHead) -> None:
        """Handle the head of the response."""

    def response_body_received(self, body: bytes) -> None:
        """Handle a part of the response body."""

    def response_complete(self) -> None:
        """Handle the end of a complete response."""

    def response_failed(self, end: AttemptEnd) -> None:
        """Handle the loss of the response; no complete one will follow."""

    def pause_request(self) -> None:
        """Pause the request because the backend server reads too slowly."""

    def resume_request(self) -> None:
        """Resume sending the request."""


@implementer(IPushProducer)
class BackendConnection(Protocol):
    """A reusable connection to a backend server.

    Unframed responses, which end when the server closes the connection, fail
    unless ``accepts_unframed`` is set.
    """

    def __init__(self, *, accepts_unframed: bool = False) -> None:
        self.is_usable = True
        self.idle_since_s = float(0)
        self.keep_alive: bytes | None = None
        self._accepts_unframed = accepts_unframed
        self._is_unframed = False
        self._parser = ResponseParser(self)
        self._receiver: ResponseReceiver | None = None
        self._is_head_request = False
        self._headers: Headers = []
        self._in_head = False
        self._overhead_bytes = 0
        self._response_started = False
        self._skip_message = False
        self._skipped_stale_response = False
        self._response_ended = False
        self._is_reading_paused = False

    def connectionMade(self) -> None:
        """Set up the transport."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def begin(
        self, receiver: ResponseReceiver, *, to_head_request: bool
    ) -> None:
        """Start a request whose response goes to the receiver."""
        self._receiver = receiver
        self._is_head_request = to_head_request
        self._overhead_bytes = 0
        self._response_started = False

    def write(self, wire: bytes) -> None:
        """Send bytes of the request."""
        self.transport.write(wire)

    @property
    def receiver(self) -> ResponseReceiver | None:
        """Receiver of the response to the request in progress."""
        return self._receiver

    def pause_response(self, receiver: ResponseReceiver) -> None:
        """Pause reading the response, if it is that of the receiver."""
        if receiver is self._receiver and not self._is_reading_paused:
            self._is_reading_paused = True
            self.transport.pauseProducing()

    def resume_response(self, receiver: ResponseReceiver) -> None:
        """Resume reading the response, if it is that of the receiver."""
        if receiver is self._receiver:
            self._resume_reading()

    def cancel(self) -> None:
        """Abort the connection.

        This cancels the request at the backend server.
        """
        self._receiver = None
        self.is_usable = False
        self.transport.abortConnection()

    def close(self) -> None:
        """Close an idle connection."""
        self.is_usable = False
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; abort if no request is in progress."""
        if self._receiver is None:
            self.cancel()
            return
        self._overhead_bytes += len(data)
        if self._parser.feed(data).is_err():
            self._fail(AttemptEnd.MALFORMED)
        elif self._response_ended:
            self._finish()
        elif self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._fail(AttemptEnd.MALFORMED)

    def connectionLost(
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Fail the request in progress.

        If an unframed response is accepted, a clean close completes it.
        """
        self.is_usable = False
        self._parser.close()
        self._headers = []
        if self._is_unframed and reason.check(ConnectionDone):
            self._response_ended = True
            self._finish()
            return
        lost = AttemptEnd.CONNECTION_LOST
        self._fail(AttemptEnd.TRUNCATED if self._response_started else lost)

    def on_message_begin(self) -> None:
        """Handle the start of a response head."""
        if self._response_ended:
            self.is_usable = False
        self._headers = []
        self._in_head = True

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header field; trailer fields are dropped."""
        if self._in_head:
            self._headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Pass the head to the receiver; skip 1xx and stale responses.

        A status that RFC 9110 does not define (15) makes a response malformed.
        """
        self._in_head = False
        status = self._parser.status
        if not _FIRST_STATUS <= status <= _LAST_STATUS:
            self._skip_message = True
            self._fail(AttemptEnd.MALFORMED)
            return
        self._skip_message = status < _FIRST_FINAL_STATUS
        if self._skip_message or self._response_ended or self._receiver is None:
            return
        has_body = not (self._is_head_request or status in _BODILESS_STATUSES)
        head = ResponseHead(status, self._headers, has_body)
        if self._receiver.is_stale_response(head):
            self._skip_message = True
            self._skipped_stale_response = True
            return
        self._response_started = True
        if not head.is_framed:
            if not self._accepts_unframed:
                self._fail(AttemptEnd.UNFRAMED)
                return
            self._is_unframed = True
        self.keep_alive = head.first(KEEP_ALIVE)
        self._receiver.response_head_received(head)
        if self._is_head_request:
            self._response_ended = True
            self.is_usable = _keeps_alive(self._headers)
            self._parser = ResponseParser(self)

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the receiver."""
        self._overhead_bytes = 0
        if self._skip_message or self._response_ended:
            return
        if self._receiver is not None:
            self._receiver.response_body_received(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if not (self._skip_message or self._response_ended):
            self._response_ended = True
            self.is_usable = self._parser.keeps_alive
            if self._skipped_stale_response:
                self.is_usable = False

    def pauseProducing(self) -> None:
        """Pause the request because the backend server reads too slowly."""
        if self._receiver is not None:
            self._receiver.pause_request()

    def resumeProducing(self) -> None:
        """Resume the request because the backend server reads again."""
        if self._receiver is not None:
            self._receiver.resume_request()

    def stopProducing(self) -> None:
        """Ignore; ``connectionLost`` handles the same event."""

    def _finish(self) -> None:
        receiver = self._receiver
        self._receiver = None
        self._response_ended = False
        if self.is_usable:
            self._resume_reading()
        else:
            self.close()
        if receiver is not None:
            receiver.response_complete()

    def _resume_reading(self) -> None:
        if self._is_reading_paused:
            self._is_reading_paused = False
            self.transport.resumeProducing()

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
