"""Latencies and verdicts of a load run, and the report on them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from hdrh.histogram import HdrHistogram

TARGET_ADDED_P99_MS = 0.38

_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1000
_US_PER_S = 1_000_000
_P50 = 50
_P99 = 99


class CallVerdict(Enum):
    """How a call of a load run ended.

    - ``COMPLETE``: complete response with status 200 to this call
    - ``REFUSED``: complete response with another status
    - ``MISMATCHED``: response that belongs to another call
    - ``INCOMPLETE``: no complete response before the connection closed
    - ``LOST``: no response before the timeout
    """

    COMPLETE = 'whole'
    REFUSED = 'refused'
    MISMATCHED = 'mixed'
    INCOMPLETE = 'broken'
    LOST = 'lost'


@dataclass
class LoadResult:
    """Latencies and verdicts of the calls sent to one target.

    ``reasons`` counts refused calls by their refusal reason. Latencies are
    recorded only for complete responses.
    """

    name: str
    verdicts: Counter[CallVerdict] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        ),
    )

    def record(self, verdict: CallVerdict, latency_s: float) -> None:
        """Record the verdict and the latency of one call."""
        self.verdicts[verdict] += 1
        if verdict is CallVerdict.COMPLETE:
            self.latency_us.record_value(int(latency_s * _US_PER_S))

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile in milliseconds."""
        latency_at_percentile_us = self.latency_us.get_value_at_percentile(
            percentile
        )
        return float(latency_at_percentile_us) / _US_PER_MS


def is_clean(load_result: LoadResult) -> bool:
    """Return whether no call was mismatched, incomplete or lost.

    Refused calls are allowed.
    """
    faulty_verdicts = (
        CallVerdict.MISMATCHED,
        CallVerdict.INCOMPLETE,
        CallVerdict.LOST,
    )
    return not any(load_result.verdicts[verdict] for verdict in faulty_verdicts)


def report_lines(via_entry_vm: LoadResult, direct: LoadResult) -> list[str]:
    """Return the lines of the report.

    They list both results, the latency that the entry VM adds at p50 and p99,
    and whether the added latency at p99 meets the target.
    """
    lines = [_result_line(via_entry_vm), _result_line(direct)]
    for percentile in (_P50, _P99):
        added_ms = via_entry_vm.percentile_ms(percentile)
        added_ms -= direct.percentile_ms(percentile)
        lines.append(f'added at p{percentile}: {added_ms:.2f} ms')
    target = _target_verdict(via_entry_vm, direct)
    lines.append(f'target {TARGET_ADDED_P99_MS} ms added at p{_P99}: {target}')
    return lines


def _target_verdict(via_entry_vm: LoadResult, direct: LoadResult) -> str:
    complete_counts = (
        load_result.verdicts[CallVerdict.COMPLETE]
        for load_result in (via_entry_vm, direct)
    )
    if not all(complete_counts):
        return 'not measured'
    added_ms = via_entry_vm.percentile_ms(_P99) - direct.percentile_ms(_P99)
    return 'met' if added_ms <= TARGET_ADDED_P99_MS else 'not met'


def _result_line(load_result: LoadResult) -> str:
    counts = ' '.join(
        f'{verdict.value}={load_result.verdicts[verdict]}'
        for verdict in CallVerdict
    )
    p50_ms = load_result.percentile_ms(_P50)
    p99_ms = load_result.percentile_ms(_P99)
    parts = [
        f'{load_result.name}:',
        counts,
        f'p50={p50_ms:.2f} ms p99={p99_ms:.2f} ms',
    ]
    if load_result.reasons:
        parts.append(f'reasons={dict(load_result.reasons)}')
    return ' '.join(parts)
