"""The operator's configuration: routes, services and limits."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """What the operator says of a service.

    ``cold_per_s`` is the rate that a cold backend server tolerates, for
    ``warmup_s`` after its start.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    cold_per_s: float


@dataclass(frozen=True, slots=True)
class SplitPart:
    """A service and its share of the calls of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class OperatorRoute:
    """Where calls of a host and path go.

    ``timeout_s`` bounds how long a caller is kept waiting, ``objective_s``
    is the latency objective, ``rank`` 0 is the most urgent. No home regions
    means that every region may serve.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout_s: float
    objective_s: float
    rank: int
    split: tuple[SplitPart, ...]
    max_attempts: int
    home_regions: frozenset[str]

    def may_serve(self, region: str) -> bool:
        """Return whether calls may go to a region."""
        return not self.home_regions or region in self.home_regions

    def pick_service(self, point: float) -> str:
        """Return the service at a point between 0 and 1 of the weights."""
        left = point * sum(part.weight for part in self.split)
        for part in self.split:
            left -= part.weight
            if left < 0:
                return part.service
        return self.split[-1].service


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """One version of the configuration, whole."""

    version: int
    routes: tuple[OperatorRoute, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits


class RouteIndex:
    """Routes by host; the longest prefix of the path wins."""

    def __init__(self, routes: Iterable[OperatorRoute]) -> None:
        by_host: defaultdict[str, list[OperatorRoute]] = defaultdict(list)
        for route in routes:
            by_host[route.host].append(route)
        self._by_host = {
            host: tuple(sorted(found, key=_prefix_length, reverse=True))
            for host, found in by_host.items()
        }

    def routes_with_home_regions(self) -> tuple[str, ...]:
        """Return the names of all routes that have home regions."""
        return tuple(
            route.name
            for routes in self._by_host.values()
            for route in routes
            if route.home_regions
        )

    def routes_for_host(self, host: str) -> tuple[OperatorRoute, ...]:
        """Return every route of a host."""
        return self._by_host.get(host, ())

    def find(self, host: str, path: str) -> OperatorRoute | None:
        """Return the route of a call, ``None`` if there is none."""
        for route in self.routes_for_host(host):
            if path.startswith(route.path_prefix):
                return route
        return None


def _prefix_length(route: OperatorRoute) -> int:
    return len(route.path_prefix)
