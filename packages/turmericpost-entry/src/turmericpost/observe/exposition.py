"""Exports metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from turmericpost.observe.metrics import Metrics

_PERCENTILES = (50, 90, 99, 99.9)
_PERCENT = 100


class MetricsCollector(Collector):
    """Prometheus collector that reads the counters of a process."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[Metric]:
        """Yield every metric."""
        yield from self._counters_by_reason()
        yield from self._counters_and_gauges()
        yield from self._latency_percentiles()

    def _counters_by_reason(self) -> Iterator[Metric]:
        refusals = CounterMetricFamily(
            'turmericpost_refusals',
            'Calls refused, by reason.',
            labels=['reason'],
        )
        for refusal, refusal_count in self._metrics.refusals.items():
            refusals.add_metric([refusal.value], refusal_count)
        yield refusals
        retries = CounterMetricFamily(
            'turmericpost_retries',
            'Calls sent again, by reason.',
            labels=['reason'],
        )
        for reason, retry_count in self._metrics.retries.items():
            retries.add_metric([reason.value], retry_count)
        yield retries
        relays = CounterMetricFamily(
            'turmericpost_relays',
            'Calls sent to another entry VM, by kind.',
            labels=['kind'],
        )
        for kind, relay_count in self._metrics.relays.items():
            relays.add_metric([kind], relay_count)
        yield relays

    def _counters_and_gauges(self) -> Iterator[Metric]:
        metrics = self._metrics
        totals = {
            'calls_begun': metrics.calls_begun,
            'calls_answered': metrics.calls_answered,
            'duplicates_answered': metrics.duplicates_answered,
            'measuring_probes': metrics.probes_sent,
            'peer_sent_bytes': metrics.peer_bytes_sent,
            'peer_received_bytes': metrics.peer_bytes_received,
            'platform_bytes': metrics.platform_bytes,
        }
        for name, total in totals.items():
            yield CounterMetricFamily(
                f'turmericpost_{name}',
                f'{name.replace("_", " ")} since the start.',
                value=total,
            )
        yield GaugeMetricFamily(
            'turmericpost_calls_in_flight',
            'Calls begun and not yet ended.',
            value=metrics.calls_in_flight,
        )

    def _latency_percentiles(self) -> Iterator[Metric]:
        histograms = {
            'call_latency': self._metrics.call_latency_us,
            'backend_latency': self._metrics.backend_latency_us,
        }
        for name, histogram in histograms.items():
            gauge = GaugeMetricFamily(
                f'turmericpost_{name}_us',
                'Latency percentiles in microseconds.',
                labels=['quantile'],
            )
            for percentile in _PERCENTILES:
                gauge.add_metric(
                    [str(percentile / _PERCENT)],
                    histogram.get_value_at_percentile(percentile),
                )
            yield gauge


def exposition(metrics: Metrics) -> bytes:
    """Return the metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)
