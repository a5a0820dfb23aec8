"""Which connections a port keeps when there are too many."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

ConnectionT = TypeVar('ConnectionT')


class ConnectionSlots(Generic[ConnectionT]):
    """A limited number of connections.

    A new connection beyond the limit takes the place of the one that has been
    without a complete request for longest, else of the one that has been idle
    for longest. Connections whose request is in progress keep their place.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._busy: set[ConnectionT] = set()
        self._idle: OrderedDict[ConnectionT, None] = OrderedDict()
        self._incomplete: OrderedDict[ConnectionT, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._busy) + len(self._idle) + len(self._incomplete)

    def add(self, connection: ConnectionT) -> ConnectionT | None:
        """Add a new connection, and return the one to close, if any.

        It is the new one if the requests of all others are in progress.
        """
        if len(self) < self.max_connections:
            self._incomplete[connection] = None
            return None
        for candidates in (self._incomplete, self._idle):
            if candidates:
                oldest, _ = candidates.popitem(last=False)
                self._incomplete[connection] = None
                return oldest
        return connection

    def mark_incomplete(self, connection: ConnectionT) -> None:
        """Record that a request has begun to arrive and is not complete."""
        if self._take(connection):
            self._incomplete[connection] = None

    def mark_busy(self, connection: ConnectionT) -> None:
        """Record that a complete request is in progress."""
        if self._take(connection):
            self._busy.add(connection)

    def mark_idle(self, connection: ConnectionT) -> None:
        """Record that no request is in progress."""
        if self._take(connection):
            self._idle[connection] = None

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection that has closed."""
        self._take(connection)

    def _take(self, connection: ConnectionT) -> bool:
        """Remove a connection; return false if it has no place any more."""
        if connection in self._busy:
            self._busy.remove(connection)
            return True
        for connections in (self._idle, self._incomplete):
            if connection in connections:
                connections.pop(connection)
                return True
        return False
