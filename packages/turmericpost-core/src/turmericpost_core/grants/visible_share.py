"""Share of a failure domain's VMs that a broker counts as visible."""

from __future__ import annotations

from collections import deque

RISE_DELAY_S = 1.25
"""Seconds that a larger share must last before it takes effect.

After a network partition each of the brokers still has requests queued. Only
a second later do their rates add up to that of a single broker. A VM that has
just started has no part in force, and records none, until its view has settled.
"""


class VisibleShare:
    """Lowest share recorded within the last ``RISE_DELAY_S`` seconds."""

    def __init__(self) -> None:
        self._recent_shares: deque[tuple[float, float]] = deque()

    def record(self, share: float, now_s: float) -> float:
        """Record the current share; return the one that takes effect."""
        self._recent_shares.append((now_s, share))
        while now_s - self._recent_shares[0][0] > RISE_DELAY_S:
            self._recent_shares.popleft()
        return min(recent_share for _, recent_share in self._recent_shares)
