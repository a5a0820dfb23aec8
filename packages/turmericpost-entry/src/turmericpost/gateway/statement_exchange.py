"""Records what backend servers state, and passes it on to other VMs.

Whoever gets a response learns a statement first, but the broker of the pool
decides by it. A VM therefore sends the statements that it knows ahead of its
permit requests, so that a broker that has just taken over or started knows
them in time. A broker sends the rate limit of a server ahead of a permit for
it, so that the holder can tell when a response no longer states it.
"""

from __future__ import annotations

import heapq
from collections import Counter
from typing import Any
from typing import Protocol as Interface

from turmericpost.fleet.messages import (
    AvailabilityMessage,
    Message,
    RateLimitsMessage,
    StatedAvailability,
    StatedRateLimit,
)
from turmericpost.gateway.call_codec import ResponseInfo
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.availability import (
    Availability,
    AvailabilityTable,
)
from turmericpost_core.grants.permits import Pool
from turmericpost_core.grants.rate_limits import (
    BackendInstance,
    RateLimitStatement,
    RateLimitTable,
    instance_of,
    pool_of,
)

MAX_STATEMENTS_PER_MESSAGE = 24
"""Maximum number of statements in a message, the newest ones.

With them a datagram stays below 1,200 bytes, which all networks of the
deployments carry in one piece.
"""


MAX_LOGGED_INVALID = 256
"""Number of servers whose invalid pauses are logged; all are counted."""


class DatagramSender(Interface):
    """Sends messages to other VMs."""

    def send_to(self, host: str, port: int, message: Any) -> None:
        """Send a message to an address."""


class StatementExchange:
    """Records, sends and receives what backend servers state.

    ``counts`` counts the statements made to this VM: each time that a server
    begins to leave or to pause, and invalid pauses.
    """

    def __init__(
        self,
        clock: Clock,
        sender: DatagramSender,
        limits: RateLimitTable,
        availability: AvailabilityTable,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._limits = limits
        self._availability = availability
        self._clock = clock
        self._sender = sender
        self._logged_invalid: set[str] = set()

    def record_limit(
        self, backend: Backend, statement: RateLimitStatement
    ) -> None:
        """Record what a backend server stated to this VM about its limit."""
        self._limits.record(pool_of(backend), instance_of(backend), statement)

    def record_availability(self, backend: Backend, info: ResponseInfo) -> bool:
        """Record whether a server leaves or asks for a pause.

        Returns whether it states either. What is new is logged.
        """
        if info.has_invalid_pause:
            self._log_invalid_pause(backend)
        if not info.is_leaving and info.pause_s is None:
            return False
        now_s = self._clock.monotonic_s()
        key = (pool_of(backend), instance_of(backend), now_s)
        is_new = False
        if info.pause_s is not None:
            is_new = self._availability.record_pause(*key, info.pause_s)
        if info.is_leaving:
            is_new = self._availability.record_leaving(*key)
        if is_new:
            self.counts['leaving' if info.is_leaving else 'pause'] += 1
            log_event(
                LogEvent.BACKEND_CLOSED,
                backend=backend.backend_id,
                service=backend.service,
                is_leaving=info.is_leaving,
                pause_s=info.pause_s,
            )
        return True

    def may_send(self, backend: Backend) -> bool:
        """Return whether this VM may send a request to a server."""
        return self._availability.may_send(backend, self._clock.monotonic_s())

    def send_pool(self, host: str, port: int, pool: Pool) -> None:
        """Send the statements in force of a pool's servers, if any."""
        self._send_limits(host, port, pool, self._limits.in_force(pool))
        in_pool = self._availability.in_pool(pool, self._clock.monotonic_s())
        self._send_availability(host, port, pool, in_pool)

    def send_backend(self, host: str, port: int, backend: Backend) -> None:
        """Send the last statements of a backend server, if there are any.

        Also tells that a known limit has ended.
        """
        pool = pool_of(backend)
        instance = instance_of(backend)
        statement = self._limits.statement_of(backend)
        if statement is not None:
            self._send_limits(host, port, pool, {instance: statement})
        now_s = self._clock.monotonic_s()
        availability = self._availability.in_force(backend, now_s)
        if availability is not None:
            self._send_availability(host, port, pool, {instance: availability})

    def message_received(self, message: Message) -> None:
        """Record the statements that another VM sent."""
        if isinstance(message, RateLimitsMessage):
            self._limits_received(message)
        elif isinstance(message, AvailabilityMessage):
            self._availability_received(message)

    def _log_invalid_pause(self, backend: Backend) -> None:
        """Count an invalid pause; log the first one of each server."""
        self.counts['invalid_pause'] += 1
        has_room = len(self._logged_invalid) < MAX_LOGGED_INVALID
        if has_room and backend.backend_id not in self._logged_invalid:
            self._logged_invalid.add(backend.backend_id)
            log_event(
                LogEvent.BACKEND_PAUSE_INVALID, backend=backend.backend_id
            )

    def _limits_received(self, message: RateLimitsMessage) -> None:
        now_s = self._clock.monotonic_s()
        pool = (message.service, message.failure_domain)
        for stated in message.limits:
            self._limits.record(
                pool,
                (stated.backend_id, stated.started_ms),
                RateLimitStatement(stated.requests_per_s, now_s - stated.age_s),
            )

    def _availability_received(self, message: AvailabilityMessage) -> None:
        now_s = self._clock.monotonic_s()
        pool = (message.service, message.failure_domain)
        for stated in message.statements:
            instance = (stated.backend_id, stated.started_ms)
            stated_s = now_s - stated.age_s
            if stated.is_leaving:
                self._availability.record_leaving(pool, instance, stated_s)
            else:
                pause_s = stated.closed_s + stated.age_s
                self._availability.record_pause(
                    pool, instance, stated_s, pause_s
                )

    def _send_limits(
        self,
        host: str,
        port: int,
        pool: Pool,
        statements: dict[BackendInstance, RateLimitStatement],
    ) -> None:
        if not statements:
            return
        now_s = self._clock.monotonic_s()
        limits = tuple(
            StatedRateLimit(
                *instance,
                statement.requests_per_s,
                max(now_s - statement.stated_s, 0),
            )
            for instance, statement in _newest(statements)
        )
        self._sender.send_to(host, port, RateLimitsMessage(*pool, limits))

    def _send_availability(
        self,
        host: str,
        port: int,
        pool: Pool,
        statements: dict[BackendInstance, Availability],
    ) -> None:
        if not statements:
            return
        now_s = self._clock.monotonic_s()
        stated = tuple(
            StatedAvailability(
                *instance,
                availability.is_leaving,
                0
                if availability.is_leaving
                else max(availability.usable_from_s - now_s, 0),
                max(now_s - availability.stated_s, 0),
            )
            for instance, availability in _newest(statements)
        )
        self._sender.send_to(host, port, AvailabilityMessage(*pool, stated))


def _newest(
    statements: dict[BackendInstance, Any],
) -> list[tuple[BackendInstance, Any]]:
    return heapq.nlargest(
        MAX_STATEMENTS_PER_MESSAGE,
        statements.items(),
        key=lambda entry: entry[1].stated_s,
    )
