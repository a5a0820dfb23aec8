"""Calls waiting for a free slot, and the start of their attempts."""

from __future__ import annotations

from twisted.internet.interfaces import IReactorTime

from turmericpost.forward.attempt import AttemptTools, BackendAttempt
from turmericpost.forward.call import ForwardedCall
from turmericpost_core.config.document import BackendServer
from turmericpost_core.limits.waiting import WaitingCalls
from turmericpost_core.outcome.reasons import RefusalReason
from turmericpost_core.routing.table import RoutingTable

_RECHECK_S = 0.005


class CallQueue:
    """Starts calls on free slots; the others wait, accounts taking turns."""

    def __init__(self, reactor: IReactorTime, tools: AttemptTools) -> None:
        self._reactor = reactor
        self._tools = tools
        self._table: RoutingTable | None = None
        self._waiting: dict[str, WaitingCalls[ForwardedCall]] = {}
        self._is_rechecking = False

    def install(self, table: RoutingTable) -> None:
        """Route the waiting calls anew and bound them by the new table."""
        self._table = table
        for service, waiting in self._waiting.items():
            waiting.max_calls = _max_waiting(table, service)
            for call in waiting.calls():
                self._reroute(table, call)
            self.slot_freed(service)

    def dispatch(self, call: ForwardedCall) -> None:
        """Start an attempt, or let the call wait for a free slot."""
        backend = self._choose(call)
        if backend is not None:
            self._start(call, backend)
            return
        waiting = self._waiting_for(call.route.service.name)
        if self._tools.balancer.all_leaving(call.route.backends):
            call.refuse(RefusalReason.NO_ELIGIBLE_BACKEND)
        elif waiting.is_full:
            call.refuse(RefusalReason.QUEUE_FULL)
        else:
            call.is_waiting = True
            waiting.add(call.request.facts.account, call)
            self._recheck_later()

    def stop_waiting(self, call: ForwardedCall) -> None:
        """Take a call out of the waiting ones."""
        call.is_waiting = False
        waiting = self._waiting_for(call.route.service.name)
        waiting.remove(call.request.facts.account, call)

    def slot_freed(self, service: str) -> None:
        """Give free slots to waiting calls, an account at a time."""
        waiting = self._waiting.get(service)
        while waiting:
            if not self._start_one(waiting):
                return

    def _start_one(self, waiting: WaitingCalls[ForwardedCall]) -> bool:
        for account, call in waiting.heads():
            backend = self._choose(call)
            if backend is not None:
                waiting.take(account)
                call.is_waiting = False
                self._start(call, backend)
                return True
        return False

    def _choose(self, call: ForwardedCall) -> BackendServer | None:
        """Prefer a backend server that has not been tried."""
        balancer = self._tools.balancer
        backends = call.route.backends
        now_s = self._tools.clock.monotonic_s()
        backend = balancer.choose(backends, call.tried, now_s)
        if backend is None and len(call.tried) >= len(backends):
            return balancer.choose(backends, (), now_s)
        return backend

    def _start(self, call: ForwardedCall, backend: BackendServer) -> None:
        load = self._tools.balancer.start(backend.address)
        if load is None:
            call.refuse(RefusalReason.NO_ELIGIBLE_BACKEND)
            return
        attempt = BackendAttempt(backend, load, call, self._tools)
        call.start_attempt(backend, attempt)

    def _reroute(self, table: RoutingTable, call: ForwardedCall) -> None:
        route = table.route(call.request.facts)
        if route.is_err():
            self.stop_waiting(call)
            call.refuse(route.unwrap_err())
        elif route.unwrap().backends:
            call.route = route.unwrap()
        else:
            self.stop_waiting(call)
            call.refuse(RefusalReason.NO_ELIGIBLE_BACKEND)

    def _waiting_for(self, service: str) -> WaitingCalls[ForwardedCall]:
        waiting = self._waiting.get(service)
        if waiting is None:
            bound = 0
            if self._table is not None:
                bound = _max_waiting(self._table, service)
            waiting = WaitingCalls(bound)
            self._waiting[service] = waiting
        return waiting

    def _recheck_later(self) -> None:
        if not self._is_rechecking:
            self._is_rechecking = True
            self._reactor.callLater(_RECHECK_S, self._recheck)

    def _recheck(self) -> None:
        self._is_rechecking = False
        for service, waiting in self._waiting.items():
            if waiting:
                self.slot_freed(service)
        if any(self._waiting.values()):
            self._recheck_later()


def _max_waiting(table: RoutingTable, service: str) -> int:
    document = table.document
    per_backend = sum(
        one.slots * one.queue_per_slot
        for one in document.services
        if one.name == service
    )
    backends = (one.service for one in document.backend_servers)
    return per_backend * sum(name == service for name in backends)
