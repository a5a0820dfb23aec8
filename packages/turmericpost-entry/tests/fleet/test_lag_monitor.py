"""A VM that is behind says so, and says why."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest.mock import patch

from twisted.internet.task import Clock

from tests.fleet.test_update_stream import large_state
from tests.harness import FakeClock
from turmericpost.fleet.lag_monitor import CALM_S, LagMonitor
from turmericpost.fleet.messages import StateVersion
from turmericpost.observe.events import LogEvent
from turmericpost_core.fleet.state import FleetState, KnownVersions
from turmericpost_core.fleet.state_lag import (
    BUSY,
    MISMATCH,
    StatePart,
    StateWay,
)
from turmericpost_core.fleet.store_position import START, StorePosition

REPORT_AFTER_S = 0.4


class LagMonitorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = Clock()
        self.state = FleetState()
        self.monitor = LagMonitor(
            FakeClock(self.reactor),
            self.state,
            REPORT_AFTER_S,
            lambda _now_s: None,
        )
        self.newer = large_state()
        logging = patch('turmericpost.fleet.lag_monitor.log_event')
        self.logged = logging.start()
        self.addCleanup(logging.stop)

    def _hear(self) -> None:
        versions = self.newer.versions
        assert versions.backends is not None
        self.monitor.version_stated(
            'vm1',
            StateVersion(0, versions.operator_offset, versions.backends, START),
        )

    # Guards against two VMs with different configurations of which each counts
    # as up to date, while no line tells so.
    def test_other_configuration_at_the_same_position_is_logged(self) -> None:
        self.state.apply_update(self.newer.update_since(KnownVersions()))
        update = self.newer.update_since(self.state.versions)
        self.monitor.update_received(StateWay.PUSH, 'vm1', update)
        self.logged.assert_not_called()
        version = (update.config_version or 0) + 1
        other = replace(update, config_version=version)
        for _ in range(2):
            self.monitor.update_received(StateWay.PUSH, 'vm1', other)
        self.logged.assert_called_once()
        self.assertIs(self.logged.call_args.args[0], LogEvent.UPDATE_CONFLICTS)
        fields = self.logged.call_args.kwargs
        self.assertEqual(fields['stated_config'], version)

    # Guards against a VM that is behind for good while no line and no gauge
    # tells so.
    def test_lag_is_logged_once_with_the_failures(self) -> None:
        self._hear()
        self.monitor.failed(StateWay.FETCH, 'incomplete')
        self.logged.reset_mock()
        self.monitor.report()
        self.logged.assert_not_called()
        self._report_late()
        self._report_late()
        events = [call.args[0] for call in self.logged.call_args_list]
        self.assertEqual(events, [LogEvent.STATE_BEHIND] * 2)
        fields = self.logged.call_args_list[0].kwargs
        self.assertEqual(
            (fields['part'], fields['stated_by'], fields['failures']),
            ('operator', 'vm1', {'fetch incomplete': 1}),
        )

    def test_end_of_a_lag_is_logged_with_the_source(self) -> None:
        self._hear()
        self._report_late()
        self.state.apply_update(self.newer.update_since(KnownVersions()))
        self.monitor.state_changed('vm2')
        self.monitor.report()
        self.assertNotEqual(
            self.logged.call_args.args, (LogEvent.STATE_CAUGHT_UP,)
        )
        self.reactor.advance(CALM_S)
        self._report_late()
        last = self.logged.call_args
        self.assertEqual(last.args, (LogEvent.STATE_CAUGHT_UP,))
        self.assertEqual(last.kwargs['source'], 'vm2')

    # Guards against a VM that counts as behind although it has read the last
    # record, which changed nothing.
    def test_record_that_changes_nothing_ends_a_lag(self) -> None:
        stated = StateVersion(0, StorePosition(1), (0, 0), START)
        self.monitor.version_stated('vm1', stated)
        self.state.apply_operator_records((), StorePosition(1))
        self.monitor.version_stated('vm1', stated)
        self.assertIsNone(self.monitor.lag.part(StatePart.OPERATOR).newest)

    # Guards against a line for each of thousands of failed fetches.
    def test_failure_is_logged_once_and_counted(self) -> None:
        for _ in range(100):
            self.monitor.failed(StateWay.FETCH, 'incomplete', vm='vm1')
            self.monitor.failed(StateWay.FETCH, BUSY, vm='vm1')
        self.monitor.failed(StateWay.FETCH, MISMATCH, vm='vm1')
        events = [call.args[0] for call in self.logged.call_args_list]
        self.assertEqual(
            events, [LogEvent.UPDATE_FAILED, LogEvent.UPDATE_DIFFERS]
        )
        self.assertEqual(self.monitor.lag.failures.total(), 201)

    def _report_late(self) -> None:
        self.reactor.advance(REPORT_AFTER_S + 0.1)
        self.monitor.report()

    def test_gauges_tell_how_long_and_how_far(self) -> None:
        self._hear()
        self.reactor.advance(3)
        gauges = dict(self.monitor.gauges())
        self.assertEqual(gauges['operator_behind_s'], 3)
        self.assertEqual(gauges['operator_behind_records'], 1)
        self.assertEqual(gauges['registry_behind_records'], 400)
        self.monitor.store_read(StatePart.OPERATOR, self.reactor.seconds())
        self.assertEqual(dict(self.monitor.gauges())['operator_behind_s'], 0)


if __name__ == '__main__':
    unittest.main()
