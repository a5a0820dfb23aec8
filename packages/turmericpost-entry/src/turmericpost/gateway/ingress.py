"""Accepts calls, chooses their routes, and records how they end."""

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

CALLS_PER_LOG_SAMPLE = 8
"""Number of calls with a successful response of which one is logged.

The hash of the request id selects it, so that every VM logs the same ids.
"""

CALL_LINES_PER_S = 60
"""Maximum number of log lines about calls per second and VM: enough for all
failures on the heaviest days of the first deployments, at 0.5 kB a line."""

MAX_LOGGED_CHARACTERS = 128
"""Number of characters of a request id or host in a log line."""

_FIRST_FAILURE_STATUS = 500


class Ingress:
    """Starts calls, provides their permits, and records and logs their end.

    New calls are refused as not ready while ``refuses_calls`` returns true.
    ``retry_after_behind_s`` returns when calls without a known route should be
    retried, ``None`` if no other VM is known to have a newer configuration.
    """

    def __init__(
        self,
        reactor: Any,
        dependencies: AttemptDependencies,
        state: FleetState,
        permit_client: PermitClient,
        settings: GatewaySettings,
        metrics: GatewayMetrics,
    ) -> None:
        self.dependencies = dependencies
        self.reactor = reactor
        self.in_flight: set[GatewayCall] = set()
        self.refuses_calls: Callable[[], bool] = _never
        self.retry_after_behind_s: Callable[[], float | None] = _not_behind
        self._has_ended_waiting = False
        self._state = state
        self._permit_client = permit_client
        self._own_domain = settings.failure_domain
        self._domain_regions = settings.domain_regions
        self._metrics = metrics
        self._random = Random()
        self._demand = Demand()
        self._line_rate_limiter = LineRateLimiter(
            dependencies.clock, CALL_LINES_PER_S
        )

    def begin(self, exchange: Exchange) -> None:
        """Start a call, or refuse it at once."""
        head = self.dependencies.call_codec.read_call(exchange.head)
        reason = exchange.failure
        if reason is None and (
            self._state.config is None or self.refuses_calls()
        ):
            reason = RefusalReason.NOT_READY
        if reason is None:
            self._route(exchange, head)
        else:
            self._refuse(exchange, head, Refusal(reason))

    def end_waiting(self) -> None:
        """Fail all calls that are not at a server; start no attempts any more."""
        self._has_ended_waiting = True
        for call in tuple(self.in_flight):
            call.end_waiting()

    def current_demand(self) -> dict[str, float]:
        """Return recent work on calls of this VM, by route with home regions.

        Work is the time in seconds that backend servers spent on the calls.
        """
        now_s = self.dependencies.clock.monotonic_s()
        return self._demand.recent_work_s(
            self._state.routes.routes_with_home_regions(), now_s
        )

    def domains(self, context: CallContext) -> tuple[str, ...]:
        """Return the failure domains for the call in order of preference.

        There are none once calls may no longer wait.
        """
        if self._has_ended_waiting:
            return ()
        return domain_order(
            context.route,
            self._state.slots(context.service),
            self._domain_regions,
            self._own_domain,
            self._random.random(),
        )

    def request_permit(
        self, criteria: PermitCriteria, listener: PermitListener
    ) -> None:
        """Request a permit; the listener gets the reply."""
        self._permit_client.request_permit(criteria, listener)

    def cancel_permit_request(self, permit_request_id: str) -> None:
        """Cancel a pending permit request."""
        self._permit_client.cancel(permit_request_id)

    def forwarded_head(
        self,
        exchange: Exchange,
        backend_id: str,
        time_left_s: float,
    ) -> bytes:
        """Return the encoded request head to send to a backend server."""
        call_codec = self.dependencies.call_codec
        return call_codec.forwarded_head(exchange.head, backend_id, time_left_s)

    def call_completed(self, call: GatewayCall, status: int) -> None:
        """Count a call with a response; log it if it is sampled or failed.

        ``status`` is that of the backend server's response.
        """
        self._remove_in_flight(call)
        latency_s = self._age_s(call)
        now_s = self.dependencies.clock.monotonic_s()
        self._demand.record(call.context.route.name, latency_s, now_s)
        self._metrics.record_response(latency_s, status)
        sampled = not _hash_call_id(call.call_id) % CALLS_PER_LOG_SAMPLE
        if sampled or status >= _FIRST_FAILURE_STATUS:
            self._log(
                LogEvent.CALL_ENDED,
                status=status,
                **self._call_log_fields(call),
            )

    def call_refused(self, call: GatewayCall, refusal: Refusal) -> None:
        """Count and log a call that this VM refused or failed."""
        self._remove_in_flight(call)
        self._metrics.refusals[refusal.reason] += 1
        self._log(
            LogEvent.CALL_FAILED,
            status=refusal.status,
            reason=refusal.reason.value,
            retry_after_s=refusal.retry_after_s,
            **self._call_log_fields(call),
        )

    def call_cancelled(self, call: GatewayCall) -> None:
        """Count and log a call whose caller closed its connection."""
        self._remove_in_flight(call)
        self._metrics.refusals[RefusalReason.CALLER_GONE] += 1
        self._log(LogEvent.CALL_CANCELLED, **self._call_log_fields(call))

    def record_failed_attempt(self, cause: str) -> None:
        """Count an attempt that failed or got a server error, by its cause."""
        self._metrics.failed_attempts[cause] += 1

    def log_dropped_lines(self) -> None:
        """Log how many lines about calls the rate limit dropped.

        Only lines dropped since the last time are counted.
        """
        dropped_count = self._line_rate_limiter.pop_dropped_count()
        if dropped_count:
            log_event(LogEvent.LINES_LEFT_OUT, lines=dropped_count, of='calls')

    def _route(self, exchange: Exchange, head: CallHead) -> None:
        route = self._state.routes.find(head.host, head.path)
        if route is None:
            self._refuse(exchange, head, self._no_route())
            return
        call = GatewayCall(self, exchange, self._new_call_context(head, route))
        self._metrics.calls_started += 1
        self.in_flight.add(call)
        call.begin()

    def _no_route(self) -> Refusal:
        """Return the refusal of a call whose route is not known here.

        Callers do not come back after the status of an unknown service, so it
        is not given while others may know the route.
        """
        retry_after_s = self.retry_after_behind_s()
        if retry_after_s is None:
            return Refusal(RefusalReason.UNKNOWN_SERVICE)
        return Refusal(RefusalReason.STATE_BEHIND, retry_after_s)

    def _new_call_context(
        self, head: CallHead, route: OperatorRoute
    ) -> CallContext:
        now_s = self.dependencies.clock.monotonic_s()
        remaining_s = route.timeout_s
        if head.time_left_s is not None:
            remaining_s = min(remaining_s, head.time_left_s)
        return CallContext(
            call_id=head.call_id,
            route=route,
            service=route.pick_service(self._random.random()),
            arrived_s=now_s,
            objective_at_s=now_s + min(route.objective_s, remaining_s),
            deadline_at_s=now_s + remaining_s,
        )

    def _refuse(
        self,
        exchange: Exchange,
        head: CallHead,
        refusal: Refusal,
    ) -> None:
        self._metrics.calls_started += 1
        self._metrics.refusals[refusal.reason] += 1
        config = self._state.config
        self._log(
            LogEvent.CALL_FAILED,
            call=head.call_id[:MAX_LOGGED_CHARACTERS],
            host=head.host[:MAX_LOGGED_CHARACTERS],
            status=refusal.status,
            reason=refusal.reason.value,
            config=None if config is None else config.version,
        )
        refuse(exchange, refusal)

    def _remove_in_flight(self, call: GatewayCall) -> None:
        self.in_flight.discard(call)

    def _age_s(self, call: GatewayCall) -> float:
        return self.dependencies.clock.monotonic_s() - call.context.arrived_s

    def _call_log_fields(self, call: GatewayCall) -> dict[str, object]:
        """Return the log fields of a call: route, versions, age and steps."""
        config = self._state.config
        return {
            'call': call.call_id[:MAX_LOGGED_CHARACTERS],
            'route': call.context.route.name,
            'service': call.context.service,
            'ms': call.trail.age_ms(),
            'config': None if config is None else config.version,
            'backends': self._state.directory.logged_version,
            'trail': call.trail.steps(),
        }

    def _log(self, event: LogEvent, **fields: object) -> None:
        """Log a line about a call unless the rate limit is exceeded."""
        if self._line_rate_limiter.allow_line():
            log_event(event, **fields)


def _hash_call_id(call_id: str) -> int:
    return xxh32_intdigest(call_id.encode('utf-8'))


def _never() -> bool:
    return False


def _not_behind() -> None:
    """No other VM is known to have a newer configuration."""
