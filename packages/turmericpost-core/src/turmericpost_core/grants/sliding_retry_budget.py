"""Budget of calls sent again, over a sliding window."""

from __future__ import annotations

from collections import deque

from turmericpost_core.grants.limits import RetryLimits

_SAFETY = 0.8


class SlidingRetryBudget:
    """Counts first sends and repeats of one service at one VM.

    A VM that has just begun knows nothing of what others spent: its part of
    the slack grows from nothing over the first window.
    """

    def __init__(self, bounds: RetryLimits, begun_s: float) -> None:
        self._bounds = bounds
        self._begun_s = begun_s
        self._calls_s: deque[float] = deque()
        self._repeats_s: deque[float] = deque()

    def record_call(self, now_s: float) -> None:
        """Count a first send."""
        self._calls_s.append(now_s)

    def unrecord_call(self) -> None:
        """Take back the last first send: its permit was not used.

        A caller that turned to another broker sends its call there.
        """
        if self._calls_s:
            self._calls_s.pop()

    def take(self, now_s: float, share: float) -> bool:
        """Count a repeat if it is within this VM's share of the budget."""
        self._forget(now_s)
        if len(self._repeats_s) + 1 > self._allowed(now_s, share):
            return False
        self._repeats_s.append(now_s)
        return True

    def _allowed(self, now_s: float, share: float) -> float:
        bounds = self._bounds
        grown = min((now_s - self._begun_s) / bounds.window_s, 1)
        slack = bounds.slack * bounds.slack_share * grown * share
        return _SAFETY * (bounds.ratio * len(self._calls_s) + slack)

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._bounds.window_s
        for times in (self._calls_s, self._repeats_s):
            while times and times[0] < oldest_s:
                times.popleft()
