"""Calls served within their latency objective during overload.

The workloads are those of the busiest days of the first deployments: short
and long service times, with a quarter to a third of the machines slow at any
moment.
"""

from __future__ import annotations

import unittest
from unittest.mock import patch

from tests.grants.overload import CallCounts, OverloadSimulation, Workload

SEEDS = 4
MIN_SHARE_OF_IDEAL = 0.9
"""Minimum share of the calls that an ideal queue would serve in time.

The slots of the ideal queue are never idle or slow.
"""

# Servers, service time, latency objective and deadline in seconds.
BOOKINGS = (4, 0.12, 0.3, 1)
LOOKUPS = (5, 0.09, 0.25, 0.8)
ORDERS = (4, 0.29, 0.8, 1.5)
VERSES = (7, 0.55, 1.5, 3)
# Share of the servers that are slow at any moment.
THIRD_SLOW = 0.35
QUARTER_SLOW = 0.25
WORKLOADS = (
    (BOOKINGS, THIRD_SLOW),
    (LOOKUPS, THIRD_SLOW),
    (ORDERS, QUARTER_SLOW),
    (VERSES, QUARTER_SLOW),
)


def run(
    workload_args: tuple[float, ...], offered_load: float, slow_share: float
) -> CallCounts:
    workload = Workload(*workload_args, offered_load, slow_share)
    total = CallCounts()
    for seed in range(SEEDS):
        counts = OverloadSimulation(workload, seed).run()
        total.in_time += counts.in_time
        total.late += counts.late
        total.refused += counts.refused
    return total


class OverloadTest(unittest.TestCase):
    def test_calls_within_capacity_are_served_in_time(self) -> None:
        """Load pattern: a burst on servers whose speed keeps changing."""
        for offered_load in (0.9, 1.25, 1.6):
            for workload_args, slow_share in WORKLOADS:
                with self.subTest(
                    workload_args=workload_args, offered_load=offered_load
                ):
                    self._assert_near_ideal(
                        workload_args, offered_load, slow_share
                    )

    def test_slow_pool_still_serves_its_calls(self) -> None:
        """Load pattern: every machine of a service is four times slower."""
        counts = run(VERSES, 0.7, 1)
        served = counts.in_time + counts.late
        self.assertGreater(served, MIN_SHARE_OF_IDEAL * counts.calls)

    def test_check_detects_slots_wasted_on_slow_servers(self) -> None:
        patched_method = (
            'turmericpost_core.grants.backend_state.'
            'BackendState.was_recently_fast'
        )
        with patch(patched_method, return_value=False):
            counts = run(VERSES, 1.25, QUARTER_SLOW)
        ideal = counts.calls / 1.25
        self.assertLess(counts.in_time, MIN_SHARE_OF_IDEAL * ideal)

    def _assert_near_ideal(
        self,
        workload_args: tuple[float, ...],
        offered_load: float,
        slow_share: float,
    ) -> None:
        counts = run(workload_args, offered_load, slow_share)
        ideal = counts.calls / max(offered_load, 1)
        self.assertGreater(counts.in_time, MIN_SHARE_OF_IDEAL * ideal, counts)
