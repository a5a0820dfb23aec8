"""Dispatcher: where each call goes, and which one waits.

A call goes to a backend server that this VM owns. Without a free slot it
waits, accounts taking turns. A call that would wait long is offered to the
other owners of its service, one after the other; an owner takes it only if it
has a free slot now. A VM that owns no backend server fit for a call
passes the call to an owner at once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil
from typing import Generic, Protocol, TypeVar

from turmericpost_core.config.document import BackendServer
from turmericpost_core.limits.waiting_calls import WaitingCalls
from turmericpost_core.outcome.reasons import RefusalReason
from turmericpost_core.routing.balancer import Balancer
from turmericpost_core.routing.offer_pacing import OfferPacing
from turmericpost_core.routing.ownership import NO_OWNERSHIP, Ownership
from turmericpost_core.routing.table import Route, RoutingTable

OFFER_AFTER_S = 0.008
ROUND_TRIP_S = 0.0015

_CACHED_ROUTES = 4096


class DispatchedCall(Protocol):
    """A call as the dispatcher sees it.

    ``tried`` holds addresses of backend servers, ``offered`` names of VMs.
    ``is_offered_here`` marks a call that another VM offers to this one, and
    ``is_passed_here`` one that another VM passed on because it owns nothing.
    """

    route: Route
    tried: set[str]
    offered: set[str]
    waiting_since_s: float
    next_offer_s: float
    is_offered_by_peer: bool
    is_relayed_by_peer: bool

    @property
    def account(self) -> str:
        """Client account of the call."""

    @property
    def can_be_offered(self) -> bool:
        """Whether the call is in memory, so that it can be sent again."""


_Call = TypeVar('_Call', bound=DispatchedCall)


@dataclass(frozen=True)
class StartAttempt:
    """Send the call to a backend server now."""

    backend: BackendServer


@dataclass(frozen=True)
class RelayToOwner:
    """Send the call to the entry VM that owns fit backend servers."""

    vm_name: str


@dataclass(frozen=True)
class Enqueue:
    """Let the call wait for a free slot."""


@dataclass(frozen=True)
class Refuse:
    """Refuse the call."""

    reason: RefusalReason


Placement = StartAttempt | RelayToOwner | Enqueue | Refuse


class Dispatcher(Generic[_Call]):
    """Places the calls of one entry VM; times are monotonic seconds."""

    def __init__(self, own_name: str, balancer: Balancer) -> None:
        self._own_name = own_name
        self._balancer = balancer
        self._ownership = NO_OWNERSHIP
        self._table: RoutingTable | None = None
        self._waiting: dict[str, WaitingCalls[_Call]] = {}
        self.pacing = OfferPacing()
        self._owned_by_route: dict[Route, tuple[BackendServer, ...]] = {}

    @property
    def has_waiting(self) -> bool:
        """Whether any call waits."""
        return any(self._waiting.values())

    def install(self, table: RoutingTable) -> None:
        """Bound the waiting calls by a new table."""
        self._table = table
        self._owned_by_route.clear()
        for service, waiting in self._waiting.items():
            waiting.max_calls = _max_waiting(table, service)

    def update_ownership(self, ownership: Ownership) -> None:
        """Take note of who owns what."""
        self._ownership = ownership
        self._owned_by_route.clear()

    def place(self, call: _Call, now_s: float) -> Placement:
        """Return what to do with a call that is not waiting."""
        owned = self._owned(call.route)
        if not owned:
            return self._pass_on(call)
        backend = self._choose(call, owned, now_s)
        if backend is not None:
            return StartAttempt(backend)
        if call.is_offered_by_peer:
            return Refuse(RefusalReason.NO_FREE_SLOT)
        if self._balancer.all_leaving(owned):
            return self._pass_on(call)
        if self._waiting_for(call.route.service.name).is_full:
            return Refuse(RefusalReason.QUEUE_FULL)
        return Enqueue()

    def wait(self, call: _Call) -> None:
        """Let a call wait."""
        self._waiting_for(call.route.service.name).add(call.account, call)

    def stop_waiting(self, call: _Call) -> None:
        """Take a call out of the waiting ones."""
        self._waiting_for(call.route.service.name).remove(call.account, call)

    def waiting_calls(self) -> Iterator[_Call]:
        """Yield every waiting call."""
        for waiting in self._waiting.values():
            yield from waiting.calls()

    def services_with_waiting_calls(self) -> tuple[str, ...]:
        """Return the services that calls wait for."""
        return tuple(name for name, calls in self._waiting.items() if calls)

    def next_start(
        self,
        service: str,
        now_s: float,
    ) -> tuple[_Call, BackendServer] | None:
        """Return a waiting call that can start now, in the order of turns."""
        waiting = self._waiting.get(service)
        if not waiting:
            return None
        for _, call in waiting.heads():
            owned = self._owned(call.route)
            backend = self._choose(call, owned, now_s)
            if backend is not None:
                return call, backend
        return None

    def next_offer(
        self,
        service: str,
        now_s: float,
    ) -> tuple[_Call, str] | None:
        """Return a call that has waited long enough, and whom to offer it.

        The calls whose turn comes within a round trip stay here, so that a
        call on its way to and fro loses nothing.
        """
        waiting = self._waiting.get(service)
        if not waiting:
            return None
        by_age = sorted(waiting.calls(), key=_waits_from_s)
        stay = self._turns_in_a_round_trip(by_age[0].route)
        for call in by_age[stay:]:
            if now_s - call.waiting_since_s < OFFER_AFTER_S:
                return None
            if call.can_be_offered and now_s >= call.next_offer_s:
                name = self._next_owner(call, now_s)
                if name is not None:
                    return call, name
        return None

    def offer_refused(self, call: _Call, now_s: float) -> None:
        """Put a call back that no VM has taken so far."""
        if self._next_owner(call) is None:
            call.offered.clear()
            call.next_offer_s = now_s + OFFER_AFTER_S
        waiting = self._waiting_for(call.route.service.name)
        waiting.put_back(call.account, call, _waits_from_s)

    def _owned(self, route: Route) -> tuple[BackendServer, ...]:
        owned = self._owned_by_route.get(route)
        if owned is None:
            owned = tuple(
                backend
                for backend in route.backends
                if self._ownership.owner_of(backend) == self._own_name
            )
            if len(self._owned_by_route) >= _CACHED_ROUTES:
                self._owned_by_route.clear()
            self._owned_by_route[route] = owned
        return owned

    def _turns_in_a_round_trip(self, route: Route) -> int:
        slots = len(self._owned(route)) * route.service.slots
        usual_s = self._balancer.usual_latency_s(route.service.name)
        if not (slots and usual_s):
            return 0
        return ceil(ROUND_TRIP_S * slots / usual_s)

    def _pass_on(self, call: _Call) -> Placement:
        if call.is_offered_by_peer or call.is_relayed_by_peer:
            return Refuse(RefusalReason.NO_FREE_SLOT)
        name = self._next_owner(call)
        if name is None:
            return Refuse(RefusalReason.NO_ELIGIBLE_BACKEND)
        return RelayToOwner(name)

    def _next_owner(
        self,
        call: _Call,
        paced_at_s: float | None = None,
    ) -> str | None:
        """Return another owner of fit backend servers, not offered yet.

        With a time, only one that may be offered a call then.
        """
        found = Counter(
            name
            for name in map(self._ownership.owner_of, call.route.backends)
            if name is not None and name != self._own_name
        )
        fit = [name for name in found if name not in call.offered]
        if paced_at_s is not None:
            may_offer = self.pacing.may_offer
            fit = [name for name in fit if may_offer(name, paced_at_s)]
        if not fit:
            return None
        return self._balancer.pick(fit, [found[name] for name in fit])

    def _choose(
        self,
        call: _Call,
        owned: tuple[BackendServer, ...],
        now_s: float,
    ) -> BackendServer | None:
        """Prefer a backend server that has not been tried."""
        choose = self._balancer.choose
        wait_s = self._expected_wait_s(call.route, len(owned))
        backend = choose(owned, call.tried, now_s, wait_s)
        if backend is None and len(call.tried) >= len(owned):
            return choose(owned, (), now_s, wait_s)
        return backend

    def _expected_wait_s(self, route: Route, owned: int) -> float:
        """Return how long the calls now waiting take to start."""
        service = route.service
        waiting = self._waiting.get(service.name)
        if not (waiting and owned):
            return 0
        usual_s = self._balancer.usual_latency_s(service.name)
        return len(waiting) * usual_s / (owned * service.slots)

    def _waiting_for(self, service: str) -> WaitingCalls[_Call]:
        waiting = self._waiting.get(service)
        if waiting is None:
            bound = 0
            if self._table is not None:
                bound = _max_waiting(self._table, service)
            waiting = WaitingCalls(bound)
            self._waiting[service] = waiting
        return waiting


def _max_waiting(table: RoutingTable, service: str) -> int:
    document = table.document
    per_backend = sum(
        one.slots * one.queue_per_slot
        for one in document.services
        if one.name == service
    )
    backends = (one.service for one in document.backend_servers)
    return per_backend * sum(name == service for name in backends)


def _waits_from_s(call: DispatchedCall) -> float:
    return call.waiting_since_s
