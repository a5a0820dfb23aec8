"""Retry budget over a sliding time window."""

from __future__ import annotations

from collections import deque

from turmericpost_core.grants.limits import RetryLimits

_SAFETY_FACTOR = 0.8


class SlidingRetryBudget:
    """Limits the retries of one pool at its broker.

    A broker that has just started does not know how many retries other VMs
    have granted, so its part of the slack grows from zero over the first
    window.
    """

    def __init__(self, retry_limits: RetryLimits, begun_s: float) -> None:
        self._retry_limits = retry_limits
        self._started_s = begun_s
        self._calls_s: deque[float] = deque()
        self._retries_s: deque[float] = deque()

    def record_call(self, now_s: float) -> None:
        """Count the first attempt of a call."""
        self._calls_s.append(now_s)

    def unrecord_call(self) -> None:
        """Undo the last ``record_call`` because its permit was not used.

        This happens when an entry VM got its permit from another broker
        instead.
        """
        if self._calls_s:
            self._calls_s.pop()

    def try_spend(self, now_s: float, share: float) -> bool:
        """Count a retry if the budget allows it; return whether it does.

        ``share`` is the part of this VM's slack that may be used, 0 to 1.
        """
        self._drop_expired(now_s)
        if len(self._retries_s) + 1 > self._max_retries(now_s, share):
            return False
        self._retries_s.append(now_s)
        return True

    def _max_retries(self, now_s: float, share: float) -> float:
        retry_limits = self._retry_limits
        growth = min((now_s - self._started_s) / retry_limits.window_s, 1)
        slack = retry_limits.slack * retry_limits.slack_share * growth * share
        return _SAFETY_FACTOR * (
            retry_limits.ratio * len(self._calls_s) + slack
        )

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - self._retry_limits.window_s
        for times in (self._calls_s, self._retries_s):
            while times and times[0] < oldest_s:
                times.popleft()
