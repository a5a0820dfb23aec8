"""Lean HTTP/1.1 client of the load tool: one call at a time a connection."""

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
    """Where calls go."""

    host: str
    port: int


@dataclass(frozen=True)
class LoadAnswer:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


AnswerTaker: TypeAlias = Callable[[LoadAnswer | None], None]


class LoadConnection(Protocol):
    """Sends one call and gives its answer, ``None`` if it was not whole."""

    def __init__(self, client: LoadClient) -> None:
        self._client = client
        self._taker: AnswerTaker | None = None
        self._is_open = False
        self._waiting_wire = b''
        self._reset()

    def call(self, wire: bytes, taker: AnswerTaker) -> None:
        """Send a call."""
        self._taker = taker
        self._reset()
        if self._is_open:
            self.transport.write(wire)
        else:
            self._waiting_wire = wire

    def connectionMade(self) -> None:
        """Send what waits for the connection."""
        self._is_open = True
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._waiting_wire)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the taker that the answer is not whole."""
        self._client.drop(self)
        self.fail()

    def fail(self) -> None:
        """Give the call up."""
        taker = self._taker
        self._taker = None
        if taker is not None:
            taker(None)

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Parse the answer."""
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.transport.abortConnection()
        if self._is_whole:
            self._finish()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a field."""
        self._headers[name.decode('latin-1').lower()] = text.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Take the end of the answer."""
        self._is_whole = True
        self._keeps_alive = self._parser.should_keep_alive()

    def close(self) -> None:
        """Close the connection."""
        if self._is_open:
            self.transport.abortConnection()

    def _reset(self) -> None:
        self._parser = HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = b''
        self._is_whole = False
        self._keeps_alive = False

    def _finish(self) -> None:
        answer = LoadAnswer(
            self._parser.get_status_code(),
            self._headers,
            self._body,
        )
        taker = self._taker
        self._taker = None
        if self._keeps_alive:
            self._client.keep(self)
        else:
            self.transport.loseConnection()
        if taker is not None:
            taker(answer)


class LoadClient:
    """Connections to one target."""

    def __init__(self, reactor: IReactorTCP, target: LoadTarget) -> None:
        self._reactor = reactor
        self._target = target
        self._idle: list[LoadConnection] = []
        self._all: set[LoadConnection] = set()

    def call(self, wire: bytes, taker: AnswerTaker) -> LoadConnection:
        """Send a call on an unused connection or on a new one."""
        if self._idle:
            connection = self._idle.pop()
        else:
            connection = LoadConnection(self)
            self._all.add(connection)
            self._reactor.connectTCP(
                self._target.host,
                self._target.port,
                _OneConnection(connection),
            )
        connection.call(wire, taker)
        return connection

    def keep(self, connection: LoadConnection) -> None:
        """Keep a connection for the next call."""
        self._idle.append(connection)

    def drop(self, connection: LoadConnection) -> None:
        """Forget a closed connection."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Close every connection."""
        for connection in tuple(self._all):
            connection.close()


class _OneConnection(ClientFactory):
    noisy = False

    def __init__(self, connection: LoadConnection) -> None:
        self._connection = connection

    def buildProtocol(self, addr: IAddress) -> LoadConnection:
        """Return the connection being opened."""
        return self._connection

    def clientConnectionFailed(
        self,
        connector: IConnector,
        reason: Failure,
    ) -> None:
        """Fail the call."""
        self._connection.connectionLost(reason)
