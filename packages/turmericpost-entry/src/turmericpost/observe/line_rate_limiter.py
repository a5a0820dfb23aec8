"""Rate limit for log lines of one kind; dropped lines are counted."""

from __future__ import annotations

from turmericpost_core.clock import Clock


class LineRateLimiter:
    """Allows up to ``lines_per_s`` lines in each second."""

    def __init__(self, clock: Clock, lines_per_s: int) -> None:
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._current_second = 0
        self._lines_in_second = 0
        self._dropped = 0

    def allow_line(self) -> bool:
        """Count a line and return whether it may be written."""
        second = int(self._clock.monotonic_s())
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second <= self._lines_per_s:
            return True
        self._dropped += 1
        return False

    def pop_dropped_count(self) -> int:
        """Return and reset the number of dropped lines."""
        dropped = self._dropped
        self._dropped = 0
        return dropped
