"""Detection of pauses of the process."""

from __future__ import annotations

import unittest

from turmericpost_core.membership.pause_tracker import (
    MAX_GAP_S,
    SETTLING_S,
    PauseTracker,
)

_TICK_S = 0.25
_PAUSE_S = 3.0


class PauseTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = PauseTracker(0)

    def test_running_process_is_not_settling(self) -> None:
        for number in range(1, 20):
            now_s = number * _TICK_S
            self.assertFalse(self.tracker.is_settling(now_s))
            self.assertIsNone(self.tracker.tick(now_s))

    def test_late_tick_is_no_pause(self) -> None:
        self.assertIsNone(self.tracker.tick(MAX_GAP_S))
        self.assertFalse(self.tracker.is_settling(MAX_GAP_S))

    def test_pause_is_noticed_before_the_first_tick(self) -> None:
        self.assertTrue(self.tracker.is_settling(_PAUSE_S))

    def test_process_settles_some_time_after_a_pause(self) -> None:
        self.assertEqual(self.tracker.tick(_PAUSE_S), _PAUSE_S)
        self.assertTrue(self.tracker.is_settling(_PAUSE_S + SETTLING_S / 2))
        self.tracker.tick(_PAUSE_S + SETTLING_S)
        self.assertFalse(self.tracker.is_settling(_PAUSE_S + SETTLING_S))


if __name__ == '__main__':
    unittest.main()
