"""Port for callers, which holds their connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from turmericpost.http1.caller_connection import CallerConnection
from turmericpost.http1.exchange import Exchange
from turmericpost.http1.settings import CallerSettings
from turmericpost.observe.events import log_failure
from turmericpost_core.clock import Clock
from turmericpost_core.limits.connection_slots import (
    ConnectionSlots,
    ConnectionState,
)
from turmericpost_core.limits.shared_memory_budget import SharedMemoryBudget
from turmericpost_core.outcome.reasons import RefusalReason

ExchangeHandler: TypeAlias = Callable[[Exchange], None]


class CallerPort(Factory):
    """Protocol factory of the caller port; holds all caller connections."""

    noisy = False

    def __init__(
        self,
        begin: ExchangeHandler,
        settings: CallerSettings,
        clock: Clock,
        record_refusal: Callable[[RefusalReason], None],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.is_draining = False
        self.connections: set[CallerConnection] = set()
        self._slots = ConnectionSlots[CallerConnection](
            settings.max_caller_connections
        )
        self.memory = SharedMemoryBudget(
            settings.max_caller_memory_bytes, settings.max_caller_connections
        )
        self._handler = begin
        self._record_refusal = record_refusal

    def buildProtocol(self, addr: IAddress) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def begin(self, exchange: Exchange) -> bool:
        """Handle an exchange; return false after an exception."""
        try:
            self._handler(exchange)
        except Exception:
            log_failure(Failure())
            return False
        return True

    def add(self, connection: CallerConnection) -> None:
        """Add a new connection; close another one if there are too many."""
        self.connections.add(connection)
        closed_connection = self._slots.add(connection)
        if closed_connection is not None:
            self._record_refusal(RefusalReason.CALLER_LIMIT)
            closed_connection.abort()

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection that has closed."""
        self.connections.discard(connection)
        self._slots.remove(connection)

    def mark(
        self, connection: CallerConnection, state: ConnectionState
    ) -> None:
        """Record what a connection is doing."""
        self._slots.mark(connection, state)

    def record_slow_reader(self) -> None:
        """Count a caller that stopped reading its response."""
        self._record_refusal(RefusalReason.SLOW_CALLER)

    def check_timeouts(self) -> None:
        """Check the timeouts of all connections.

        Must be called a few times a second.
        """
        now_s = self.clock.monotonic_s()
        for connection in tuple(self.connections):
            connection.check_timeouts(now_s)

    def close_idle(self) -> None:
        """Close the idle connections."""
        now_s = self.clock.monotonic_s()
        for connection in tuple(self.connections):
            connection.close_if_idle(now_s)
