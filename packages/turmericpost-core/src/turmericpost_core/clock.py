"""Clock interface handed to every decision."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import datetime


class Clock(Protocol):
    """Source of time; tests pass a clock they move by hand."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start, never falling."""

    def utc_now(self) -> datetime:
        """Return the wall clock time, aware and in UTC."""
