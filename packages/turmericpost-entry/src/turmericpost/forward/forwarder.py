"""Forwards calls: routes them, lets them wait, and starts their attempts."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from twisted.internet.interfaces import IReactorTime

from turmericpost.forward.answer import HeldAnswer, HoldBounds
from turmericpost.forward.attempt import AttemptTools, BackendAttempt
from turmericpost.forward.call import ForwardedCall
from turmericpost.forward.call_facts import CallRequest, read_call
from turmericpost.forward.refusals import refuse_exchange
from turmericpost.forward.request_body import RequestBody
from turmericpost.forward.settings import ForwardSettings
from turmericpost.http1.exchange import Exchange
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.limits.retry_budget import (
    RetryBudget,
    RetryBudgetSettings,
)
from turmericpost_core.limits.waiting import WaitingCalls
from turmericpost_core.outcome.reasons import (
    Outcome,
    RefusalReason,
    RetryReason,
)
from turmericpost_core.routing.table import Route, RoutingTable

WELL_KNOWN = b'/.well-known/turmericpost/'

_RECHECK_S = 0.005

WellKnownHandler: TypeAlias = Callable[[Exchange], None]


class Forwarder:
    """Calls in progress at this entry VM."""

    def __init__(
        self,
        reactor: IReactorTime,
        settings: ForwardSettings,
        tools: AttemptTools,
        handle_well_known: WellKnownHandler,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._tools = tools
        self._handle_well_known = handle_well_known
        self._table: RoutingTable | None = None
        self._waiting: dict[str, WaitingCalls[ForwardedCall]] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._rechecking = False
        self._hold = HoldBounds(settings.hold_bytes, settings.hold_ms)

    @property
    def table(self) -> RoutingTable | None:
        """Routing table in force, ``None`` before the first revision."""
        return self._table

    def install(self, table: RoutingTable) -> None:
        """Put a routing table in force for all further choices."""
        self._table = table
        self._tools.balancer.install(table)
        document = table.document
        self._tools.pool.retain(
            {backend.address for backend in document.backend_servers},
        )
        budget = RetryBudgetSettings(
            document.limits.retry_ratio,
            document.limits.retry_burst,
        )
        self._budgets = {
            service.name: RetryBudget(budget) for service in document.services
        }
        for service in document.services:
            self.slot_freed(service.name)

    def begin(self, exchange: Exchange) -> None:
        """Take a call from its head on."""
        if exchange.failure is not None:
            self._refuse(exchange, exchange.failure)
        elif exchange.head.target.startswith(WELL_KNOWN):
            self._handle_well_known(exchange)
        else:
            self._begin_call(exchange)

    def now_s(self) -> float:
        """Return monotonic seconds."""
        return self._tools.clock.monotonic_s()

    def dispatch(self, call: ForwardedCall) -> None:
        """Start an attempt, or let the call wait for a free slot."""
        if self._start(call):
            return
        service = call.route.service
        waiting = self._waiting_for(service.name)
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

    def may_retry(self, call: ForwardedCall) -> bool:
        """Return whether limits and budget allow another attempt."""
        if call.attempts >= self._settings.max_attempts:
            return False
        budget = self._budgets.get(call.route.service.name)
        return budget is not None and budget.has_token

    def record_retry(self, call: ForwardedCall, reason: RetryReason) -> None:
        """Count a retry and take it from the budget."""
        self._tools.metrics.retries[reason] += 1
        self._budgets[call.route.service.name].spend()

    def record_answered(self, call: ForwardedCall) -> None:
        """Count a call that got its whole answer."""
        self._tools.metrics.record_call(self.now_s() - call.begun_s)

    def record_refused(
        self,
        call: ForwardedCall,
        outcome: Outcome,
        reason: RefusalReason,
    ) -> None:
        """Count and log a refusal."""
        self._tools.metrics.refusals[reason] += 1
        log_event(
            LogEvent.CALL_REFUSED,
            service=call.request.facts.service,
            outcome=outcome.value,
            reason=reason.value,
        )

    def _begin_call(self, exchange: Exchange) -> None:
        read = read_call(exchange.head)
        if read.is_err():
            self._refuse(exchange, read.unwrap_err())
            return
        request = read.unwrap()
        if self._table is None:
            self._refuse(exchange, RefusalReason.NOT_READY)
            return
        route = self._table.route(request.facts)
        if route.is_err():
            self._refuse(exchange, route.unwrap_err())
        elif route.unwrap().backends:
            self._forward(exchange, request, route.unwrap())
        else:
            self._refuse(exchange, RefusalReason.NO_ELIGIBLE_BACKEND)

    def _forward(
        self,
        exchange: Exchange,
        request: CallRequest,
        route: Route,
    ) -> None:
        self._tools.metrics.calls_begun += 1
        self._budgets[route.service.name].record_call()
        deadline_ms = request.deadline_ms
        if deadline_ms is None:
            deadline_ms = self._default_deadline_ms()
        call = ForwardedCall(
            self,
            exchange,
            request,
            route,
            HeldAnswer(exchange, self._reactor, self._hold),
            self._request_body(exchange),
            deadline_ms,
        )
        call.set_deadline_timer(
            self._reactor.callLater(
                call.deadline_s - call.begun_s,
                call.deadline_passed,
            ),
        )
        call.begin()

    def _default_deadline_ms(self) -> int:
        if self._table is None:
            return 0
        return self._table.document.limits.default_deadline_ms

    def _request_body(self, exchange: Exchange) -> RequestBody:
        return RequestBody(
            chunked=exchange.head.content_length is None,
            max_kept_bytes=self._settings.replay_bytes,
            max_waiting_bytes=self._settings.chunk_buffer_bytes,
        )

    def _start(self, call: ForwardedCall) -> bool:
        balancer = self._tools.balancer
        backends = call.route.backends
        now_s = self.now_s()
        backend = balancer.choose(backends, call.tried, now_s)
        if backend is None and len(call.tried) >= len(backends):
            backend = balancer.choose(backends, (), now_s)
        if backend is None:
            return False
        load = balancer.start(backend.address)
        if load is None:
            return False
        attempt = BackendAttempt(backend, load, call, self._tools)
        call.start_attempt(backend, attempt)
        return True

    def _start_one(self, waiting: WaitingCalls[ForwardedCall]) -> bool:
        for account, call in waiting.heads():
            self._refresh_route(call)
            if self._start_waiting(waiting, account, call):
                return True
        return False

    def _start_waiting(
        self,
        waiting: WaitingCalls[ForwardedCall],
        account: str,
        call: ForwardedCall,
    ) -> bool:
        now_s = self.now_s()
        balancer = self._tools.balancer
        backends = call.route.backends
        tried = call.tried if len(call.tried) < len(backends) else ()
        if balancer.choose(backends, tried, now_s) is None:
            return False
        waiting.take(account)
        call.is_waiting = False
        self.dispatch(call)
        return True

    def _refresh_route(self, call: ForwardedCall) -> None:
        if self._table is None:
            return
        route = self._table.route(call.request.facts)
        if route.is_ok():
            call.route = route.unwrap()

    def _waiting_for(self, service: str) -> WaitingCalls[ForwardedCall]:
        waiting = self._waiting.get(service)
        if waiting is None:
            waiting = WaitingCalls(self._max_waiting(service))
            self._waiting[service] = waiting
        return waiting

    def _max_waiting(self, service: str) -> int:
        if self._table is None:
            return 0
        document = self._table.document
        backends = [
            one for one in document.backend_servers if one.service == service
        ]
        queue = [
            one.slots * one.queue_per_slot
            for one in document.services
            if one.name == service
        ]
        return len(backends) * sum(queue)

    def _recheck_later(self) -> None:
        if not self._rechecking:
            self._rechecking = True
            self._reactor.callLater(_RECHECK_S, self._recheck)

    def _recheck(self) -> None:
        self._rechecking = False
        for service, waiting in self._waiting.items():
            if waiting:
                self.slot_freed(service)
        if any(self._waiting.values()):
            self._recheck_later()

    def _refuse(self, exchange: Exchange, reason: RefusalReason) -> None:
        self._tools.metrics.calls_begun += 1
        self._tools.metrics.refusals[reason] += 1
        refuse_exchange(exchange, Outcome.NOT_RUN, reason)
