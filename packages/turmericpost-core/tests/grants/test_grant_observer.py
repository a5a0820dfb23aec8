"""What a broker tells its observer of its grants and of cold servers."""

from __future__ import annotations

import unittest

from tests.grants.samples import (
    new_broker,
    new_request,
    probe_backend,
    reported_load,
)
from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.grant_observer import GrantTerms
from turmericpost_core.grants.limits import WARM_REPORT_VALIDITY_S
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    PermitGrant,
)


class RecordingObserver:
    def __init__(self) -> None:
        self.grants: list[tuple[str, int, GrantTerms]] = []
        self.found: list[tuple[str, int, float]] = []

    def permit_granted(
        self,
        grant: PermitGrant,
        server: BackendState,
        terms: GrantTerms,
        now_s: float,
    ) -> None:
        attempts = server.attempts_in_last_s(now_s)
        self.grants.append((grant.permit_id, attempts, terms))

    def found_cold(self, server: BackendState, now_s: float) -> None:
        self.found.append(
            (
                server.backend.backend_id,
                server.attempts_since_warm_report,
                server.warm_report_age_s(now_s),
            )
        )


class GrantObserverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.observer = RecordingObserver()
        self.broker = new_broker(1)
        self.broker.observer = self.observer

    def test_each_grant_is_told_with_the_limits_in_force(self) -> None:
        probe_backend(self.broker, 0, 0)
        self.broker.visible_share = 0.5
        (grant,) = self.broker.request(new_request(1, 0.01), 0.01)
        self.assertEqual(
            self.observer.grants,
            [(grant.permit_id, 1, GrantTerms(True, 0.5, 1.5, 1))],
        )

    def test_attempts_are_counted_for_a_second(self) -> None:
        probe_backend(self.broker, 0, 0)
        (server,) = self.broker.backend_states()
        for attempt_s in (0, 0.4, 0.9):
            server.record_attempt_start(attempt_s)
        self.assertEqual(server.attempts_in_last_s(0.9), 3)
        self.assertEqual(server.attempts_in_last_s(1.3), 2)
        self.assertEqual(server.attempts_in_last_s(3), 0)

    def test_cold_report_of_a_warm_server_is_told_once(self) -> None:
        probe_backend(self.broker, 0, 0)
        (grant,) = self.broker.request(new_request(1, 0.01), 0.01)
        report = AttemptReport(
            AttemptOutcome.SUCCESS, 0.2, reported_load(cold_left_s=9)
        )
        self.broker.release_permit(grant.permit_id, report, 0.21)
        self._probe_cold(0.3)
        self.assertEqual(self.observer.found, [('b0', 1, 0.21)])

    def test_cold_report_is_no_news_without_a_recent_warm_one(self) -> None:
        probe_backend(self.broker, 0, 0)
        self._probe_cold(WARM_REPORT_VALIDITY_S)
        self.assertEqual(self.observer.found, [])

    def test_server_may_be_cold_until_it_reports_to_be_warm(self) -> None:
        (server,) = self.broker.backend_states()
        self.assertTrue(server.may_be_cold(0))
        probe_backend(self.broker, 0, 0)
        self.assertFalse(server.may_be_cold(WARM_REPORT_VALIDITY_S - 0.01))
        self.assertTrue(server.may_be_cold(WARM_REPORT_VALIDITY_S))

    def test_server_that_reports_no_load_is_not_cold(self) -> None:
        self.broker.record_probe('b0', None, 0, is_healthy=True)
        (server,) = self.broker.backend_states()
        self.assertFalse(server.may_be_cold(0))

    def _probe_cold(self, now_s: float) -> None:
        load = reported_load(cold_left_s=9)
        self.broker.record_probe('b0', load, now_s, is_healthy=True)
