"""Demand by route: how much work calls of each route need, all VMs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from math import exp

DECAY_TIME_CONSTANT_S = 10.0
"""Time constant with which past demand fades: a few answers' validity."""

MIN_REPORTED_WORK_S = 0.05
"""Work of a route below which other VMs are not told of it."""

MIN_HOME_WORK_SHARE = 0.97
"""Share of a host's bound work that a region must be allowed to serve.

Callers may not be sent to a region that is not a home of more than one call
in twenty; the rest is for work that has changed since it was measured.
"""


class Demand:
    """Seconds of server work of the calls this VM answered, by route.

    Work rather than calls: calls that only test a route need none.
    """

    def __init__(self) -> None:
        self._work_s: dict[str, float] = {}
        self._decayed_at_s = float(0)

    def record(self, route: str, work_s: float, now_s: float) -> None:
        """Take in an answered call."""
        self._decay(now_s)
        self._work_s[route] = self._work_s.get(route, 0) + work_s

    def recent_work_s(
        self, routes: Iterable[str], now_s: float
    ) -> dict[str, float]:
        """Return the work of some routes, as other VMs are told."""
        self._decay(now_s)
        return {
            name: round(self._work_s[name], 2)
            for name in routes
            if self._work_s.get(name, 0) >= MIN_REPORTED_WORK_S
        }

    def _decay(self, now_s: float) -> None:
        kept = exp((self._decayed_at_s - now_s) / DECAY_TIME_CONSTANT_S)
        self._decayed_at_s = now_s
        for name in self._work_s:
            self._work_s[name] *= kept


class SharedDemand:
    """What VMs and failure domains told of their demand."""

    def __init__(self) -> None:
        self._by_source: dict[str, Mapping[str, float]] = {}

    def update_source(self, source: str, work_s: Mapping[str, float]) -> None:
        """Take what a VM or a failure domain tells."""
        self._by_source[source] = work_s

    def remove_source(self, source: str) -> None:
        """Drop what a lost VM told."""
        self._by_source.pop(source, None)

    def total(self, sources: Iterable[str] | None = None) -> Counter[str]:
        """Return the work of each route, of some sources or of all."""
        names = self._by_source if sources is None else sources
        total: Counter[str] = Counter()
        for name in names:
            for route, work_s in self._by_source.get(name, {}).items():
                total[route] += work_s  # type: ignore[assignment]
        return total
