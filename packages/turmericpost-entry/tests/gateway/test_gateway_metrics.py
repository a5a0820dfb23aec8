"""Metrics in the Prometheus format: counters by label, gauges and latency."""

from __future__ import annotations

import unittest

from turmericpost.fleet.store import StoreOperationOutcome
from turmericpost.gateway.gateway_metrics import (
    GatewayCollector,
    GatewayMetrics,
)
from turmericpost_core.fleet.state_lag import StateWay
from turmericpost_core.outcome.reasons import RefusalReason


class GatewayMetricsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = GatewayMetrics()
        self.store_calls: dict[StoreOperationOutcome, int] = {}
        self.collector = GatewayCollector(
            self.metrics,
            lambda: {'vms_heard': 5},
            lambda: self.store_calls,
            {(StateWay.FETCH, 'busy'): 4},
        )

    def lines(self) -> set[str]:
        return set(self.collector.exposition().decode().splitlines())

    def test_store_calls_are_counted_by_operation_and_outcome(self) -> None:
        self.store_calls[
            StoreOperationOutcome('read-backends', 'turned-away')
        ] = 3
        line = (
            'turmericpost_store_calls_total'
            '{operation="read-backends",outcome="turned-away"} 3.0'
        )
        self.assertIn(line, self.lines())

    def test_failures_to_pass_on_state_are_counted_by_way_and_cause(
        self,
    ) -> None:
        line = 'turmericpost_state_failures_total{cause="busy",way="fetch"} 4.0'
        self.assertIn(line, self.lines())

    def test_refusals_are_exported_for_each_reason(self) -> None:
        self.metrics.refusals[RefusalReason.NO_FREE_SLOT] += 2
        lines = self.lines()
        expected_line = 'turmericpost_refusals_total{reason="no-free-slot"} 2.0'
        self.assertIn(expected_line, lines)
        exported = [line for line in lines if 'refusals_total{' in line]
        self.assertEqual(len(exported), len(RefusalReason))

    def test_gauges_are_exported(self) -> None:
        self.assertIn('turmericpost_vms_heard 5.0', self.lines())

    def test_latency_is_exported_as_percentiles(self) -> None:
        for _ in range(100):
            self.metrics.record_response(0.25, 200)
        lines = self.lines()
        self.assertIn('turmericpost_answered_total{status="200"} 100.0', lines)
        prefix = 'turmericpost_call_latency_us{quantile="0.99"} '
        (line,) = [
            candidate for candidate in lines if candidate.startswith(prefix)
        ]
        latency_us = float(line.removeprefix(prefix))
        self.assertAlmostEqual(latency_us, 250_000, delta=2500)
