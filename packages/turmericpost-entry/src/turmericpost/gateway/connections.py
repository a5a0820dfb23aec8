"""Pool of connections to backend servers."""

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
"""Timeout of connecting: twenty times the round trip between regions."""

IDLE_REUSE_S = 8.0
"""Idle time after which a connection is not reused: backend servers that state
no keep-alive timeout close idle connections after ten seconds."""

NON_IDEMPOTENT_IDLE_REUSE_S = 1.5
"""Idle time after which a connection is not reused for a call that must not be
retried: if the backend server has closed the idle connection meanwhile, it is
unknown whether it ran the call."""

_KEEP_ALIVE_MARGIN_FACTOR = 0.8
_MAX_IDLE_PER_SERVER = 8


class ConnectionListener(Interface):
    """Receives the result of opening a connection."""

    def connected(self, connection: BackendConnection) -> None:
        """Handle the open connection, which is used for one call."""

    def connect_failed(self, detail: str) -> None:
        """Handle a failure to connect; ``detail`` names the error."""


class ServerConnections:
    """Opens connections to backend servers and keeps idle ones for reuse.

    The connection that became idle last is reused first.
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self.opened_count = 0
        self._reactor = reactor
        self._clock = clock
        self._idle: defaultdict[str, list[BackendConnection]]
        self._idle = defaultdict(list)

    def connect(
        self,
        backend: Backend,
        listener: ConnectionListener,
        max_idle_s: float = IDLE_REUSE_S,
    ) -> Callable[[], None]:
        """Pass an idle connection to the listener, or open a new one for it.

        An idle connection is passed before this method returns. Returns a
        function to call if the connection is no longer needed.
        """
        idle_connection = self._pop_idle(backend.backend_id, max_idle_s)
        if idle_connection is not None:
            listener.connected(idle_connection)
            return _do_nothing
        self.opened_count += 1
        pending_connection = _PendingConnection(
            listener, self, backend.backend_id
        )
        self._reactor.connectTCP(
            backend.host,
            backend.port,
            pending_connection,
            timeout=CONNECT_TIMEOUT_S,
        )
        return pending_connection.abandon

    def release_connection(
        self, backend_id: str, connection: BackendConnection
    ) -> None:
        """Keep a usable connection for reuse; close it if there are enough."""
        if not connection.is_usable:
            return
        idle = self._idle[backend_id]
        if len(idle) >= _MAX_IDLE_PER_SERVER:
            connection.close()
            return
        connection.idle_since_s = self._clock.monotonic_s()
        idle.append(connection)

    def retain_only(self, backend_ids: Collection[str]) -> None:
        """Close the idle connections to backend servers that are not listed."""
        for backend_id in self._idle.keys() - set(backend_ids):
            self.close_idle(backend_id)

    def close_idle(self, backend_id: str) -> None:
        """Close the idle connections to a backend server."""
        for connection in self._idle.pop(backend_id, ()):
            if connection.is_usable:
                connection.close()

    def _pop_idle(
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
            limit_s = min(max_idle_s, _keep_alive_timeout_s(connection))
            if now_s - connection.idle_since_s <= limit_s:
                return connection
            if limit_s >= IDLE_REUSE_S:
                connection.close()
            else:
                idle.insert(0, connection)
                return None
        return None


class _PendingConnection(ClientFactory):
    """A connection that is being opened for a listener."""

    noisy = False

    def __init__(
        self,
        listener: ConnectionListener,
        pool: ServerConnections,
        backend_id: str,
    ) -> None:
        self._listener: ConnectionListener | None = listener
        self._pool = pool
        self._backend_id = backend_id

    def abandon(self) -> None:
        """Put the connection in the pool when it opens; it isn't needed now."""
        self._listener = None

    def buildProtocol(self, addr: IAddress) -> BackendConnection:
        """Return the protocol of the opened connection."""
        return _OpenedConnection(self)

    def clientConnectionFailed(
        self,
        connector: IConnector,
        reason: Failure,
    ) -> None:
        """Report the failure to the listener."""
        if self._listener is not None:
            self._listener.connect_failed(reason.type.__name__)

    def opened(self, connection: BackendConnection) -> None:
        """Pass the connection to the listener, or to the pool if abandoned."""
        if self._listener is None:
            self._pool.release_connection(self._backend_id, connection)
        else:
            self._listener.connected(connection)


class _OpenedConnection(BackendConnection):
    """A connection that reports to its pending connection when it is open."""

    def __init__(self, pending_connection: _PendingConnection) -> None:
        super().__init__(accepts_unframed=True)
        self._pending_connection = pending_connection

    def connectionMade(self) -> None:
        """Set up the transport and report the open connection."""
        super().connectionMade()
        self._pending_connection.opened(self)


def _keep_alive_timeout_s(connection: BackendConnection) -> float:
    """Return the keep-alive timeout of the backend server, less a margin.

    Returns ``IDLE_REUSE_S`` if the backend server stated none.
    """
    keep_alive_field = connection.keep_alive
    if keep_alive_field is None:
        return IDLE_REUSE_S
    for parameter in keep_alive_field.split(b','):
        name, _, seconds = parameter.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.isdigit():
            return int(seconds) * _KEEP_ALIVE_MARGIN_FACTOR
    return IDLE_REUSE_S


def _do_nothing() -> None:
    """Do nothing.

    An idle connection was passed on, and none is being opened.
    """
