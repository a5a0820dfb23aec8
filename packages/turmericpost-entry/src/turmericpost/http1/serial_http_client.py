"""A kept connection to a service for one short request after another."""

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
    render_request,
)
from turmericpost_core.outcome.ledger import AttemptEnd


class HttpRequestError(Enum):
    """Why a request has no answer; only a request not sent had no effect."""

    NOT_SENT = 'not-sent'
    NO_RESPONSE = 'no-answer'


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request whose body is in memory."""

    method: str
    target: bytes
    body: bytes = b''
    headers: tuple[tuple[bytes, bytes], ...] = ()


class SerialHttpClient:
    """Sends requests to one address, one at a time, with a bound on time."""

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
        self._kept: BackendConnection | None = None
        self._running: _LaneCall | None = None

    async def send(
        self,
        request: HttpRequest,
        timeout_s: float,
    ) -> Result[HttpResponse, HttpRequestError]:
        """Send a request and return its whole answer."""
        call = _LaneCall(self._wire(request))
        self._running = call
        kept = self._kept
        self._kept = None
        if kept is not None and kept.is_usable:
            call.connected(kept)
        else:
            self._reactor.connectTCP(
                self._host,
                self._port,
                _LaneFactory(call),
                timeout=self._connect_timeout_s,
            )
        timer = self._reactor.callLater(timeout_s, call.give_up)
        answered = await call.done
        if timer.active():
            timer.cancel()
        self._running = None
        self._kept = call.connection
        return answered

    def give_up(self) -> None:
        """End the request in progress, if there is one."""
        if self._running is not None:
            self._running.give_up()

    def close(self) -> None:
        """Close the kept connection and give up what is in progress."""
        self.give_up()
        if self._kept is not None and self._kept.is_usable:
            self._kept.close()

    def _wire(self, request: HttpRequest) -> bytes:
        headers: Headers = [
            (HOST, f'{self._host}:{self._port}'.encode('ascii')),
            *request.headers,
        ]
        if request.body or request.method == 'POST':
            headers.append((CONTENT_LENGTH, b'%d' % len(request.body)))
        head = render_request(request.method, request.target, headers)
        return head + request.body


class _LaneCall:
    """One request of a lane, from sending to its answer."""

    def __init__(self, wire: bytes) -> None:
        self.done: Deferred[Result[HttpResponse, HttpRequestError]] = Deferred()
        self.connection: BackendConnection | None = None
        self._wire = wire
        self._status = 0
        self._parts: list[bytes] = []

    def connected(self, connection: BackendConnection) -> None:
        """Send the request."""
        if self.done.called:
            connection.cancel()
            return
        self.connection = connection
        connection.begin(self, to_head_request=False)
        connection.write(self._wire)

    def connect_failed(self) -> None:
        """End without having sent anything."""
        self._end(Err(HttpRequestError.NOT_SENT))

    def give_up(self) -> None:
        """End after too long a time."""
        connection = self.connection
        self.connection = None
        if connection is None:
            self._end(Err(HttpRequestError.NOT_SENT))
        else:
            connection.cancel()
            self._end(Err(HttpRequestError.NO_RESPONSE))

    def is_stale_response(self, head: ResponseHead) -> bool:
        """Return false: a lane has one request at a time."""
        return False

    def response_head_received(self, head: ResponseHead) -> None:
        """Take the head."""
        self._status = head.status

    def response_body_received(self, body: bytes) -> None:
        """Take a part of the body."""
        self._parts.append(body)

    def response_complete(self) -> None:
        """End with the whole answer."""
        self._end(Ok(HttpResponse(self._status, b''.join(self._parts))))

    def response_failed(self, end: AttemptEnd) -> None:
        """End without a whole answer."""
        self.connection = None
        self._end(Err(HttpRequestError.NO_RESPONSE))

    def pause_request(self) -> None:
        """Ignore: requests are small."""

    def resume_request(self) -> None:
        """Ignore: requests are small."""

    def _end(self, answered: Result[HttpResponse, HttpRequestError]) -> None:
        if not self.done.called:
            self.done.callback(answered)


class _LaneConnection(BackendConnection):
    """Tells its call when it is open."""

    def __init__(self, call: _LaneCall) -> None:
        super().__init__()
        self._call = call

    def connectionMade(self) -> None:
        """Set up the transport and send the request."""
        super().connectionMade()
        self._call.connected(self)


class _LaneFactory(ClientFactory):
    """Opens the connection for a call."""

    noisy = False

    def __init__(self, call: _LaneCall) -> None:
        self._call = call

    def buildProtocol(self, addr: IAddress) -> BackendConnection:
        """Return the protocol of the opened connection."""
        return _LaneConnection(self._call)

    def clientConnectionFailed(
        self,
        connector: IConnector,
        reason: Failure,
    ) -> None:
        """Tell the call."""
        self._call.connect_failed()
