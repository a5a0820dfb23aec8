"""Counters and latency histograms of one entry process."""

from __future__ import annotations

from collections import Counter

from turmericpost.forward.relays import RelayKind
from turmericpost.observe.histogram import new_histogram
from turmericpost_core.outcome.reasons import RefusalReason, RetryReason

_US_PER_S = 1_000_000


class Metrics:
    """Counts since the start of the process; latencies in microseconds."""

    def __init__(self) -> None:
        self.refusals = Counter({reason: 0 for reason in RefusalReason})
        self.retries = Counter({reason: 0 for reason in RetryReason})
        self.relays = Counter({kind.value: 0 for kind in RelayKind})
        self.calls_begun = 0
        self.calls_answered = 0
        self.duplicates_answered = 0
        self.peer_bytes_sent = 0
        self.peer_bytes_received = 0
        self.platform_bytes = 0
        self.probes_sent = 0
        self.call_latency_us = new_histogram()
        self.backend_latency_us = new_histogram()

    def count_platform_bytes(self, count: int) -> None:
        """Count bytes to and from the platform."""
        self.platform_bytes += count

    def record_call(self, latency_s: float) -> None:
        """Count a call whose response was sent completely."""
        self.calls_answered += 1
        self.call_latency_us.record_value(int(latency_s * _US_PER_S))

    def record_attempt(self, latency_s: float) -> None:
        """Record the latency of an attempt that got a response."""
        self.backend_latency_us.record_value(int(latency_s * _US_PER_S))

    @property
    def calls_in_flight(self) -> int:
        """Number of calls that have begun and not yet ended."""
        ended = self.calls_answered + self.duplicates_answered
        ended += self.refusals.total()
        return self.calls_begun - ended
