"""Minimal HTTP/1.1 client of the load generator, without pipelining."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from httptools import HttpParserError, HttpResponseParser
from twisted.internet.interfaces import IAddress, IConnector, IReactorTCP
from twisted.internet.protocol import (
    ClientFactory,
    Protocol,
    connectionDone,
)
from twisted.python.failure import Failure


@dataclass(frozen=True)
class LoadTarget:
    """Address of the server that calls are sent to."""

    host: str
    port: int


@dataclass(frozen=True)
class LoadResponse:
    """Complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


ResponseCallback: TypeAlias = Callable[[LoadResponse | None], None]


class LoadConnection(Protocol):
    """Connection that sends one call at a time.

    The callback of a call gets the response, or ``None`` if no complete
    response arrived.
    """

    def __init__(self, client: LoadClient) -> None:
        self._client = client
        self._on_response: ResponseCallback | None = None
        self._is_open = False
        self._unsent_request = b''
        self._reset()

    def call(self, request: bytes, on_response: ResponseCallback) -> None:
        """Send an encoded request, as soon as the connection is open."""
        self._on_response = on_response
        self._reset()
        if self._is_open:
            self.transport.write(request)
        else:
            self._unsent_request = request

    def connectionMade(self) -> None:
        """Send the request that was waiting for the connection."""
        self._is_open = True
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._unsent_request)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remove the connection from the client and fail the current call."""
        self._client.forget(self)
        self.fail()

    def fail(self) -> None:
        """Report to the callback that no complete response arrived."""
        on_response = self._on_response
        self._on_response = None
        if on_response is not None:
            on_response(None)

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; close the connection if they aren't valid HTTP."""
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.transport.abortConnection()
        if self._is_complete:
            self._finish()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a response header; called by the parser."""
        self._headers[name.decode('latin-1').lower()] = text.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Append a part of the response body; called by the parser."""
        self._body += body

    def on_message_complete(self) -> None:
        """Mark the response as complete; called by the parser."""
        self._is_complete = True
        self._should_keep_alive = self._parser.should_keep_alive()

    def close(self) -> None:
        """Abort the connection if it is open."""
        if self._is_open:
            self.transport.abortConnection()

    def _reset(self) -> None:
        self._parser = HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = b''
        self._is_complete = False
        self._should_keep_alive = False

    def _finish(self) -> None:
        response = LoadResponse(
            self._parser.get_status_code(),
            self._headers,
            self._body,
        )
        on_response = self._on_response
        self._on_response = None
        if self._should_keep_alive:
            self._client.release(self)
        else:
            self.transport.loseConnection()
        if on_response is not None:
            on_response(response)


class LoadClient:
    """Client with a pool of connections to one target."""

    def __init__(self, reactor: IReactorTCP, target: LoadTarget) -> None:
        self._reactor = reactor
        self._target = target
        self._idle_connections: list[LoadConnection] = []
        self._connections: set[LoadConnection] = set()

    def call(
        self, request: bytes, on_response: ResponseCallback
    ) -> LoadConnection:
        """Send an encoded request on an idle connection or on a new one.

        Returns the connection, so that the caller can close it on a timeout.
        """
        if self._idle_connections:
            connection = self._idle_connections.pop()
        else:
            connection = LoadConnection(self)
            self._connections.add(connection)
            self._reactor.connectTCP(
                self._target.host,
                self._target.port,
                _SingleConnectionFactory(connection),
            )
        connection.call(request, on_response)
        return connection

    def release(self, connection: LoadConnection) -> None:
        """Make a connection available for the next call."""
        self._idle_connections.append(connection)

    def forget(self, connection: LoadConnection) -> None:
        """Remove a closed connection from the pool."""
        self._connections.discard(connection)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)

    def close(self) -> None:
        """Abort every connection."""
        for connection in tuple(self._connections):
            connection.close()


class _SingleConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, connection: LoadConnection) -> None:
        self._connection = connection

    def buildProtocol(self, addr: IAddress) -> LoadConnection:
        """Return the connection that was passed to the factory."""
        return self._connection

    def clientConnectionFailed(
        self,
        connector: IConnector,
        reason: Failure,
    ) -> None:
        """Fail the call because the connection could not be opened."""
        self._connection.connectionLost(reason)
