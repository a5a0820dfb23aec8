"""Rate limits that backend servers state: which statement holds."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from tests.grants.history import max_count_in_window
from tests.grants.rate_limit_history import RateLimitSimulation
from tests.grants.samples import backend, new_broker, new_request, reported_load
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    Decision,
    PermitGrant,
    ProbeRequest,
)
from turmericpost_core.grants.rate_limits import (
    STATEMENT_VALIDITY_S,
    RateLimitStatement,
    RateLimitTable,
    instance_of,
    pool_of,
)

_SERVER = backend(1)
_RESTARTED = backend(1, started_ms=2)
_LIMIT_PER_S = 2.0
_WINDOW_S = 4.0
_TOLERANCE = 1.5
_BURST = 5
_STEP_S = 0.02
_STEPS_PER_CALL = 5
_SERVICE_TIME_S = 0.06
_RUNS = 100


def record(
    table: RateLimitTable, requests_per_s: float | None, stated_s: float
) -> None:
    table.record(
        pool_of(_SERVER),
        instance_of(_SERVER),
        RateLimitStatement(requests_per_s, stated_s),
    )


class RateLimitTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RateLimitTable()

    def test_newest_statement_holds(self) -> None:
        record(self.table, 3, 5)
        record(self.table, 8, 4)
        self.assertEqual(self.table.limit_of(_SERVER), 3)
        record(self.table, 2, 6)
        self.assertEqual(self.table.limit_of(_SERVER), 2)

    def test_limit_ends_with_a_response_to_a_later_request(self) -> None:
        record(self.table, 3, 5)
        record(self.table, None, 4.9)
        self.assertEqual(self.table.limit_of(_SERVER), 3)
        record(self.table, None, 5.1)
        self.assertIsNone(self.table.limit_of(_SERVER))
        self.assertEqual(self.table.in_force(pool_of(_SERVER)), {})

    def test_restarted_server_has_no_limit(self) -> None:
        record(self.table, 3, 5)
        self.assertIsNone(self.table.limit_of(_RESTARTED))

    def test_old_statement_is_forgotten(self) -> None:
        record(self.table, 3, 5)
        self.table.forget_old(5 + STATEMENT_VALIDITY_S)
        self.assertEqual(self.table.limit_of(_SERVER), 3)
        self.table.forget_old(6 + STATEMENT_VALIDITY_S)
        self.assertIsNone(self.table.limit_of(_SERVER))


class OverloadedServerTest(unittest.TestCase):
    """Load pattern: five times the calls that a server's limit allows."""

    def setUp(self) -> None:
        self.broker = new_broker(1)
        self.granted_s: list[float] = []
        self._in_flight: list[tuple[float, str]] = []
        self._calls = 0

    # Guards against grants by slots and speed alone, which gave a server
    # several times the rate that it had stated.
    def test_server_gets_no_more_than_the_rate_it_states(self) -> None:
        self._state_limit(_LIMIT_PER_S, 0)
        self._play(0, 12)
        most = max_count_in_window(self.granted_s, _WINDOW_S)
        self.assertLessEqual(
            most, _TOLERANCE * _LIMIT_PER_S * _WINDOW_S + _BURST
        )

    def _state_limit(self, requests_per_s: float | None, now_s: float) -> None:
        server = backend(0)
        statement = RateLimitStatement(requests_per_s, now_s)
        self.broker.rate_limits.record(
            pool_of(server), instance_of(server), statement
        )

    def _play(self, begin_s: float, end_s: float) -> None:
        """Send ten calls per second to the broker of one server."""
        for step in range(round(begin_s / _STEP_S), round(end_s / _STEP_S)):
            now_s = step * _STEP_S
            self._finish_due_attempts(now_s)
            self._apply(self.broker.decide(now_s), now_s)
            if not step % _STEPS_PER_CALL:
                self._calls += 1
                request = new_request(self._calls, now_s)
                self._apply(self.broker.request(request, now_s), now_s)

    def _finish_due_attempts(self, now_s: float) -> None:
        while self._in_flight and self._in_flight[0][0] <= now_s:
            _, permit_id = self._in_flight.pop(0)
            attempt_report = AttemptReport(
                AttemptOutcome.SUCCESS, _SERVICE_TIME_S, reported_load()
            )
            self._apply(
                self.broker.release_permit(permit_id, attempt_report, now_s),
                now_s,
            )

    def _apply(self, decisions: tuple[Decision, ...], now_s: float) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeRequest):
                self._apply(
                    self.broker.record_probe(
                        decision.backend.backend_id,
                        reported_load(),
                        now_s,
                        is_healthy=True,
                    ),
                    now_s,
                )
            elif isinstance(decision, PermitGrant):
                self.granted_s.append(now_s)
                self._in_flight.append(
                    (now_s + _SERVICE_TIME_S, decision.permit_id)
                )


# Guards against a limit that only one of several brokers keeps, or that a
# broker forgets with its restart.
class LimitHistoryTest(unittest.TestCase):
    def test_limits_are_kept_in_split_views_and_through_restarts(self) -> None:
        attempts = 0
        broken_seeds = []
        for seed in range(_RUNS):
            events = RateLimitSimulation(seed).run()
            attempts += sum(map(len, events.attempts_s.values()))
            if events.exceeds_a_limit():
                broken_seeds.append(seed)
        self.assertFalse(broken_seeds)
        self.assertGreater(attempts, 10 * _RUNS)

    def test_check_detects_limits_that_are_not_passed_on(self) -> None:
        with patch.object(RateLimitTable, 'in_force', return_value={}):
            self.assertTrue(_any_exceeds())

    def test_check_detects_brokers_that_use_the_whole_limit_each(self) -> None:
        with patch(
            'turmericpost_core.grants.rate_pacer.part_per_s',
            side_effect=lambda rate_per_s, _share: max(rate_per_s, 0.25),
        ):
            self.assertTrue(_any_exceeds())


def _any_exceeds() -> bool:
    return any(
        RateLimitSimulation(seed).run().exceeds_a_limit()
        for seed in range(_RUNS)
    )
