"""Memory that the connections of a process may use together."""

from __future__ import annotations


class SharedMemoryBudget:
    """Memory with an equal part for each holder, and a common rest.

    A holder may always use its own part. It may use more as long as all holders
    together use at most ``limit_bytes``. All together thus use less than twice
    the limit.
    """

    def __init__(self, limit_bytes: int, max_holders: int) -> None:
        self.used_bytes = 0
        self._limit_bytes = limit_bytes
        self._own_part_bytes = limit_bytes // max_holders

    def change(self, change_bytes: int) -> None:
        """Record that a holder uses more, or less if negative."""
        self.used_bytes += change_bytes

    def allows(self, holder_bytes: int) -> bool:
        """Return whether a holder may use this much, already recorded."""
        if holder_bytes <= self._own_part_bytes:
            return True
        return self.used_bytes <= self._limit_bytes
