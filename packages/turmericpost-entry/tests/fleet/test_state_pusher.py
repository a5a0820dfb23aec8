"""Pushes of changed state to the other VMs of the failure domain."""

from __future__ import annotations

import unittest
from unittest.mock import Mock, patch

from twisted.internet.task import Clock

from tests.fleet.test_state_sync import vm
from tests.fleet.test_update_stream import large_state
from tests.harness import FakeClock
from turmericpost.fleet.lag_monitor import LagMonitor
from turmericpost.fleet.state_pusher import StatePusher
from turmericpost_core.fleet.state_lag import StateWay
from turmericpost_core.membership.domain_view import DomainView

_MODULE = 'turmericpost.fleet.state_pusher'


class StatePusherTest(unittest.TestCase):
    def setUp(self) -> None:
        state = large_state()
        self.view = DomainView(vm('own'))
        self.view.add_known_vms((vm('near'),), 0)
        self.peers = Mock(view=self.view)
        self.monitor = LagMonitor(
            FakeClock(Clock()), state, 1, lambda _now_s: None
        )
        self.pusher = StatePusher(state, self.peers, self.monitor)

    def test_changes_of_the_own_domain_are_not_pushed_on(self) -> None:
        self.pusher.push('near')
        self.peers.push.assert_not_called()
        self.pusher.push('registry')
        self.peers.push.assert_called_once()

    # Guards against an exception that ends the read of the store that led to
    # the push, and keeps the others from hearing of the new versions.
    def test_failed_push_ends_here_and_heartbeats_are_sent(self) -> None:
        with (
            patch(f'{_MODULE}.encode_update', side_effect=RuntimeError('test')),
            patch(f'{_MODULE}.log_failure') as logged,
        ):
            self.pusher.push('operator')
        logged.assert_called_once()
        self.peers.send_heartbeats.assert_called_once()
        failures = self.monitor.lag.failures
        self.assertEqual(failures[StateWay.SEND_PUSH, 'exception'], 1)


if __name__ == '__main__':
    unittest.main()
