"""The operator's configuration: routes, services and limits."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Operator settings of a service.

    ``cold_per_s`` is the maximum number of calls per second to a cold
    backend server, which applies for ``warmup_s`` after its start.
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
    """Route for the calls to a host whose paths start with a prefix.

    ``timeout_s`` bounds the time to the response, ``objective_s`` is the
    latency objective, and ``rank`` 0 is the most urgent. Without home regions
    every region may serve the calls.
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
        """Return whether a region may serve calls of this route."""
        return not self.home_regions or region in self.home_regions

    def pick_service(self, point: float) -> str:
        """Return a service, chosen in proportion to the weights.

        ``point`` is a random number of at least 0 and less than 1.
        """
        remaining = point * sum(part.weight for part in self.split)
        for part in self.split:
            remaining -= part.weight
            if remaining < 0:
                return part.service
        return self.split[-1].service


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and time of requests, and on idle connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """One complete version of the configuration."""

    version: int
    routes: tuple[OperatorRoute, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits


class RouteIndex:
    """Index of routes by host; the longest matching path prefix wins."""

    def __init__(self, routes: Iterable[OperatorRoute]) -> None:
        by_host: defaultdict[str, list[OperatorRoute]] = defaultdict(list)
        for route in routes:
            by_host[route.host].append(route)
        self._by_host = {
            host: tuple(sorted(host_routes, key=_prefix_length, reverse=True))
            for host, host_routes in by_host.items()
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
        """Return the route for a host and path, or ``None``."""
        for route in self.routes_for_host(host):
            if path.startswith(route.path_prefix):
                return route
        return None


def _prefix_length(route: OperatorRoute) -> int:
    return len(route.path_prefix)
