"""Load balancing among eligible backend servers at one entry VM."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from random import Random
from statistics import median

from turmericpost_core.config.document import BackendServer
from turmericpost_core.limits.backend_load import (
    AttemptResult,
    BackendLoad,
    LoadReport,
    ReportedState,
)
from turmericpost_core.routing.table import RoutingTable

_ATTEMPTS_PER_MEDIAN_UPDATE = 16
_MIN_SERVERS_FOR_MEDIAN = 3


class Balancer:
    """Keeps the load of every backend server and chooses the least loaded."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._loads: dict[str, BackendLoad] = {}
        self._ended_attempts = 0
        self._owned: frozenset[str] = frozenset()
        self._warm_up_until_s = float('inf')
        self._median_latency_s: dict[str, float] = {}

    def install(self, table: RoutingTable) -> None:
        """Replace the backend servers by those of a new routing table.

        A server keeps its load state if its address and service are unchanged.
        """
        services = {one.name: one for one in table.document.services}
        loads = {}
        for backend in table.document.backend_servers:
            service = services[backend.service]
            load = self._loads.get(backend.address)
            if load is None or load.service.name != service.name:
                load = BackendLoad(service)
            load.service = service
            loads[backend.address] = load
        self._loads = loads

    def assign_owned(
        self,
        owned: frozenset[str],
        handover_until_s: float,
    ) -> None:
        """Replace the addresses of the backend servers that this VM owns.

        The servers added are restricted until ``handover_until_s``, while
        their former owners may still send calls to them.
        """
        for address in owned - self._owned:
            load = self._loads.get(address)
            if load is not None:
                load.begin_handover(handover_until_s)
        self._owned = owned

    def clear_owned(self) -> None:
        """Own no servers; each one owned again starts with a handover."""
        self._owned = frozenset()

    def allow_warm_up(self, until_s: float) -> None:
        """Allow calls to cold servers until a monotonic time.

        The time is checked for every call, so that a process that was paused
        sends nothing to a server that another VM may own by now.
        """
        self._warm_up_until_s = until_s

    def service_latency_s(self, service: str) -> float:
        """Return the median latency of a service's backend servers.

        Returns 0 if it is not known yet.
        """
        return self._median_latency_s.get(service, 0)

    def load_of(self, address: str) -> BackendLoad | None:
        """Return the load of a backend server; ``None`` if not in the table."""
        return self._loads.get(address)

    def choose(
        self,
        backends: Iterable[BackendServer],
        tried_addresses: Collection[str],
        now_s: float,
        expected_wait_s: float = 0,
    ) -> BackendServer | None:
        """Return the backend server with the lowest load score.

        The score grows with the share of slots in use and the latency; ties
        are broken at random. Servers in ``tried_addresses`` are skipped. A
        straggler gets more than one call at a time only if waiting for another
        server would take longer. Returns ``None`` if no server has room now.
        """
        best = None
        best_score = float('inf')
        for backend in backends:
            load = self._loads.get(backend.address)
            if load is None or backend.address in tried_addresses:
                continue
            score = self._score(load, now_s, expected_wait_s)
            if score < best_score:
                best = backend
                best_score = score
        return best

    def pick_weighted(
        self, names: Sequence[str], weights: Sequence[int]
    ) -> str:
        """Return a random name, chosen in proportion to the weights."""
        return self._random.choices(names, weights)[0]

    def all_draining(self, backends: Iterable[BackendServer]) -> bool:
        """Return whether all these backend servers are draining or unknown."""
        loads = (self._loads.get(one.address) for one in backends)
        return all(
            load is None or load.state is ReportedState.DRAINING
            for load in loads
        )

    def start(self, address: str) -> BackendLoad | None:
        """Count an attempt as in flight; return the load that counts it."""
        load = self._loads.get(address)
        if load is not None:
            load.start()
        return load

    def finish(
        self,
        load: BackendLoad,
        attempt_result: AttemptResult,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Count an attempt as ended in the load that ``start`` returned."""
        load.finish(attempt_result, latency_s, now_s)
        self._ended_attempts += 1
        if self._ended_attempts % _ATTEMPTS_PER_MEDIAN_UPDATE == 0:
            self._update_median_latency(load.service.name)

    def record_report(
        self,
        address: str,
        report: LoadReport,
        now_s: float,
    ) -> None:
        """Record a load report of a backend server."""
        load = self._loads.get(address)
        if load is not None:
            load.record_report(report, now_s)

    def _score(
        self,
        load: BackendLoad,
        now_s: float,
        expected_wait_s: float,
    ) -> float:
        if not load.has_room(now_s, expected_wait_s):
            return float('inf')
        if load.is_cold and now_s > self._warm_up_until_s:
            return float('inf')
        share = (load.in_flight + self._random.random()) / load.limit
        return share * (1 + load.latency_s)

    def _update_median_latency(self, service: str) -> None:
        peers = [
            load
            for load in self._loads.values()
            if load.service.name == service and load.latency_s
        ]
        if len(peers) < _MIN_SERVERS_FOR_MEDIAN:
            return
        median_latency_s = median(load.latency_s for load in peers)
        self._median_latency_s[service] = median_latency_s
        for load in peers:
            load.update_straggler(median_latency_s)
