"""Metrics of an entry VM: counters, gauges and call latency."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from turmericpost.fleet.store import StoreOperationOutcome
from turmericpost.observe.histogram import new_histogram
from turmericpost_core.fleet.state_lag import StateWay
from turmericpost_core.grants.permits import DenialReason
from turmericpost_core.outcome.reasons import RefusalReason

_US_PER_S = 1_000_000
_PERCENTILES = (50, 90, 99, 99.9)
_PERCENT = 100
_COLD_PERMIT_KINDS = (
    'lead',
    'no-lead',
    'other-domain-lead',
    'other-domain-no-lead',
)


class GatewayMetrics:
    """Counters and the latency histogram since the start of the process."""

    def __init__(self) -> None:
        self.calls_started = 0
        self.responses: Counter[int] = Counter()
        self.refusals: Counter[RefusalReason] = Counter()
        self.failed_attempts: Counter[str] = Counter()
        self.latency_us = new_histogram()
        self.cold_permits: Counter[str] = Counter()
        self.max_cold_permits_in_s = 0
        self.servers_found_cold = 0
        self.permit_denials: Counter[DenialReason] = Counter()

    def record_response(self, latency_s: float, status: int) -> None:
        """Count a call with a response of a backend server, and its latency."""
        self.responses[status] += 1
        self.latency_us.record_value(max(int(latency_s * _US_PER_S), 1))


class GatewayCollector:
    """Prometheus collector of the metrics of an entry VM."""

    def __init__(
        self,
        metrics: GatewayMetrics,
        gauges: Callable[[], Mapping[str, float]],
        store_calls: Callable[[], Mapping[StoreOperationOutcome, int]],
        state_failures: Mapping[tuple[StateWay, str], int],
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges
        self._store_calls = store_calls
        self._state_failures = state_failures

    def collect(self) -> Iterator[Metric]:
        """Yield every metric family."""
        metrics = self._metrics
        yield CounterMetricFamily(
            'turmericpost_calls',
            'Calls that arrived.',
            value=metrics.calls_started,
        )
        yield _by_label(
            'answered',
            'status',
            {
                str(label_value): count
                for label_value, count in metrics.responses.items()
            },
        )
        yield _by_label(
            'refusals',
            'reason',
            {
                label_value.value: metrics.refusals[label_value]
                for label_value in RefusalReason
            },
        )
        yield _by_label('sends_failed', 'cause', metrics.failed_attempts)
        yield self._store_call_counts()
        yield from self._failure_and_cold_counts()
        yield self._call_latency()
        for name, number in self._gauges().items():
            yield GaugeMetricFamily(
                f'turmericpost_{name}',
                name.replace('_', ' '),
                value=number,
            )

    def exposition(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def _failure_and_cold_counts(self) -> Iterator[Metric]:
        yield self._state_failure_counts()
        yield _by_label(
            'cold_permits',
            'by',
            {
                kind: self._metrics.cold_permits[kind]
                for kind in _COLD_PERMIT_KINDS
            },
        )
        yield _by_label(
            'permit_denials',
            'reason',
            {
                reason.value: self._metrics.permit_denials[reason]
                for reason in DenialReason
            },
        )
        yield CounterMetricFamily(
            'turmericpost_servers_found_cold',
            'Servers believed to be warm that reported to be cold.',
            value=self._metrics.servers_found_cold,
        )

    def _store_call_counts(self) -> Metric:
        family = CounterMetricFamily(
            'turmericpost_store_calls',
            'Calls of the store.',
            labels=['operation', 'outcome'],
        )
        for counted, count in self._store_calls().items():
            family.add_metric([counted.operation, counted.outcome], count)
        return family

    def _state_failure_counts(self) -> Metric:
        family = CounterMetricFamily(
            'turmericpost_state_failures',
            'Failures to pass on state between VMs.',
            labels=['way', 'cause'],
        )
        for (way, cause), count in self._state_failures.items():
            family.add_metric([way.value, cause], count)
        return family

    def _call_latency(self) -> Metric:
        gauge = GaugeMetricFamily(
            'turmericpost_call_latency_us',
            'Latency of answered calls in microseconds.',
            labels=['quantile'],
        )
        for percentile in _PERCENTILES:
            gauge.add_metric(
                [str(percentile / _PERCENT)],
                self._metrics.latency_us.get_value_at_percentile(percentile),
            )
        return gauge


def _by_label(
    name: str,
    label: str,
    counts: Mapping[str, int],
) -> CounterMetricFamily:
    family = CounterMetricFamily(
        f'turmericpost_{name}',
        name.replace('_', ' '),
        labels=[label],
    )
    for key, count in counts.items():
        family.add_metric([key], count)
    return family
