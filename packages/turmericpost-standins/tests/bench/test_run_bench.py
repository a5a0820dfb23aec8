"""Checks the latency targets of the product's policy in the benchmark.

The targets are ratios to the latency of other policies on the same workload.
"""

from __future__ import annotations

import unittest

from turmericpost_standins.bench.run_bench import (
    CENTRAL_QUEUE,
    OWNERS,
    POWER_OF_TWO,
    BenchResult,
    run_policy,
)
from turmericpost_standins.bench.workload import Workload

MAX_P99_RATIO_TO_CENTRAL_QUEUE = 1.1
MAX_P999_RATIO_TO_CENTRAL_QUEUE = 1.2
MAX_P999_RATIO_TO_POWER_OF_TWO = 0.4

_P99 = 99
_P999 = 99.9


class RunBenchTest(unittest.TestCase):
    def test_tail_latency_at_85_percent_load_with_a_straggler(self) -> None:
        workload = Workload(calls=100_000)
        central_queue = run_policy(CENTRAL_QUEUE, workload)
        power_of_two = run_policy(POWER_OF_TWO, workload)
        owners = run_policy(OWNERS, workload)
        self._assert_below(
            owners, central_queue, _P99, MAX_P99_RATIO_TO_CENTRAL_QUEUE
        )
        self._assert_below(
            owners, central_queue, _P999, MAX_P999_RATIO_TO_CENTRAL_QUEUE
        )
        self._assert_below(
            owners, power_of_two, _P999, MAX_P999_RATIO_TO_POWER_OF_TWO
        )

    def test_in_flight_never_exceeds_slots_of_a_backend(self) -> None:
        workload = Workload(calls=20_000, load=0.95, seed=5)
        owners = run_policy(OWNERS, workload)
        self.assertEqual(owners.most_in_flight, workload.slots)
        self.assertEqual(owners.latency_us.get_total_count(), 19_000)

    def _assert_below(
        self,
        owners: BenchResult,
        other: BenchResult,
        percentile: float,
        max_ratio: float,
    ) -> None:
        bound_ms = max_ratio * other.percentile_ms(percentile)
        self.assertLessEqual(owners.percentile_ms(percentile), bound_ms)


if __name__ == '__main__':
    unittest.main()
