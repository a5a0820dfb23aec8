"""Creates latency histograms."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_SIGNIFICANT_DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Return an empty latency histogram in microseconds."""
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
