"""HTTP client that sends short requests one at a time to one address."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from turmericpost.http1.client import BackendConnection
from turmericpost.http1.heads import (
    CONTENT_LENGTH,
    HOST,
    Headers,
    ResponseHead,
    first_field,
    render_request,
)
from turmericpost_core.outcome.ledger import AttemptEnd


class HttpRequestError(Enum):
    """Why a request has no response.

    After ``NOT_SENT`` the request had no effect; after ``NO_RESPONSE`` it may
    have had one.
    """

    NOT_SENT = 'not-sent'
    NO_RESPONSE = 'no-answer'


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status, complete body and header fields of a response.

    The names of fields are in lower case.
    """

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def first(self, name: bytes) -> bytes | None:
        """Return the first field value for a name, ``None`` if missing."""
        return first_field(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its complete body."""

    method: str
    target: bytes
    body: bytes = b''
    headers: tuple[tuple[bytes, bytes], ...] = ()


class SerialHttpClient:
    """Sends requests to one address, one at a time, each with a timeout.

    The connection is reused between requests.
    """

    def __init__(
        self,
        reactor: Any,
        host: str,
        port: int,
        connect_timeout_s: float,
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle_connection: BackendConnection | None = None
        self._request_in_progress: _PendingRequest | None = None

    async def send(
        self,
        request: HttpRequest,
        timeout_s: float,
    ) -> Result[HttpResponse, HttpRequestError]:
        """Send a request and return its complete response."""
        pending = _PendingRequest(self._wire(request))
        self._request_in_progress = pending
        idle = self._idle_connection
        self._idle_connection = None
        if idle is not None and idle.is_usable:
            pending.connected(idle)
        else:
            self._reactor.connectTCP(
                self._host,
                self._port,
                _ConnectionFactory(pending),
                timeout=self._connect_timeout_s,
            )
        timer = self._reactor.callLater(timeout_s, pending.give_up)
        response = await pending.done
        if timer.active():
            timer.cancel()
        self._request_in_progress = None
        self._idle_connection = pending.connection
        return response

    def give_up(self) -> None:
        """Cancel the request in progress, if there is one."""
        if self._request_in_progress is not None:
            self._request_in_progress.give_up()

    def close(self) -> None:
        """Cancel the request in progress and close the idle connection."""
        self.give_up()
        if (
            self._idle_connection is not None
            and self._idle_connection.is_usable
        ):
            self._idle_connection.close()

    def _wire(self, request: HttpRequest) -> bytes:
        headers: Headers = [
            (HOST, f'{self._host}:{self._port}'.encode('ascii')),
            *request.headers,
        ]
        if request.body or request.method == 'POST':
            headers.append((CONTENT_LENGTH, b'%d' % len(request.body)))
        head = render_request(request.method, request.target, headers)
        return head + request.body


class _PendingRequest:
    """One request in progress; the deferred ``done`` fires with its result."""

    def __init__(self, wire: bytes) -> None:
        self.done: Deferred[Result[HttpResponse, HttpRequestError]] = Deferred()
        self.connection: BackendConnection | None = None
        self._wire = wire
        self._status = 0
        self._headers: Headers = []
        self._parts: list[bytes] = []

    def connected(self, connection: BackendConnection) -> None:
        """Send the request on an open connection."""
        if self.done.called:
            connection.cancel()
            return
        self.connection = connection
        connection.begin(self, to_head_request=False)
        connection.write(self._wire)

    def connect_failed(self) -> None:
        """End the request as not sent."""
        self._end(Err(HttpRequestError.NOT_SENT))

    def give_up(self) -> None:
        """Cancel the request because of a timeout or a close."""
        connection = self.connection
        self.connection = None
        if connection is None:
            self._end(Err(HttpRequestError.NOT_SENT))
        else:
            connection.cancel()
            self._end(Err(HttpRequestError.NO_RESPONSE))

    def is_stale_response(self, head: ResponseHead) -> bool:
        """Return false; only one request is in progress at a time."""
        return False

    def response_head_received(self, head: ResponseHead) -> None:
        """Store the status and header fields of the response."""
        self._status = head.status
        self._headers = head.headers

    def response_body_received(self, body: bytes) -> None:
        """Store a part of the response body."""
        self._parts.append(body)

    def response_complete(self) -> None:
        """End the request with the complete response."""
        body = b''.join(self._parts)
        self._end(Ok(HttpResponse(self._status, body, tuple(self._headers))))

    def response_failed(self, end: AttemptEnd) -> None:
        """End the request without a complete response."""
        self.connection = None
        self._end(Err(HttpRequestError.NO_RESPONSE))

    def pause_request(self) -> None:
        """Ignore; requests are small."""

    def resume_request(self) -> None:
        """Ignore; requests are small."""

    def _end(self, response: Result[HttpResponse, HttpRequestError]) -> None:
        if not self.done.called:
            self.done.callback(response)


class _NotifyingConnection(BackendConnection):
    """Connection that notifies its pending request when it is open."""

    def __init__(self, pending: _PendingRequest) -> None:
        super().__init__()
        self._pending_request = pending

    def connectionMade(self) -> None:
        """Set up the transport and send the request."""
        super().connectionMade()
        self._pending_request.connected(self)


class _ConnectionFactory(ClientFactory):
    """Opens the connection for a pending request."""

    noisy = False

    def __init__(self, pending: _PendingRequest) -> None:
        self._pending_request = pending

    def buildProtocol(self, addr: IAddress) -> BackendConnection:
        """Return the protocol of the opened connection."""
        return _NotifyingConnection(self._pending_request)

    def clientConnectionFailed(
        self,
        connector: IConnector,
        reason: Failure,
    ) -> None:
        """Notify the pending request of the failure."""
        self._pending_request.connect_failed()
