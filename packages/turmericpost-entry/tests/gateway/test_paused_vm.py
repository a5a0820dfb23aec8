"""A VM whose process was paused."""

from __future__ import annotations

import unittest

from twisted.internet.testing import MemoryReactorClock

from tests.gateway.node_harness import started_node

_STEP_S = 0.1
_PAUSE_S = 4.0


class PausedVmTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.node = started_node(self.reactor)
        self.broker = self.node.call_path.broker_service.broker
        self._run(5)

    # Guards against a broker that was paused and goes on granting permits, with
    # its whole rate limits, before it has heard what happened meanwhile.
    def test_broker_waits_after_a_pause(self) -> None:
        self.assertFalse(self._is_settling())
        self.assertEqual(self.broker.visible_share, 1)
        self.reactor.rightNow += _PAUSE_S
        self.assertTrue(self._is_settling())
        self._run(0.3)
        self.assertTrue(self._is_settling())
        self.assertEqual(self.broker.visible_share, 0)
        self._run(3)
        self.assertFalse(self._is_settling())
        self.assertEqual(self.broker.visible_share, 1)

    def _is_settling(self) -> bool:
        return self.broker.is_settling(self.reactor.seconds())

    def _run(self, seconds: float) -> None:
        for _ in range(round(seconds / _STEP_S)):
            self.reactor.advance(_STEP_S)


if __name__ == '__main__':
    unittest.main()
