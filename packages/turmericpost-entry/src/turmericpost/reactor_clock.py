"""Clock that is based on the Twisted reactor."""

from __future__ import annotations

import time
from datetime import UTC, datetime
from typing import Any

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


def use_monotonic_time(reactor: Any) -> None:
    """Make the time and the timers of a reactor monotonic.

    Reactors of Twisted read the wall clock, which operators and NTP step. Must
    be called before any timer is started. The time counts on while the machine
    is suspended, so that permits and views of other VMs expire meanwhile.
    """
    reactor.seconds = _seconds_since_boot


def _seconds_since_boot() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
