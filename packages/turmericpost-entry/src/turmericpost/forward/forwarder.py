"""Routes calls, queues them, and controls retries and relays."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TypeAlias

from twisted.internet.interfaces import IReactorTime

from turmericpost.forward.attempt import AttemptDependencies
from turmericpost.forward.buffered_response import (
    BufferedResponse,
    BufferLimits,
)
from turmericpost.forward.call import ForwardedCall
from turmericpost.forward.call_facts import CallRequest, parse_call_head
from turmericpost.forward.call_parts import CallInputs
from turmericpost.forward.call_queue import CallQueue
from turmericpost.forward.claims import KeyClaims
from turmericpost.forward.keyed_calls import (
    KeyedCall,
    KeyedCallContext,
    KeyedCalls,
)
from turmericpost.forward.observer import CallObserver
from turmericpost.forward.operations import KeyedOperations
from turmericpost.forward.refusals import send_refusal
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

_RELAYED_FOR_PLACEMENT = frozenset((RelayKind.PASSED, RelayKind.OFFERED))

WELL_KNOWN_PREFIX = b'/.well-known/turmericpost/'

WellKnownHandler: TypeAlias = Callable[[Exchange], None]


class Forwarder:
    """Forwards the calls of one entry VM."""

    def __init__(
        self,
        reactor: IReactorTime,
        settings: ForwardSettings,
        dependencies: AttemptDependencies,
        handle_well_known: WellKnownHandler,
        keyed_call_context: KeyedCallContext,
        key_claims: KeyClaims,
    ) -> None:
        self.key_claims = key_claims
        self._reactor = reactor
        self._settings = settings
        self._dependencies = dependencies
        self._handle_well_known = handle_well_known
        self.operations = KeyedOperations(
            reactor,
            OperationTable(settings.max_operations),
            dependencies.metrics,
        )
        self.keyed_calls = KeyedCalls(
            keyed_call_context,
            self.operations,
            key_claims,
            self,
        )
        self._table: RoutingTable | None = None
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._queue = CallQueue(
            reactor,
            dependencies,
            keyed_call_context.own_name,
            keyed_call_context.find_vm,
        )
        self._buffer_limits = BufferLimits(
            settings.hold_bytes, settings.hold_ms
        )

    @property
    def table(self) -> RoutingTable | None:
        """Current routing table, ``None`` before the first revision."""
        return self._table

    def install(self, table: RoutingTable) -> None:
        """Apply a new routing table to balancer, pool, budgets and queue."""
        self._table = table
        self._dependencies.balancer.install(table)
        document = table.document
        self._dependencies.pool.retain(
            {backend.address for backend in document.backend_servers},
        )
        budget = RetryBudgetSettings(
            document.limits.retry_ratio,
            document.limits.retry_burst,
        )
        self._retry_budgets = {
            service.name: RetryBudget(budget) for service in document.services
        }
        self._queue.install(table)

    def begin(self, exchange: Exchange) -> None:
        """Handle a request whose head has been received."""
        failure = exchange.failure
        if failure:
            self._refuse(exchange, failure)
        elif exchange.head.target.startswith(WELL_KNOWN_PREFIX):
            self._handle_well_known(exchange)
        else:
            self._begin_call(exchange)

    def now_s(self) -> float:
        """Return the current time in monotonic seconds."""
        return self._dependencies.clock.monotonic_s()

    def dispatch(self, call: ForwardedCall) -> None:
        """Start an attempt, or relay, refuse or queue the call.

        A queued call waits for a free slot.
        """
        self._queue.dispatch(call)

    def stop_waiting(self, call: ForwardedCall) -> None:
        """Remove a call from the queue."""
        self._queue.stop_waiting(call)

    def slot_freed(self, service: str) -> None:
        """Start queued calls of a service that has a free slot."""
        self._queue.slot_freed(service)

    def may_retry(self, call: ForwardedCall) -> bool:
        """Return whether the attempt limit and retry budget allow a retry."""
        if call.attempts >= self._settings.max_attempts:
            return False
        budget = self._retry_budgets.get(call.route.service.name)
        return budget is not None and budget.has_token

    def record_retry(self, call: ForwardedCall, reason: RetryReason) -> None:
        """Count a retry and deduct it from the retry budget."""
        self._dependencies.metrics.retries[reason] += 1
        self._retry_budgets[call.route.service.name].spend()

    def record_completed(self, call: ForwardedCall) -> None:
        """Count a call that received a complete response."""
        self._dependencies.metrics.record_call(self.now_s() - call.begun_s)

    def record_refused(
        self,
        call: ForwardedCall,
        outcome: Outcome,
        reason: RefusalReason,
    ) -> None:
        """Count and log a call that ended without a complete response."""
        self._dependencies.metrics.refusals[reason] += 1
        log_event(
            LogEvent.CALL_REFUSED,
            service=call.request.facts.service,
            outcome=outcome.value,
            reason=reason.value,
        )

    def run_keyed_call(self, call: KeyedCall, observer: CallObserver) -> None:
        """Run a keyed call at a backend server and report to its observer."""
        inputs = self._call_inputs(call.exchange, call.request)
        observed_inputs = replace(inputs, observer=observer)
        self._new_call(observed_inputs, call.route).begin()

    def relay_keyed_call(self, call: KeyedCall, owner: VmRecord) -> None:
        """Relay a keyed call to the entry VM that owns its key."""
        inputs = self._call_inputs(call.exchange, call.request)
        self._new_call(inputs, call.route).begin_at_key_owner(owner)

    def relay_to_key_owner(self, call: ForwardedCall, owner: VmRecord) -> None:
        """Relay a call to the VM that owns its operation key."""
        self._queue.relay(call, owner, RelayKind.KEY)

    def offer_accepted(self, call: ForwardedCall) -> None:
        """Record that another VM accepted an offered call."""
        self._queue.offer_accepted(call)

    def relay_declined(
        self,
        call: ForwardedCall,
        kind: RelayKind | None,
    ) -> None:
        """Dispatch a relayed call again after the other VM declined it."""
        if kind is RelayKind.OFFERED:
            self._queue.offer_refused(call)
        else:
            self._queue.dispatch(call)

    def own(self, ownership: Ownership) -> None:
        """Apply a change of the ownership of backend servers to the queue."""
        self._queue.update_ownership(ownership)

    def _begin_call(self, exchange: Exchange) -> None:
        parsed = parse_call_head(exchange.head)
        if parsed.is_err():
            self._refuse(exchange, parsed.unwrap_err())
            return
        request = parsed.unwrap()
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
        is_relayed_for_placement = (
            request.incoming_relay_kind in _RELAYED_FOR_PLACEMENT
        )
        if key is None or route.idempotent or is_relayed_for_placement:
            inputs = self._call_inputs(exchange, request)
            self._new_call(inputs, route).begin()
            return
        facts = request.facts
        operation_id = OperationId(facts.account, facts.service, key)
        self.keyed_calls.begin(
            KeyedCall(exchange, request, route, operation_id),
        )

    def _call_inputs(
        self, exchange: Exchange, request: CallRequest
    ) -> CallInputs:
        return CallInputs(
            exchange=exchange,
            request=request,
            response=BufferedResponse(
                exchange, self._reactor, self._buffer_limits
            ),
            body=self._request_body(exchange),
            incoming_relay_kind=request.incoming_relay_kind,
        )

    def _new_call(self, inputs: CallInputs, route: Route) -> ForwardedCall:
        self._dependencies.metrics.calls_begun += 1
        self._retry_budgets[route.service.name].record_call()
        call = ForwardedCall(self, inputs, route)
        call.attach_deadline_timer(
            self._reactor.callLater(
                call.deadline_s - call.begun_s,
                call.deadline_passed,
            ),
        )
        return call

    def _request_body(self, exchange: Exchange) -> RequestBody:
        return RequestBody(
            chunked=exchange.head.content_length is None,
            max_replay_bytes=self._settings.replay_bytes,
            max_unsent_bytes=self._settings.chunk_buffer_bytes,
        )

    def _refuse(self, exchange: Exchange, reason: RefusalReason) -> None:
        self._dependencies.metrics.calls_begun += 1
        self._dependencies.metrics.refusals[reason] += 1
        send_refusal(exchange, Outcome.NOT_RUN, reason)
