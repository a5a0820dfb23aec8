"""Recent demand by route, in seconds of backend server work."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from math import exp

DECAY_TIME_CONSTANT_S = 10.0
"""Time constant of the decay of past work.

A few times as long as callers may reuse the addresses of a response.
"""

MIN_REPORTED_WORK_S = 0.05
"""Work of a route below which it is not reported to other VMs."""

MIN_HOME_WORK_SHARE = 0.97
"""Minimum share of a host's home-region work that a region may serve.

At most one call in twenty may be sent to a region that is not a home of its
route. The stricter 0.97 leaves room for changes since the measurement.
"""


class Demand:
    """Decaying work of the calls that this VM completed, by route.

    Work is counted in seconds of server time instead of calls, since calls
    that only test a route need none.
    """

    def __init__(self) -> None:
        self._work_s: dict[str, float] = {}
        self._decayed_at_s = float(0)

    def record(self, route: str, work_s: float, now_s: float) -> None:
        """Add the work of a completed call."""
        self._decay(now_s)
        self._work_s[route] = self._work_s.get(route, 0) + work_s

    def recent_work_s(
        self, routes: Iterable[str], now_s: float
    ) -> dict[str, float]:
        """Return the decayed work of some routes in seconds.

        Routes below ``MIN_REPORTED_WORK_S`` are omitted. Other VMs receive
        this mapping in heartbeats.
        """
        self._decay(now_s)
        return {
            name: round(self._work_s[name], 2)
            for name in routes
            if self._work_s.get(name, 0) >= MIN_REPORTED_WORK_S
        }

    def _decay(self, now_s: float) -> None:
        decay = exp((self._decayed_at_s - now_s) / DECAY_TIME_CONSTANT_S)
        self._decayed_at_s = now_s
        for name in self._work_s:
            self._work_s[name] *= decay


class SharedDemand:
    """Demand reported by VMs and failure domains, by source and route."""

    def __init__(self) -> None:
        self._by_source: dict[str, Mapping[str, float]] = {}

    def update_source(self, source: str, work_s: Mapping[str, float]) -> None:
        """Replace the work reported by a VM or a failure domain."""
        self._by_source[source] = work_s

    def remove_source(self, source: str) -> None:
        """Remove the work that a lost VM reported."""
        self._by_source.pop(source, None)

    def total(self, sources: Iterable[str] | None = None) -> Counter[str]:
        """Return the work of each route in seconds.

        Sums over the named sources, or over all sources if none are given.
        """
        names = self._by_source if sources is None else sources
        total: Counter[str] = Counter()
        for name in names:
            for route, work_s in self._by_source.get(name, {}).items():
                total[route] += work_s  # type: ignore[assignment]
        return total
