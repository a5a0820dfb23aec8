"""Clock that is based on the Twisted reactor."""

from __future__ import annotations

from datetime import UTC, datetime

from twisted.internet.interfaces import IReactorTime


class ReactorClock:
    """Clock with the monotonic time of the reactor, which tests can advance."""

    def __init__(self, reactor: IReactorTime) -> None:
        self._reactor = reactor

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start."""
        return float(self._reactor.seconds())

    def utc_now(self) -> datetime:
        """Return the wall clock time in UTC."""
        return datetime.now(UTC)
