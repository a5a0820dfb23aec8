"""Bound on log lines of one kind; what is left out is counted."""

from __future__ import annotations

from turmericpost_core.clock import Clock


class LineRateLimiter:
    """Allows a number of lines in each second."""

    def __init__(self, clock: Clock, lines_per_s: int) -> None:
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._second = 0
        self._used = 0
        self._left_out = 0

    def allow_line(self) -> bool:
        """Count a line; return whether it may be written."""
        second = int(self._clock.monotonic_s())
        if second != self._second:
            self._second = second
            self._used = 0
        self._used += 1
        if self._used <= self._lines_per_s:
            return True
        self._left_out += 1
        return False

    def pop_dropped_count(self) -> int:
        """Return how many lines were left out since the last look."""
        dropped = self._left_out
        self._left_out = 0
        return dropped
