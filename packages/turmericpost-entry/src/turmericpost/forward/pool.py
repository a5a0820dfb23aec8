"""Pool of connections to backend servers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection
from typing import Protocol as Interface

from twisted.internet.interfaces import IAddress, IConnector, IReactorTCP
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from turmericpost.http1.client import BackendConnection


class ConnectionTaker(Interface):
    """Takes an opened connection."""

    def connected(self, connection: BackendConnection) -> None:
        """Take the connection."""

    def connect_failed(self) -> None:
        """Learn that no connection could be opened."""


class PendingConnection(ClientFactory):
    """A connection being opened for one call, who may lose interest."""

    noisy = False

    def __init__(
        self,
        taker: ConnectionTaker,
        give_back: Callable[[BackendConnection], None],
    ) -> None:
        self._taker: ConnectionTaker | None = taker
        self._give_back = give_back

    def forget(self) -> None:
        """Keep the connection for others once it is there."""
        self._taker = None

    def buildProtocol(self, addr: IAddress) -> BackendConnection:
        """Return the protocol of the opened connection."""
        return _OpeningConnection(self)

    def clientConnectionFailed(
        self,
        connector: IConnector,
        reason: Failure,
    ) -> None:
        """Tell the call."""
        if self._taker is not None:
            self._taker.connect_failed()

    def opened(self, connection: BackendConnection) -> None:
        """Hand over the opened connection."""
        if self._taker is None:
            self._give_back(connection)
        else:
            self._taker.connected(connection)


class ConnectionPool:
    """Unused connections by address; the one used last is taken first."""

    def __init__(
        self,
        reactor: IReactorTCP,
        connect_timeout_s: float,
        max_idle: int,
    ) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._max_idle = max_idle
        self._idle: defaultdict[str, list[BackendConnection]]
        self._idle = defaultdict(list)

    def take_idle(self, address: str) -> BackendConnection | None:
        """Return an unused connection, ``None`` if there is none."""
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
        return None

    def open(
        self,
        host: str,
        port: int,
        taker: ConnectionTaker,
    ) -> PendingConnection:
        """Open a connection for a call."""
        address = f'{host}:{port}'
        pending = PendingConnection(
            taker,
            lambda connection: self.give_back(address, connection),
        )
        self._reactor.connectTCP(
            host,
            port,
            pending,
            timeout=self._connect_timeout_s,
        )
        return pending

    def give_back(self, address: str, connection: BackendConnection) -> None:
        """Keep an unused connection, or close it when there are enough."""
        if not connection.is_usable:
            return
        idle = self._idle[address]
        if len(idle) < self._max_idle:
            idle.append(connection)
        else:
            connection.close()

    def retain(self, addresses: Collection[str]) -> None:
        """Close the unused connections to all other addresses."""
        for address in self._idle.keys() - set(addresses):
            for connection in self._idle.pop(address):
                if connection.is_usable:
                    connection.close()


class _OpeningConnection(BackendConnection):
    """Tells its pending connection when it is open."""

    def __init__(self, pending: PendingConnection) -> None:
        super().__init__()
        self._pending = pending

    def connectionMade(self) -> None:
        """Set up the transport and hand the connection over."""
        super().connectionMade()
        self._pending.opened(self)
