"""Spreads the attempts on a backend server so that they keep its rate limit."""

from __future__ import annotations

from math import inf

from turmericpost_core.grants.rate_share import BrokerShare, part_per_s

BURST_S = 0.5
"""Seconds of the permitted rate that may be used at once after a pause."""


class RatePacer:
    """Token bucket with the rate of a backend server's limit.

    It is empty when a limit becomes known, since the attempts before that, of
    this broker or of another one, are not counted in it.
    """

    def __init__(self) -> None:
        self.rate_per_s: float | None = None
        self._tokens = float(0)
        self._updated_s = float(0)

    def set_limit(
        self, requests_per_s: float | None, share: BrokerShare, now_s: float
    ) -> None:
        """Set the limit, ``None`` if there is none, and the share to use.

        The rate is 0 if the share allows no use of the server.
        """
        if requests_per_s is None:
            self.rate_per_s = None
            return
        tokens = float(0)
        if self.rate_per_s is not None:
            tokens = self._tokens_at(now_s, self.rate_per_s)
        self.rate_per_s = part_per_s(requests_per_s, share)
        self._tokens = tokens
        self._updated_s = now_s

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until the next attempt may start, 0 if it may."""
        if self.rate_per_s is None:
            return 0
        if not self.rate_per_s:
            return inf
        missing = 1 - self._tokens_at(now_s, self.rate_per_s)
        return max(missing / self.rate_per_s, 0)

    def record_attempt(self, now_s: float) -> None:
        """Count an attempt that starts now."""
        if self.rate_per_s is not None:
            self._tokens = self._tokens_at(now_s, self.rate_per_s) - 1
            self._updated_s = now_s

    def _tokens_at(self, now_s: float, rate_per_s: float) -> float:
        added = rate_per_s * (now_s - self._updated_s)
        return min(self._tokens + added, max(BURST_S * rate_per_s, 1))
