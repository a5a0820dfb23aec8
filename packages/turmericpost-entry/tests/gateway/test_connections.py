"""Connections to servers, and the plan of a VM that leaves."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from tests.gateway.call_harness import backend
from tests.harness import FakeClock, FakeTransport
from turmericpost.gateway.connections import (
    IDLE_REUSE_S,
    UNREPEATABLE_IDLE_REUSE_S,
    ServerConnections,
)
from turmericpost.gateway.drain_plan import QUIET_S, new_drain_plan
from turmericpost.http1.client import BackendConnection

_GRACE_S = 6


class Taker:
    def __init__(self) -> None:
        self.taken: list[BackendConnection] = []
        self.failures: list[str] = []

    def connected(self, connection: BackendConnection) -> None:
        self.taken.append(connection)

    def connect_failed(self, detail: str) -> None:
        self.failures.append(detail)


class ServerConnectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.pool = ServerConnections(self.reactor, FakeClock(self.reactor))
        self.kept = BackendConnection()
        self.kept.makeConnection(FakeTransport())
        self.pool.give_back('b1', self.kept)

    def test_kept_connection_is_used_again(self) -> None:
        self.assertIs(self._take(IDLE_REUSE_S), self.kept)
        self.assertEqual(self.pool.opened, 0)

    def test_calls_that_can_not_repeat_take_only_fresh_ones(self) -> None:
        self.reactor.advance(UNREPEATABLE_IDLE_REUSE_S + 0.1)
        self.assertIsNone(self._take(UNREPEATABLE_IDLE_REUSE_S))
        self.assertEqual(self.pool.opened, 1)
        self.assertIs(self._take(IDLE_REUSE_S), self.kept)

    def test_servers_stated_time_binds(self) -> None:
        self.kept.keep_alive = b'timeout=2, max=9'
        self.reactor.advance(1.7)
        self.assertIsNone(self._take(IDLE_REUSE_S))

    def test_server_that_is_gone_keeps_no_connection(self) -> None:
        self.pool.retain({'b2'})
        self.assertFalse(self.kept.is_usable)
        self.assertIsNone(self._take(IDLE_REUSE_S))

    def _take(self, max_idle_s: float) -> Any:
        taker = Taker()
        self.pool.connect(backend(1), taker, max_idle_s)
        return taker.taken[0] if taker.taken else None


class LeavePlanTest(unittest.TestCase):
    def setUp(self) -> None:
        self.plan = new_drain_plan(100, _GRACE_S)

    def test_new_calls_are_served_while_answers_may_be_kept(self) -> None:
        self.assertFalse(self.plan.turns_away(102.9))
        self.assertTrue(self.plan.turns_away(103))

    def test_process_ends_when_nothing_is_in_flight(self) -> None:
        self.assertFalse(self.plan.is_over(102.9, 0))
        quiet_s = self.plan.turns_away_s + QUIET_S
        self.assertTrue(self.plan.is_over(quiet_s, 0))
        self.assertFalse(self.plan.is_over(quiet_s, 1))

    def test_process_ends_within_the_grace_time(self) -> None:
        self.assertTrue(self.plan.is_over(100 + _GRACE_S - 0.4, 5))
