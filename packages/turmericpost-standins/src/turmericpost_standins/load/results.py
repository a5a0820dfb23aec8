"""Results of a load run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from hdrh.histogram import HdrHistogram

TARGET_ADDED_MS = 0.38

_HIGHEST_US = 60_000_000
_DIGITS = 3
_US_PER_MS = 1000
_US_PER_S = 1_000_000
_MEDIAN = 50
_TAIL = 99


class CallVerdict(Enum):
    """What became of one call of a load run."""

    WHOLE = 'whole'
    REFUSED = 'refused'
    MIXED = 'mixed'
    BROKEN = 'broken'
    LOST = 'lost'


@dataclass
class PathResult:
    """Latencies and verdicts of the calls that took one way."""

    name: str
    verdicts: Counter[CallVerdict] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _HIGHEST_US, _DIGITS),
    )

    def record(self, verdict: CallVerdict, latency_s: float) -> None:
        """Count one call."""
        self.verdicts[verdict] += 1
        if verdict is CallVerdict.WHOLE:
            self.latency_us.record_value(int(latency_s * _US_PER_S))

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile in milliseconds."""
        found_us = self.latency_us.get_value_at_percentile(percentile)
        return float(found_us) / _US_PER_MS


def is_clean(path: PathResult) -> bool:
    """Return whether no answer was mixed up, broken or lost."""
    bad = (CallVerdict.MIXED, CallVerdict.BROKEN, CallVerdict.LOST)
    return not any(path.verdicts[verdict] for verdict in bad)


def report_lines(through: PathResult, direct: PathResult) -> list[str]:
    """Return the table that a person reads."""
    lines = [_row(through), _row(direct)]
    for percentile in (_MEDIAN, _TAIL):
        added_ms = through.percentile_ms(percentile)
        added_ms -= direct.percentile_ms(percentile)
        lines.append(f'added at p{percentile}: {added_ms:.2f} ms')
    target = _target_verdict(through, direct)
    lines.append(f'target {TARGET_ADDED_MS} ms added at p{_TAIL}: {target}')
    return lines


def _target_verdict(through: PathResult, direct: PathResult) -> str:
    wholes = (one.verdicts[CallVerdict.WHOLE] for one in (through, direct))
    if not all(wholes):
        return 'not measured'
    added_ms = through.percentile_ms(_TAIL) - direct.percentile_ms(_TAIL)
    return 'met' if added_ms <= TARGET_ADDED_MS else 'not met'


def _row(path: PathResult) -> str:
    counts = ' '.join(
        f'{verdict.value}={path.verdicts[verdict]}' for verdict in CallVerdict
    )
    median = path.percentile_ms(_MEDIAN)
    tail = path.percentile_ms(_TAIL)
    parts = [f'{path.name}:', counts, f'p50={median:.2f} ms p99={tail:.2f} ms']
    if path.reasons:
        parts.append(f'reasons={dict(path.reasons)}')
    return ' '.join(parts)
