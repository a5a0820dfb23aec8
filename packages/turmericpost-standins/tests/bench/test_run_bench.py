"""Bench bounds from the stated targets, as ratios of the same run."""

from __future__ import annotations

import unittest

from turmericpost_standins.bench.run_bench import (
    IDEAL,
    OWNERS,
    POWER_OF_TWO,
    BenchResult,
    run_policy,
)
from turmericpost_standins.bench.workload import Workload

P99_OVER_IDEAL = 1.1
P999_OVER_IDEAL = 1.2
P999_OVER_POWER_OF_TWO = 0.4

_P99 = 99
_P999 = 99.9


class BenchTest(unittest.TestCase):
    def test_tails_at_85_percent_with_a_straggler(self) -> None:
        workload = Workload(calls=100_000)
        ideal = run_policy(IDEAL, workload)
        two = run_policy(POWER_OF_TWO, workload)
        own = run_policy(OWNERS, workload)
        self._assert_below(own, ideal, _P99, P99_OVER_IDEAL)
        self._assert_below(own, ideal, _P999, P999_OVER_IDEAL)
        self._assert_below(own, two, _P999, P999_OVER_POWER_OF_TWO)

    def test_no_back_end_gets_more_than_its_slots(self) -> None:
        workload = Workload(calls=20_000, load=0.95, seed=5)
        own = run_policy(OWNERS, workload)
        self.assertEqual(own.most_in_flight, workload.slots)
        self.assertEqual(own.latency_us.get_total_count(), 19_000)

    def _assert_below(
        self,
        own: BenchResult,
        other: BenchResult,
        percentile: float,
        ratio: float,
    ) -> None:
        bound_ms = ratio * other.percentile_ms(percentile)
        self.assertLessEqual(own.percentile_ms(percentile), bound_ms)


if __name__ == '__main__':
    unittest.main()
