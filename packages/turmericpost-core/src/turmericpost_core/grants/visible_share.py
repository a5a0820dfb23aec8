"""Share of a domain that a broker may act for, slow to rise."""

from __future__ import annotations

from collections import deque

RISE_S = 1.25
"""Time that a larger share must hold before it counts.

When the parts of a split view find each other, each broker still has calls
waiting; a second later the pace of all of them together is that of one.
"""


class VisibleShare:
    """Lowest share seen within the last moments."""

    def __init__(self) -> None:
        self._seen: deque[tuple[float, float]] = deque()

    def record(self, share: float, now_s: float) -> float:
        """Take the share heard now; return the one that counts."""
        self._seen.append((now_s, share))
        while now_s - self._seen[0][0] > RISE_S:
            self._seen.popleft()
        return min(seen for _, seen in self._seen)
