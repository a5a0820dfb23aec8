"""Connections to backend servers, kept by server and start."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection
from typing import Any
from typing import Protocol as Interface

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from turmericpost.http1.client import BackendConnection
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.backends import Backend

CONNECT_TIMEOUT_S = 0.4
"""Bound on connecting: twenty times the way between regions and back."""

IDLE_REUSE_S = 8.0
"""Idle time after which a connection is not used again: servers that do not
state a time close after ten seconds."""

UNREPEATABLE_IDLE_REUSE_S = 1.5
"""The same for calls that can't be sent again, since a server that forgot an
idle connection leaves open whether it ran the call."""

_KEEP_ALIVE_SHARE = 0.8
_MAX_IDLE = 8


class ConnectionListener(Interface):
    """Takes a connection once it is open."""

    def connected(self, connection: BackendConnection) -> None:
        """Take the connection."""

    def connect_failed(self, detail: str) -> None:
        """Learn that there is none."""


class ServerConnections:
    """Unused connections by backend server; the newest is used first."""

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self.opened = 0
        self._reactor = reactor
        self._clock = clock
        self._idle: defaultdict[str, list[BackendConnection]]
        self._idle = defaultdict(list)

    def connect(
        self,
        backend: Backend,
        taker: ConnectionListener,
        max_idle_s: float = IDLE_REUSE_S,
    ) -> Callable[[], None]:
        """Give a connection to the taker, now or when it is open.

        Returns what to call when the taker loses interest.
        """
        kept = self._take_idle(backend.backend_id, max_idle_s)
        if kept is not None:
            taker.connected(kept)
            return _nothing
        self.opened += 1
        opening = _Opening(taker, self, backend.backend_id)
        self._reactor.connectTCP(
            backend.host,
            backend.port,
            opening,
            timeout=CONNECT_TIMEOUT_S,
        )
        return opening.forget

    def give_back(self, backend_id: str, connection: BackendConnection) -> None:
        """Keep a connection for later."""
        if not connection.is_usable:
            return
        idle = self._idle[backend_id]
        if len(idle) >= _MAX_IDLE:
            connection.close()
            return
        connection.idle_since_s = self._clock.monotonic_s()
        idle.append(connection)

    def retain(self, backend_ids: Collection[str]) -> None:
        """Close the unused connections to all other servers."""
        for backend_id in self._idle.keys() - set(backend_ids):
            self.drop(backend_id)

    def drop(self, backend_id: str) -> None:
        """Close the unused connections to a server."""
        for connection in self._idle.pop(backend_id, ()):
            if connection.is_usable:
                connection.close()

    def _take_idle(
        self,
        backend_id: str,
        max_idle_s: float,
    ) -> BackendConnection | None:
        idle = self._idle[backend_id]
        now_s = self._clock.monotonic_s()
        while idle:
            connection = idle.pop()
            if not connection.is_usable:
                continue
            bound_s = min(max_idle_s, _stated_idle_s(connection))
            if now_s - connection.idle_since_s <= bound_s:
                return connection
            if bound_s >= IDLE_REUSE_S:
                connection.close()
            else:
                idle.insert(0, connection)
                return None
        return None


class _Opening(ClientFactory):
    """A connection being opened."""

    noisy = False

    def __init__(
        self,
        taker: ConnectionListener,
        pool: ServerConnections,
        backend_id: str,
    ) -> None:
        self._taker: ConnectionListener | None = taker
        self._pool = pool
        self._backend_id = backend_id

    def forget(self) -> None:
        """Keep the connection for others."""
        self._taker = None

    def buildProtocol(self, addr: IAddress) -> BackendConnection:
        """Return the protocol of the opened connection."""
        return _OpenedConnection(self)

    def clientConnectionFailed(
        self,
        connector: IConnector,
        reason: Failure,
    ) -> None:
        """Tell the taker."""
        if self._taker is not None:
            self._taker.connect_failed(reason.type.__name__)

    def opened(self, connection: BackendConnection) -> None:
        """Hand over the connection."""
        if self._taker is None:
            self._pool.give_back(self._backend_id, connection)
        else:
            self._taker.connected(connection)


class _OpenedConnection(BackendConnection):
    """Tells its opening when it is open."""

    def __init__(self, opening: _Opening) -> None:
        super().__init__(accepts_unframed=True)
        self._opening = opening

    def connectionMade(self) -> None:
        """Set up the transport and hand the connection over."""
        super().connectionMade()
        self._opening.opened(self)


def _stated_idle_s(connection: BackendConnection) -> float:
    """Return how long the server keeps a connection, less a margin."""
    stated = connection.keep_alive
    if stated is None:
        return IDLE_REUSE_S
    for part in stated.split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.isdigit():
            return int(seconds) * _KEEP_ALIVE_SHARE
    return IDLE_REUSE_S


def _nothing() -> None:
    """Do nothing: the connection was there at once."""
