"""Choice among eligible backend servers by what this entry VM knows."""

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

_FINISHES_PER_REVIEW = 16
_MIN_PEERS = 3


class Balancer:
    """Load of every backend server and the choice among them."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._loads: dict[str, BackendLoad] = {}
        self._finishes = 0
        self._owned: frozenset[str] = frozenset()
        self._warm_up_until_s = float('inf')
        self._usual_s: dict[str, float] = {}

    def install(self, table: RoutingTable) -> None:
        """Take the backend servers of a new table; known ones keep state."""
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
        settles_until_s: float,
    ) -> None:
        """Own these addresses from now on; new ones have to settle first."""
        for address in owned - self._owned:
            load = self._loads.get(address)
            if load is not None:
                load.settle(settles_until_s)
        self._owned = owned

    def clear_owned(self) -> None:
        """Own nothing: what is taken over again has to settle."""
        self._owned = frozenset()

    def allow_warm_up(self, until_s: float) -> None:
        """Say until when cold servers may get calls.

        The time is checked at each use, so that a process that was paused
        sends nothing to a server that another VM may own by now.
        """
        self._warm_up_until_s = until_s

    def usual_latency_s(self, service: str) -> float:
        """Return the latency usual among a service's backend servers."""
        return self._usual_s.get(service, 0)

    def load_of(self, address: str) -> BackendLoad | None:
        """Return what is known of a backend server of the table."""
        return self._loads.get(address)

    def choose(
        self,
        backends: Iterable[BackendServer],
        tried: Collection[str],
        now_s: float,
        expected_wait_s: float = 0,
    ) -> BackendServer | None:
        """Return the backend server with the least expected wait.

        ``None`` means that none has room now. Ties fall at random. A
        straggler gets more than a trickle only when waiting would take
        longer than it does.
        """
        best = None
        best_score = float('inf')
        for backend in backends:
            load = self._loads.get(backend.address)
            if load is None or backend.address in tried:
                continue
            score = self._score(load, now_s, expected_wait_s)
            if score < best_score:
                best = backend
                best_score = score
        return best

    def pick(self, names: Sequence[str], weights: Sequence[int]) -> str:
        """Return a name at random by weight."""
        return self._random.choices(names, weights)[0]

    def all_leaving(self, backends: Iterable[BackendServer]) -> bool:
        """Return whether no backend server of these takes new work."""
        loads = (self._loads.get(one.address) for one in backends)
        return all(
            load is None or load.state is ReportedState.DRAINING
            for load in loads
        )

    def start(self, address: str) -> BackendLoad | None:
        """Count a call as sent and return the load it counts in."""
        load = self._loads.get(address)
        if load is not None:
            load.start()
        return load

    def finish(
        self,
        load: BackendLoad,
        attempt: AttemptResult,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Count a call as ended in the load that ``start`` returned."""
        load.finish(attempt, latency_s, now_s)
        self._finishes += 1
        if self._finishes % _FINISHES_PER_REVIEW == 0:
            self._review(load.service.name)

    def record_report(
        self,
        address: str,
        report: LoadReport,
        now_s: float,
    ) -> None:
        """Take in a load report of a backend server."""
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

    def _review(self, service: str) -> None:
        peers = [
            load
            for load in self._loads.values()
            if load.service.name == service and load.latency_s
        ]
        if len(peers) < _MIN_PEERS:
            return
        usual_s = median(load.latency_s for load in peers)
        self._usual_s[service] = usual_s
        for load in peers:
            load.compare(usual_s)
