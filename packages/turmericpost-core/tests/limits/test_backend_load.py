"""Tests of the limits of a cold, failing or draining backend server."""

from __future__ import annotations

import unittest

from turmericpost_core.config.document import Service
from turmericpost_core.limits.backend_load import (
    FIRST_BACKOFF_S,
    WARM_SUCCESSES,
    AttemptResult,
    BackendLoad,
    LoadReport,
    ReportedState,
)


def _report(state: ReportedState, incarnation: int = 1) -> LoadReport:
    return LoadReport(3, 0, state, incarnation)


def _warm() -> BackendLoad:
    load = BackendLoad(Service('pressroom', slots=3))
    load.record_report(_report(ReportedState.WARM), 0)
    for _ in range(WARM_SUCCESSES):
        load.start()
        load.finish(AttemptResult.SUCCESS, 0.01, 0)
    return load


class BackendLoadTest(unittest.TestCase):
    def test_a_server_without_a_report_counts_as_cold(self) -> None:
        load = BackendLoad(Service('pressroom', slots=3))
        self.assertEqual(load.limit, 1)
        load.start()
        self.assertFalse(load.has_room(0))

    def test_a_warm_server_may_use_all_its_slots(self) -> None:
        self.assertEqual(_warm().limit, 3)

    def test_a_new_incarnation_is_cold_even_if_it_reports_warm(self) -> None:
        load = _warm()
        load.record_report(_report(ReportedState.WARM, 2), 1)
        self.assertEqual(load.limit, 1)

    def test_backoff_of_a_failing_server_doubles(self) -> None:
        load = _warm()
        load.start()
        load.finish(AttemptResult.FAILURE, 0, 10)
        self.assertFalse(load.has_room(10 + FIRST_BACKOFF_S / 2))
        self.assertTrue(load.has_room(10 + FIRST_BACKOFF_S))
        self.assertEqual(load.limit, 1)
        load.start()
        load.finish(AttemptResult.FAILURE, 0, 11)
        self.assertFalse(load.has_room(11 + FIRST_BACKOFF_S))
        self.assertTrue(load.has_room(11 + 2 * FIRST_BACKOFF_S))

    def test_a_draining_server_gets_no_calls(self) -> None:
        load = _warm()
        load.record_report(_report(ReportedState.DRAINING), 1)
        self.assertFalse(load.has_room(2))


if __name__ == '__main__':
    unittest.main()
