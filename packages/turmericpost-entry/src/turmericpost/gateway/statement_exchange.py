"""Passes the rate limits that backend servers state on to other VMs.

Whoever gets a response learns a limit first, but the broker of the pool keeps
it. A VM therefore sends the limits that it knows ahead of its permit requests,
so that a broker that has just taken over or started knows them in time. A
broker sends the limit of a server ahead of a permit for it, so that the holder
can tell when a response no longer states it.
"""

from __future__ import annotations

import heapq
from typing import Any
from typing import Protocol as Interface

from turmericpost.fleet.messages import (
    Message,
    RateLimitsMessage,
    StatedRateLimit,
)
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.permits import Pool
from turmericpost_core.grants.rate_limits import (
    BackendInstance,
    RateLimitStatement,
    RateLimitTable,
    instance_of,
    pool_of,
)

MAX_LIMITS_PER_MESSAGE = 24
"""Maximum number of limits in a message, the newest ones.

With them a datagram stays below 1,200 bytes, which all networks of the
deployments carry in one piece.
"""


class DatagramSender(Interface):
    """Sends messages to other VMs."""

    def send_to(self, host: str, port: int, message: Any) -> None:
        """Send a message to an address."""


class RateLimitExchange:
    """Sends and receives what backend servers state about their limits."""

    def __init__(
        self, clock: Clock, sender: DatagramSender, table: RateLimitTable
    ) -> None:
        self.table = table
        self._clock = clock
        self._sender = sender

    def record(self, backend: Backend, statement: RateLimitStatement) -> None:
        """Record what a backend server stated to this VM."""
        self.table.record(pool_of(backend), instance_of(backend), statement)

    def send_pool(self, host: str, port: int, pool: Pool) -> None:
        """Send the known limits of a pool's servers, if there are any."""
        self._send(host, port, pool, self.table.in_force(pool))

    def send_backend(self, host: str, port: int, backend: Backend) -> None:
        """Send the last statement of a backend server, if there is one.

        Also tells that a known limit has ended.
        """
        statement = self.table.statement_of(backend)
        if statement is not None:
            self._send(
                host,
                port,
                pool_of(backend),
                {instance_of(backend): statement},
            )

    def message_received(self, message: Message) -> None:
        """Record the statements that another VM sent."""
        if not isinstance(message, RateLimitsMessage):
            return
        now_s = self._clock.monotonic_s()
        pool = (message.service, message.failure_domain)
        for stated in message.limits:
            self.table.record(
                pool,
                (stated.backend_id, stated.started_ms),
                RateLimitStatement(stated.requests_per_s, now_s - stated.age_s),
            )

    def _send(
        self,
        host: str,
        port: int,
        pool: Pool,
        statements: dict[BackendInstance, RateLimitStatement],
    ) -> None:
        if not statements:
            return
        now_s = self._clock.monotonic_s()
        newest = heapq.nlargest(
            MAX_LIMITS_PER_MESSAGE,
            statements.items(),
            key=lambda entry: entry[1].stated_s,
        )
        limits = tuple(
            StatedRateLimit(
                *instance,
                statement.requests_per_s,
                max(now_s - statement.stated_s, 0),
            )
            for instance, statement in newest
        )
        self._sender.send_to(host, port, RateLimitsMessage(*pool, limits))
