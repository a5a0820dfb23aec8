"""Short soaks with seeds that have failed; more: ``python -m tests.soak``."""

from __future__ import annotations

import unittest

from tests.soak.soak import SoakSize, run_soak

_SEEDS = (
    # A reload signal ended a process that had just started.
    31,
    # A pool refused calls: no server had reported to be warm for a while.
    121,
    # A process that was paused in a planned stop left requests unread.
    123,
)


class SoakTest(unittest.TestCase):
    # Guards against faults that come in series or at once and make a promise
    # fail: runs at most once, truth of refusals, planned stops that cut off,
    # rate limits, servers and failure domains that were left, recovery. The
    # store also returns from copies, after which VMs kept older configurations.
    def test_promises_hold_under_faults(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed):
                size = SoakSize()
                soak = run_soak(seed, size)
                self.assertEqual(soak.violations, [])
                self.assertEqual(len(soak.drills.returns_s), size.drills)
                self.assertGreater(len(soak.requests), len(soak.callers))


if __name__ == '__main__':
    unittest.main()
