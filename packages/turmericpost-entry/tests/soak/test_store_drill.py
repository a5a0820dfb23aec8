"""Drills of the store by processes: it returns from a copy some seconds old."""

from __future__ import annotations

import unittest

from tests.soak.drill_findings import Findings
from tests.soak.drill_forms import Play
from tests.soak.store_drill import play_drill

_OK = 200
_MIN_SERVED_SHARE = 0.95
_PLAYS = (Play('c', seed=1, vms=6), Play('f', seed=2, vms=6))


class StoreDrillTest(unittest.TestCase):
    # Guards against confirmed routes that get 404, versions that go back, and
    # requests to servers that left, after the store gave offsets out again.
    def test_what_was_confirmed_holds_after_a_drill(self) -> None:
        for play in _PLAYS:
            with self.subTest(play):
                findings = play_drill(play)
                self.assertEqual(findings.violations(), [])
                self._check_that_calls_were_served(play, findings)

    def _check_that_calls_were_served(
        self, play: Play, findings: Findings
    ) -> None:
        due = findings.due_counts()
        self.assertEqual(len(findings.vms_serving()), play.vms)
        self.assertGreaterEqual(due[_OK], _MIN_SERVED_SHARE * due.total())
        for use in findings.uses:
            self.assertTrue(use.begun_s, use)


if __name__ == '__main__':
    unittest.main()
