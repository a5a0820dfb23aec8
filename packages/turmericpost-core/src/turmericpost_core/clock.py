"""Clock interface that time-dependent code gets as an argument."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import datetime


class Clock(Protocol):
    """Source of the current time; tests pass a clock that they advance."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start.

        The value never decreases.
        """

    def utc_now(self) -> datetime:
        """Return the wall clock time as a timezone-aware datetime in UTC."""
