"""Forwards calls: routes them, lets them wait, and starts their attempts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TypeAlias

from twisted.internet.interfaces import IReactorTime

from turmericpost.forward.attempt import AttemptTools
from turmericpost.forward.buffered_response import HeldAnswer, HoldBounds
from turmericpost.forward.call import ForwardedCall
from turmericpost.forward.call_facts import CallRequest, read_call
from turmericpost.forward.call_parts import CallParts
from turmericpost.forward.call_queue import CallQueue
from turmericpost.forward.claims import KeyClaims
from turmericpost.forward.keyed_calls import (
    KeyedCall,
    KeyedCallContext,
    KeyedCalls,
)
from turmericpost.forward.observer import CallObserver
from turmericpost.forward.operations import RunningOperations
from turmericpost.forward.refusals import refuse_exchange
from turmericpost.forward.relays import RelayKind
from turmericpost.forward.request_body import RequestBody
from turmericpost.forward.settings import ForwardSettings
from turmericpost.http1.exchange import Exchange
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.limits.retry_budget import (
    RetryBudget,
    RetryBudgetSettings,
)
from turmericpost_core.membership.vm_records import VmRecord
from turmericpost_core.operations.table import OperationId, OperationTable
from turmericpost_core.outcome.reasons import (
    Outcome,
    RefusalReason,
    RetryReason,
)
from turmericpost_core.routing.ownership import Ownership
from turmericpost_core.routing.table import Route, RoutingTable

_PLACED = frozenset((RelayKind.PASSED, RelayKind.OFFERED))

WELL_KNOWN = b'/.well-known/turmericpost/'

WellKnownHandler: TypeAlias = Callable[[Exchange], None]


class Forwarder:
    """Calls in progress at this entry VM."""

    def __init__(
        self,
        reactor: IReactorTime,
        settings: ForwardSettings,
        tools: AttemptTools,
        handle_well_known: WellKnownHandler,
        keyed_call_context: KeyedCallContext,
        key_claims: KeyClaims,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._tools = tools
        self._handle_well_known = handle_well_known
        self.operations = RunningOperations(
            reactor,
            OperationTable(settings.max_operations),
            tools.metrics,
        )
        self.keyed_calls = KeyedCalls(
            keyed_call_context,
            self.operations,
            key_claims,
            self,
        )
        self._table: RoutingTable | None = None
        self._budgets: dict[str, RetryBudget] = {}
        self._queue = CallQueue(
            reactor,
            tools,
            keyed_call_context.own_name,
            keyed_call_context.find_vm,
        )
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
        self._queue.install(table)

    def begin(self, exchange: Exchange) -> None:
        """Take a call from its head on."""
        failure = exchange.failure
        if failure:
            self._refuse(exchange, failure)
        elif exchange.head.target.startswith(WELL_KNOWN):
            self._handle_well_known(exchange)
        else:
            self._begin_call(exchange)

    def now_s(self) -> float:
        """Return monotonic seconds."""
        return self._tools.clock.monotonic_s()

    def dispatch(self, call: ForwardedCall) -> None:
        """Start an attempt, or let the call wait for a free slot."""
        self._queue.dispatch(call)

    def stop_waiting(self, call: ForwardedCall) -> None:
        """Take a call out of the waiting ones."""
        self._queue.stop_waiting(call)

    def slot_freed(self, service: str) -> None:
        """Give free slots to waiting calls."""
        self._queue.slot_freed(service)

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

    def run(self, call: KeyedCall, observer: CallObserver) -> None:
        """Send the one run of a keyed call to a backend server."""
        parts = self._parts(call.exchange, call.request)
        followed = replace(parts, observer=observer)
        self._new_call(followed, call.route).begin()

    def relay(self, call: KeyedCall, owner: VmRecord) -> None:
        """Send a keyed call to the entry VM that owns its key."""
        parts = self._parts(call.exchange, call.request)
        self._new_call(parts, call.route).begin_at_owner(owner)

    def relay_to_owner(self, call: ForwardedCall, owner: VmRecord) -> None:
        """Send a call to the VM that owns its operation key."""
        self._queue.relay(call, owner, RelayKind.KEY)

    def offer_taken(self, call: ForwardedCall) -> None:
        """Note that another VM took a call offered to it."""
        self._queue.offer_taken(call)

    def turned_down(
        self,
        call: ForwardedCall,
        kind: RelayKind | None,
    ) -> None:
        """Find another place for a call that another VM did not take."""
        if kind is RelayKind.OFFERED:
            self._queue.offer_refused(call)
        else:
            self._queue.dispatch(call)

    def own(self, ownership: Ownership) -> None:
        """Follow a change of owners."""
        self._queue.own(ownership)

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
        key = request.operation_key
        is_placed = request.arrived_as in _PLACED
        if key is None or route.idempotent or is_placed:
            parts = self._parts(exchange, request)
            self._new_call(parts, route).begin()
            return
        facts = request.facts
        operation_id = OperationId(facts.account, facts.service, key)
        self.keyed_calls.begin(
            KeyedCall(exchange, request, route, operation_id),
        )

    def _parts(self, exchange: Exchange, request: CallRequest) -> CallParts:
        return CallParts(
            exchange=exchange,
            request=request,
            answer=HeldAnswer(exchange, self._reactor, self._hold),
            body=self._request_body(exchange),
            arrived_as=request.arrived_as,
        )

    def _new_call(self, parts: CallParts, route: Route) -> ForwardedCall:
        self._tools.metrics.calls_begun += 1
        self._budgets[route.service.name].record_call()
        call = ForwardedCall(self, parts, route)
        call.keep_deadline_timer(
            self._reactor.callLater(
                call.deadline_s - call.begun_s,
                call.deadline_passed,
            ),
        )
        return call

    def _request_body(self, exchange: Exchange) -> RequestBody:
        return RequestBody(
            chunked=exchange.head.content_length is None,
            max_kept_bytes=self._settings.replay_bytes,
            max_waiting_bytes=self._settings.chunk_buffer_bytes,
        )

    def _refuse(self, exchange: Exchange, reason: RefusalReason) -> None:
        self._tools.metrics.calls_begun += 1
        self._tools.metrics.refusals[reason] += 1
        refuse_exchange(exchange, Outcome.NOT_RUN, reason)
