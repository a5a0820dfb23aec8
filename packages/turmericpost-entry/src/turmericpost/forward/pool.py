"""Pool of connections to backend servers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection
from typing import Protocol as Interface

from twisted.internet.interfaces import IAddress, IConnector, IReactorTCP
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from turmericpost.http1.client import BackendConnection


class ConnectionListener(Interface):
    """Receives the result of opening a connection."""

    def connected(self, connection: BackendConnection) -> None:
        """Use the opened connection."""

    def connect_failed(self) -> None:
        """Handle a failure to open the connection."""


class PendingConnection(ClientFactory):
    """A connection being opened for one attempt, which may be cancelled."""

    noisy = False

    def __init__(
        self,
        listener: ConnectionListener,
        release: Callable[[BackendConnection], None],
    ) -> None:
        self._listener: ConnectionListener | None = listener
        self._release = release

    def abandon(self) -> None:
        """Drop the listener; the connection goes to the pool when it opens."""
        self._listener = None

    def buildProtocol(self, addr: IAddress) -> BackendConnection:
        """Return the protocol of the opened connection."""
        return _OpeningConnection(self)

    def clientConnectionFailed(
        self,
        connector: IConnector,
        reason: Failure,
    ) -> None:
        """Notify the listener of the failure."""
        if self._listener is not None:
            self._listener.connect_failed()

    def opened(self, connection: BackendConnection) -> None:
        """Pass the connection to the listener, if any, or else to the pool."""
        if self._listener is None:
            self._release(connection)
        else:
            self._listener.connected(connection)


class ConnectionPool:
    """Idle connections by address; the most recently used is taken first."""

    def __init__(
        self,
        reactor: IReactorTCP,
        connect_timeout_s: float,
        max_idle: int,
    ) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._max_idle = max_idle
        self._idle_by_address: defaultdict[str, list[BackendConnection]]
        self._idle_by_address = defaultdict(list)

    def take_idle(self, address: str) -> BackendConnection | None:
        """Remove and return an idle connection, ``None`` if there is none."""
        idle_at_address = self._idle_by_address[address]
        while idle_at_address:
            connection = idle_at_address.pop()
            if connection.is_usable:
                return connection
        return None

    def open(
        self,
        host: str,
        port: int,
        listener: ConnectionListener,
    ) -> PendingConnection:
        """Open a connection and pass it to the listener."""
        address = f'{host}:{port}'
        pending = PendingConnection(
            listener,
            lambda connection: self.release(address, connection),
        )
        self._reactor.connectTCP(
            host,
            port,
            pending,
            timeout=self._connect_timeout_s,
        )
        return pending

    def release(self, address: str, connection: BackendConnection) -> None:
        """Return a connection to the pool, or close it if the pool is full."""
        if not connection.is_usable:
            return
        idle_at_address = self._idle_by_address[address]
        if len(idle_at_address) < self._max_idle:
            idle_at_address.append(connection)
        else:
            connection.close()

    def retain(self, addresses: Collection[str]) -> None:
        """Close the idle connections to all addresses except the given ones."""
        for address in self._idle_by_address.keys() - set(addresses):
            for connection in self._idle_by_address.pop(address):
                if connection.is_usable:
                    connection.close()


class _OpeningConnection(BackendConnection):
    """Connection that notifies its ``PendingConnection`` when it is open."""

    def __init__(self, pending: PendingConnection) -> None:
        super().__init__()
        self._pending = pending

    def connectionMade(self) -> None:
        """Set up the transport and notify the pending connection."""
        super().connectionMade()
        self._pending.opened(self)
