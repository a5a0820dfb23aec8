"""Calls of this VM from their arrival: route, deadline, and what is noted."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from xxhash import xxh32_intdigest

from turmericpost.gateway.attempt import AttemptDependencies
from turmericpost.gateway.call import GatewayCall
from turmericpost.gateway.call_codec import CallHead
from turmericpost.gateway.gateway_metrics import GatewayMetrics
from turmericpost.gateway.permit_acquirer import CallContext
from turmericpost.gateway.permit_client import (
    PermitClient,
    PermitCriteria,
    PermitListener,
)
from turmericpost.gateway.refusals import Refusal, refuse
from turmericpost.gateway.settings import GatewaySettings
from turmericpost.http1.exchange import Exchange
from turmericpost.observe.events import LogEvent, log_event
from turmericpost.observe.line_rate_limiter import LineRateLimiter
from turmericpost_core.fleet.operator_config import OperatorRoute
from turmericpost_core.fleet.state import FleetState
from turmericpost_core.membership.demand import Demand
from turmericpost_core.outcome.reasons import RefusalReason
from turmericpost_core.routing.domain_order import domain_order

SAMPLED_ONE_IN = 8
"""Answered calls that are logged: the same ids on every VM."""

CALL_LINES_PER_S = 60
"""Lines about calls that one VM writes in a second at most: all failures of
the first deployments' heaviest days, at half a kilobyte a line."""

_FIRST_FAILURE_STATUS = 500


class Ingress:
    """Begins calls, and is their host."""

    def __init__(
        self,
        reactor: Any,
        tools: AttemptDependencies,
        state: FleetState,
        desk: PermitClient,
        settings: GatewaySettings,
        metrics: GatewayMetrics,
    ) -> None:
        self.tools = tools
        self.reactor = reactor
        self.in_flight: set[GatewayCall] = set()
        self.turns_away: Callable[[], bool] = _never
        self._state = state
        self._desk = desk
        self._own_domain = settings.failure_domain
        self._regions = settings.domain_regions
        self._metrics = metrics
        self._random = Random()
        self._demand = Demand()
        self._rate = LineRateLimiter(tools.clock, CALL_LINES_PER_S)

    def begin(self, exchange: Exchange) -> None:
        """Begin a call, or refuse it at once."""
        head = self.tools.call_codec.read_call(exchange.head)
        reason = exchange.failure
        if reason is None and (self._state.config is None or self.turns_away()):
            reason = RefusalReason.NOT_READY
        if reason is None:
            self._route(exchange, head)
        else:
            self._refuse(exchange, head, Refusal(reason))

    def demand_told(self) -> dict[str, float]:
        """Return the work of the routes with home regions."""
        now_s = self.tools.clock.monotonic_s()
        return self._demand.recent_work_s(
            self._state.routes.routes_with_home_regions(), now_s
        )

    def domains(self, facts: CallContext) -> tuple[str, ...]:
        """Return the failure domains to try, the nearest first."""
        return domain_order(
            facts.route,
            self._state.slots(facts.service),
            self._regions,
            self._own_domain,
            self._random.random(),
        )

    def ask(self, wish: PermitCriteria, taker: PermitListener) -> None:
        """Ask for a permit."""
        self._desk.ask(wish, taker)

    def cancel_ask(self, permit_request_id: str) -> None:
        """Take back an ask."""
        self._desk.cancel(permit_request_id)

    def onward_head(
        self,
        exchange: Exchange,
        backend_id: str,
        time_left_s: float,
    ) -> bytes:
        """Return the head as it goes to a backend server."""
        call_codec = self.tools.call_codec
        return call_codec.onward_head(exchange.head, backend_id, time_left_s)

    def call_answered(self, call: GatewayCall, status: int) -> None:
        """Note a call that got an answer of a backend server."""
        self._over(call)
        latency_s = self._age_s(call)
        now_s = self.tools.clock.monotonic_s()
        self._demand.record(call.facts.route.name, latency_s, now_s)
        self._metrics.record_answered(latency_s, status)
        sampled = not _point(call.call_id) % SAMPLED_ONE_IN
        if sampled or status >= _FIRST_FAILURE_STATUS:
            self._log(
                LogEvent.CALL_ENDED,
                status=status,
                **self._story(call),
            )

    def call_refused(self, call: GatewayCall, refusal: Refusal) -> None:
        """Note a call that got an answer of this VM."""
        self._over(call)
        self._metrics.refusals[refusal.reason] += 1
        self._log(
            LogEvent.CALL_FAILED,
            status=refusal.status,
            reason=refusal.reason.value,
            retry_after_s=refusal.retry_after_s,
            **self._story(call),
        )

    def call_cancelled(self, call: GatewayCall) -> None:
        """Note a call whose caller went away."""
        self._over(call)
        self._metrics.refusals[RefusalReason.CALLER_GONE] += 1
        self._log(LogEvent.CALL_CANCELLED, **self._story(call))

    def send_failed(self, cause: str) -> None:
        """Count a send without a whole answer."""
        self._metrics.sends_failed[cause] += 1

    def log_left_out(self) -> None:
        """Log how many lines of failed calls were left out."""
        dropped = self._rate.pop_dropped_count()
        if dropped:
            log_event(LogEvent.LINES_LEFT_OUT, lines=dropped, of='calls')

    def _route(self, exchange: Exchange, head: CallHead) -> None:
        route = self._state.routes.find(head.host, head.path)
        if route is None:
            unknown = Refusal(RefusalReason.UNKNOWN_SERVICE)
            self._refuse(exchange, head, unknown)
            return
        call = GatewayCall(self, exchange, self._facts(head, route))
        self._metrics.calls_begun += 1
        self.in_flight.add(call)
        call.begin()

    def _facts(self, head: CallHead, route: OperatorRoute) -> CallContext:
        now_s = self.tools.clock.monotonic_s()
        left_s = route.timeout_s
        if head.time_left_s is not None:
            left_s = min(left_s, head.time_left_s)
        return CallContext(
            call_id=head.call_id,
            route=route,
            service=route.pick_service(self._random.random()),
            arrived_s=now_s,
            objective_at_s=now_s + min(route.objective_s, left_s),
            deadline_at_s=now_s + left_s,
        )

    def _refuse(
        self,
        exchange: Exchange,
        head: CallHead,
        refusal: Refusal,
    ) -> None:
        self._metrics.calls_begun += 1
        self._metrics.refusals[refusal.reason] += 1
        config = self._state.config
        self._log(
            LogEvent.CALL_FAILED,
            call=head.call_id,
            host=head.host,
            status=refusal.status,
            reason=refusal.reason.value,
            config=None if config is None else config.version,
        )
        refuse(exchange, refusal)

    def _over(self, call: GatewayCall) -> None:
        self.in_flight.discard(call)

    def _age_s(self, call: GatewayCall) -> float:
        return self.tools.clock.monotonic_s() - call.facts.arrived_s

    def _story(self, call: GatewayCall) -> dict[str, object]:
        """Return what decided a call: ids, inputs and their age."""
        config = self._state.config
        return {
            'call': call.call_id,
            'route': call.facts.route.name,
            'service': call.facts.service,
            'ms': call.trail.age_ms(),
            'config': None if config is None else config.version,
            'backends': self._state.directory.version,
            'trail': call.trail.steps(),
        }

    def _log(self, event: LogEvent, **fields: object) -> None:
        """Log a line about a call unless there were too many."""
        if self._rate.allow_line():
            log_event(event, **fields)


def _point(call_id: str) -> int:
    return xxh32_intdigest(call_id.encode('utf-8'))


def _never() -> bool:
    return False
