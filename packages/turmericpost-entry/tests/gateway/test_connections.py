"""Pool of connections to backend servers, and the timing of a drain."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from tests.gateway.call_harness import backend
from tests.harness import FakeClock, FakeTransport
from turmericpost.gateway.connections import (
    IDLE_REUSE_S,
    NON_IDEMPOTENT_IDLE_REUSE_S,
    ServerConnections,
)
from turmericpost.gateway.drain_plan import new_drain_plan
from turmericpost.http1.client import BackendConnection

_GRACE_S = 6


class FakeListener:
    def __init__(self) -> None:
        self.received_connections: list[BackendConnection] = []
        self.failures: list[str] = []

    def connected(self, connection: BackendConnection) -> None:
        self.received_connections.append(connection)

    def connect_failed(self, detail: str) -> None:
        self.failures.append(detail)


class ServerConnectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.pool = ServerConnections(self.reactor, FakeClock(self.reactor))
        self.idle_connection = BackendConnection()
        self.idle_connection.makeConnection(FakeTransport())
        self.pool.release_connection('b1', self.idle_connection)

    def test_idle_connection_is_reused(self) -> None:
        self.assertIs(self._connect(IDLE_REUSE_S), self.idle_connection)
        self.assertEqual(self.pool.opened_count, 0)

    def test_non_idempotent_calls_reuse_only_recent_connections(self) -> None:
        self.reactor.advance(NON_IDEMPOTENT_IDLE_REUSE_S + 0.1)
        self.assertIsNone(self._connect(NON_IDEMPOTENT_IDLE_REUSE_S))
        self.assertEqual(self.pool.opened_count, 1)
        self.assertIs(self._connect(IDLE_REUSE_S), self.idle_connection)

    def test_keep_alive_timeout_of_the_server_limits_reuse(self) -> None:
        self.idle_connection.keep_alive = b'timeout=2, max=9'
        self.reactor.advance(1.7)
        self.assertIsNone(self._connect(IDLE_REUSE_S))

    def test_idle_connections_to_a_removed_server_are_closed(self) -> None:
        self.pool.retain_only({'b2'})
        self.assertFalse(self.idle_connection.is_usable)
        self.assertIsNone(self._connect(IDLE_REUSE_S))

    def _connect(self, max_idle_s: float) -> Any:
        listener = FakeListener()
        self.pool.connect(backend(1), listener, max_idle_s)
        return (
            listener.received_connections[0]
            if listener.received_connections
            else None
        )


class DrainPlanTest(unittest.TestCase):
    def setUp(self) -> None:
        self.plan = new_drain_plan(100, _GRACE_S)

    def test_new_calls_are_served_while_addresses_may_be_cached(self) -> None:
        self.assertFalse(self.plan.refuses_calls(102.9))
        self.assertTrue(self.plan.refuses_calls(103))

    def test_drain_ends_when_no_caller_is_connected(self) -> None:
        self.assertFalse(self.plan.is_finished(102.9, 0))
        self.assertFalse(self.plan.closes_port(103))
        self.assertTrue(self.plan.closes_port(103.3))
        self.assertTrue(self.plan.is_finished(103.3, 0))
        self.assertFalse(self.plan.is_finished(103.3, 1))

    def test_drain_ends_within_the_grace_time(self) -> None:
        self.assertTrue(self.plan.is_finished(100 + _GRACE_S - 0.4, 5))
