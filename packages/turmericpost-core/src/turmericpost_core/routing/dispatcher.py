"""Dispatcher: decides where each call of an entry VM goes or waits.

A call goes to a backend server that this VM owns. Without a free slot it is
queued, and client accounts are served in turn. A call that has waited for
``OFFER_AFTER_S`` is offered to the other owners of its service, one after
the other; an owner accepts it only if it has a free slot now. A VM that owns
no eligible backend server relays the call to an owner at once.
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
    """Interface of the calls that the dispatcher handles.

    ``tried_addresses`` holds the addresses of the backend servers already
    tried, ``offered`` the names of the VMs that the call was offered to.
    ``is_offered_by_peer`` marks a call that another VM offers to this one,
    ``is_relayed_by_peer`` a call that another VM relayed because it owns no
    eligible backend server.
    """

    route: Route
    tried_addresses: set[str]
    offered: set[str]
    waiting_since_s: float
    next_offer_s: float
    is_offered_by_peer: bool
    is_relayed_by_peer: bool

    @property
    def account(self) -> str:
        """Name of the client account that made the call."""

    @property
    def can_be_offered(self) -> bool:
        """Whether the whole call is buffered, so that it can be offered."""


_Call = TypeVar('_Call', bound=DispatchedCall)


@dataclass(frozen=True)
class StartAttempt:
    """Decision to send the call to a backend server now."""

    backend: BackendServer


@dataclass(frozen=True)
class RelayToOwner:
    """Decision to relay the call to a VM that owns eligible servers."""

    vm_name: str


@dataclass(frozen=True)
class Enqueue:
    """Decision to queue the call until a slot is free."""


@dataclass(frozen=True)
class Refuse:
    """Decision to refuse the call."""

    reason: RefusalReason


Placement = StartAttempt | RelayToOwner | Enqueue | Refuse


class Dispatcher(Generic[_Call]):
    """Dispatches the calls of one entry VM.

    All times are in seconds of the monotonic clock.
    """

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
        """Whether any call is queued."""
        return any(self._waiting.values())

    def install(self, table: RoutingTable) -> None:
        """Use a new routing table and adapt the queue capacities to it."""
        self._table = table
        self._owned_by_route.clear()
        for service, waiting in self._waiting.items():
            waiting.max_calls = _queue_capacity(table, service)

    def update_ownership(self, ownership: Ownership) -> None:
        """Replace the ownership of backend servers."""
        self._ownership = ownership
        self._owned_by_route.clear()

    def place(self, call: _Call, now_s: float) -> Placement:
        """Return where a call that is not queued should go."""
        owned = self._owned_backends(call.route)
        if not owned:
            return self._relay_to_owner(call)
        backend = self._choose(call, owned, now_s)
        if backend is not None:
            return StartAttempt(backend)
        if call.is_offered_by_peer:
            return Refuse(RefusalReason.NO_FREE_SLOT)
        if self._balancer.all_draining(owned):
            return self._relay_to_owner(call)
        if self._queue_for(call.route.service.name).is_full:
            return Refuse(RefusalReason.QUEUE_FULL)
        return Enqueue()

    def wait(self, call: _Call) -> None:
        """Queue a call."""
        self._queue_for(call.route.service.name).add(call.account, call)

    def stop_waiting(self, call: _Call) -> None:
        """Remove a call from the queue."""
        self._queue_for(call.route.service.name).remove(call.account, call)

    def waiting_calls(self) -> Iterator[_Call]:
        """Yield every queued call."""
        for waiting in self._waiting.values():
            yield from waiting.calls()

    def services_with_waiting_calls(self) -> tuple[str, ...]:
        """Return the names of the services with queued calls."""
        return tuple(name for name, calls in self._waiting.items() if calls)

    def next_start(
        self,
        service: str,
        now_s: float,
    ) -> tuple[_Call, BackendServer] | None:
        """Return the next queued call that can start, and its server.

        Accounts are considered in the order in which they are served. Returns
        ``None`` if no call can start now.
        """
        waiting = self._waiting.get(service)
        if not waiting:
            return None
        for _, call in waiting.next_by_account():
            owned = self._owned_backends(call.route)
            backend = self._choose(call, owned, now_s)
            if backend is not None:
                return call, backend
        return None

    def next_offer(
        self,
        service: str,
        now_s: float,
    ) -> tuple[_Call, str] | None:
        """Return a call to offer to another owner, and that owner's name.

        Only calls that have waited for ``OFFER_AFTER_S`` are offered. Calls
        that are likely to start here within one round trip are kept, because
        a refused offer would make them miss that start.
        """
        waiting = self._waiting.get(service)
        if not waiting:
            return None
        by_age = sorted(waiting.calls(), key=_waiting_since_s)
        kept_here = self._starts_per_round_trip(by_age[0].route)
        for call in by_age[kept_here:]:
            if now_s - call.waiting_since_s < OFFER_AFTER_S:
                return None
            if call.can_be_offered and now_s >= call.next_offer_s:
                name = self._next_owner(call, now_s)
                if name is not None:
                    return call, name
        return None

    def offer_refused(self, call: _Call, now_s: float) -> None:
        """Queue a call again after another VM refused it.

        Once every owner has refused, offers start over after a pause.
        """
        if self._next_owner(call) is None:
            call.offered.clear()
            call.next_offer_s = now_s + OFFER_AFTER_S
        waiting = self._queue_for(call.route.service.name)
        waiting.reinsert(call.account, call, _waiting_since_s)

    def _owned_backends(self, route: Route) -> tuple[BackendServer, ...]:
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

    def _starts_per_round_trip(self, route: Route) -> int:
        slots = len(self._owned_backends(route)) * route.service.slots
        median_latency_s = self._balancer.service_latency_s(route.service.name)
        if not (slots and median_latency_s):
            return 0
        return ceil(ROUND_TRIP_S * slots / median_latency_s)

    def _relay_to_owner(self, call: _Call) -> Placement:
        if call.is_offered_by_peer or call.is_relayed_by_peer:
            return Refuse(RefusalReason.NO_FREE_SLOT)
        name = self._next_owner(call)
        if name is None:
            return Refuse(RefusalReason.NO_ELIGIBLE_BACKEND)
        return RelayToOwner(name)

    def _next_owner(
        self,
        call: _Call,
        offer_time_s: float | None = None,
    ) -> str | None:
        """Return another owner that was not yet offered the call.

        It is a random one, weighted by its number of eligible servers.

        With ``offer_time_s``, only an owner that the pacing of offers allows
        at that time is returned.
        """
        backend_counts = Counter(
            name
            for name in map(self._ownership.owner_of, call.route.backends)
            if name is not None and name != self._own_name
        )
        eligible_owners = [
            name for name in backend_counts if name not in call.offered
        ]
        if offer_time_s is not None:
            may_offer = self.pacing.may_offer
            eligible_owners = [
                name
                for name in eligible_owners
                if may_offer(name, offer_time_s)
            ]
        if not eligible_owners:
            return None
        return self._balancer.pick_weighted(
            eligible_owners, [backend_counts[name] for name in eligible_owners]
        )

    def _choose(
        self,
        call: _Call,
        owned: tuple[BackendServer, ...],
        now_s: float,
    ) -> BackendServer | None:
        """Choose a server with room, preferably one not tried before."""
        choose = self._balancer.choose
        wait_s = self._expected_wait_s(call.route, len(owned))
        backend = choose(owned, call.tried_addresses, now_s, wait_s)
        if backend is None and len(call.tried_addresses) >= len(owned):
            return choose(owned, (), now_s, wait_s)
        return backend

    def _expected_wait_s(self, route: Route, owned: int) -> float:
        """Return the expected seconds until all queued calls have started."""
        service = route.service
        waiting = self._waiting.get(service.name)
        if not (waiting and owned):
            return 0
        median_latency_s = self._balancer.service_latency_s(service.name)
        return len(waiting) * median_latency_s / (owned * service.slots)

    def _queue_for(self, service: str) -> WaitingCalls[_Call]:
        waiting = self._waiting.get(service)
        if waiting is None:
            capacity = 0
            if self._table is not None:
                capacity = _queue_capacity(self._table, service)
            waiting = WaitingCalls(capacity)
            self._waiting[service] = waiting
        return waiting


def _queue_capacity(table: RoutingTable, service: str) -> int:
    document = table.document
    per_backend = sum(
        one.slots * one.queue_per_slot
        for one in document.services
        if one.name == service
    )
    backends = (one.service for one in document.backend_servers)
    return per_backend * sum(name == service for name in backends)


def _waiting_since_s(call: DispatchedCall) -> float:
    return call.waiting_since_s
