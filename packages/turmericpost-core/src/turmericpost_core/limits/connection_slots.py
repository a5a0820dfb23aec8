"""Which connections a port keeps when there are too many."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import Generic, TypeVar

ConnectionT = TypeVar('ConnectionT')


class ConnectionState(Enum):
    """What a connection is doing.

    ``INCOMPLETE`` means that no complete request has come yet, ``BUSY`` that
    one is in progress, and ``IDLE`` that its response has been sent.
    """

    INCOMPLETE = 'incomplete'
    BUSY = 'busy'
    IDLE = 'idle'


class ConnectionSlots(Generic[ConnectionT]):
    """A limited number of connections.

    A new connection beyond the limit takes the place of the one that has been
    without a complete request for longest, else of the one that has been idle
    for longest. Connections whose request is in progress keep their place.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._states: dict[ConnectionT, ConnectionState] = {}
        self._idle: OrderedDict[ConnectionT, None] = OrderedDict()
        self._incomplete: OrderedDict[ConnectionT, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._states)

    def add(self, connection: ConnectionT) -> ConnectionT | None:
        """Add a new connection, and return the one to close, if any.

        It is the new one if the requests of all others are in progress.
        """
        closed_connection = None
        if len(self._states) >= self.max_connections:
            candidates = self._incomplete or self._idle
            if not candidates:
                return connection
            closed_connection = next(iter(candidates))
            self.remove(closed_connection)
        self._put(connection, ConnectionState.INCOMPLETE)
        return closed_connection

    def mark(self, connection: ConnectionT, state: ConnectionState) -> None:
        """Record the state of a connection, unless it has no place any more."""
        if self._states.get(connection) not in {None, state}:
            self.remove(connection)
            self._put(connection, state)

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection that has closed."""
        state = self._states.pop(connection, None)
        if state is ConnectionState.IDLE:
            self._idle.pop(connection)
        elif state is ConnectionState.INCOMPLETE:
            self._incomplete.pop(connection)

    def _put(self, connection: ConnectionT, state: ConnectionState) -> None:
        self._states[connection] = state
        if state is ConnectionState.IDLE:
            self._idle[connection] = None
        elif state is ConnectionState.INCOMPLETE:
            self._incomplete[connection] = None
