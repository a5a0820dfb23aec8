"""Configurations are in force in time although one way is broken for good.

The last tests break the product code on purpose to show that the check can
fail.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from unittest.mock import patch

from tests.fleet.broken_way_history import (
    BrokenWaySimulation,
    Scope,
    Way,
)
from turmericpost_core.membership.catch_up import CatchUp

RUNS = 80
BROKEN_RUNS = 5


def _cases() -> Iterator[tuple[Way, Scope]]:
    """Yield each way with each scope; not all reads, which leave no way."""
    for way in Way:
        for scope in Scope:
            if way is not Way.READ or scope is Scope.ONE:
                yield way, scope


class BrokenWayTest(unittest.TestCase):
    # Guards against VMs that stay behind for good, since the one way on which
    # they wait for newer state is the one that is broken.
    def test_versions_are_in_force_in_time(self) -> None:
        for way, scope in _cases():
            checked = 0
            for seed in range(RUNS):
                history = BrokenWaySimulation(seed, way, scope).run()
                checked += history.checked
                self.assertEqual(history.late, [], (seed, way, scope))
            self.assertGreater(checked, RUNS)

    def test_check_detects_vms_that_never_read_for_themselves(self) -> None:
        with patch.object(CatchUp, 'must_read', return_value=False):
            late = [
                BrokenWaySimulation(seed, Way.HAND_ON, Scope.ALL).run().late
                for seed in range(BROKEN_RUNS)
            ]
        self.assertTrue(any(late))


if __name__ == '__main__':
    unittest.main()
