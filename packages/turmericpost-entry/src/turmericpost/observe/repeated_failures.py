"""Limits how often the same unexpected exception is logged."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass

REPEAT_INTERVAL_S = 60.0
"""Time between two lines about the same exception."""

MAX_FAILURES = 256
"""Number of different exceptions that are told apart."""


@dataclass(slots=True)
class _Repeats:
    logged_s: float
    left_out: int = 0


class RepeatedFailures:
    """Counts exceptions by a key that is equal for the same fault.

    ``monotonic_s`` returns the time in seconds.
    """

    def __init__(self, monotonic_s: Callable[[], float]) -> None:
        self._monotonic_s = monotonic_s
        self._repeats: dict[Hashable, _Repeats] = {}

    def record(self, key: Hashable) -> int | None:
        """Count an exception; return ``None`` if it is not to be logged.

        Otherwise returns how many were left out since the last line about it.
        """
        now_s = self._monotonic_s()
        if key not in self._repeats and len(self._repeats) >= MAX_FAILURES:
            key = None
        repeats = self._repeats.get(key)
        if repeats is None:
            self._repeats[key] = _Repeats(now_s)
            return 0
        if now_s - repeats.logged_s < REPEAT_INTERVAL_S:
            repeats.left_out += 1
            return None
        left_out = repeats.left_out
        self._repeats[key] = _Repeats(now_s)
        return left_out
