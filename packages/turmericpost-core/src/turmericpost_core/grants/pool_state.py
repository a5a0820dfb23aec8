"""Broker's state of one pool: its servers, queue and retry budget."""

from __future__ import annotations

from collections.abc import Iterable
from math import modf

from turmericpost_core.grants.backend_choice import Candidates
from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.limits import (
    MAX_PROBES_PER_DECISION,
    REDIRECT_FACTOR,
    RetryLimits,
    usable_slots,
)
from turmericpost_core.grants.permits import (
    DenialReason,
    PermitDenial,
    PermitRequest,
)
from turmericpost_core.grants.rate_share import AttemptPace
from turmericpost_core.grants.request_queue import RequestQueue
from turmericpost_core.grants.sliding_retry_budget import SlidingRetryBudget

REDIRECT_AFTER_S = 0.02
"""Wait after which a late request is redirected: one decision interval."""


MEASUREMENT_WAIT_SHARE = 0.1
"""Longest wait of a call that seems to take too long, as a share of its latency
objective. It is let in to measure its service time, not to be served late.
"""

RETURN_SPREAD_S = 1.0
"""Seconds over which callers come back after the end of a pause."""

_SPREAD_STEP = 0.618


class PoolState:
    """Backend servers, queued requests and retry budget of one pool."""

    def __init__(self, retry_limits: RetryLimits) -> None:
        self.backend_states: tuple[BackendState, ...] = ()
        self.queue = RequestQueue()
        self._retry_limits = retry_limits
        self._budget: SlidingRetryBudget | None = None
        self._denied_count = 0

    def install_backends(self, backend_states: Iterable[BackendState]) -> None:
        """Replace the backend servers."""
        self.backend_states = tuple(backend_states)

    def open_backends(self, now_s: float) -> list[BackendState]:
        """Return the servers that neither leave nor have asked for a pause."""
        return [
            server
            for server in self.backend_states
            if not server.is_closed(now_s)
        ]

    def retry_budget(self, now_s: float) -> SlidingRetryBudget:
        """Return the retry budget; it is created at the first use."""
        if self._budget is None:
            self._budget = SlidingRetryBudget(self._retry_limits, now_s)
        return self._budget

    def available_backends(
        self, now_s: float, cold_pace: AttemptPace
    ) -> list[BackendState]:
        """Return the servers that may take one more attempt."""
        return [
            server
            for server in self.backend_states
            if server.has_room(now_s, cold_pace)
        ]

    def lacks_reports(self, now_s: float, cold_pace: AttemptPace) -> bool:
        """Return whether a load report may make another server usable."""
        return any(
            server.lacks_report(now_s, cold_pace)
            for server in self.backend_states
        )

    def backends_to_probe(
        self, now_s: float, cold_pace: AttemptPace
    ) -> list[BackendState]:
        """Return the servers whose load reports are needed, least loaded first.

        At most ``MAX_PROBES_PER_DECISION`` servers are returned.
        """
        due = [
            server
            for server in self.backend_states
            if server.may_probe(now_s) and server.lacks_report(now_s, cold_pace)
        ]
        due.sort(key=lambda server: (server.in_use(now_s), server.probed_s))
        return due[:MAX_PROBES_PER_DECISION]

    def expected_wait_s(
        self,
        ahead: int,
        request: PermitRequest,
        now_s: float,
        cold_pace: AttemptPace,
    ) -> float:
        """Return the expected wait in seconds behind ``ahead`` requests.

        A server with a rate limit counts as the slots that its rate keeps busy,
        and so does a cold one. At least one server must be usable.
        """
        service_time_s = self.queue.mean_service_time_s(request)
        usable_backends = self._usable_backends(now_s, cold_pace)
        attempts_per_s = float(0)
        for server in usable_backends:
            limits_per_s = [float('inf')]
            if service_time_s:
                usable = usable_slots(server.backend.slots)
                limits_per_s.append(usable / service_time_s)
            if server.pacer.rate_per_s is not None:
                limits_per_s.append(server.pacer.rate_per_s)
            if server.is_cold(now_s):
                limits_per_s.append(cold_pace.per_s)
            attempts_per_s += min(limits_per_s)
        queue_wait_s = self.queue.wait_s(ahead, 1 / attempts_per_s, now_s)
        next_start_s = min(
            state.pacer.wait_s(now_s) for state in usable_backends
        )
        return max(queue_wait_s, next_start_s)

    def immediate_denial(
        self, request: PermitRequest, now_s: float, cold_pace: AttemptPace
    ) -> PermitDenial | None:
        """Return the denial of a request that should not be queued.

        Returns ``None`` if the expected wait and service time let the call
        end before its deadline; if the request may be redirected, before its
        latency objective. One call at a time is queued although its service
        time seems too long, to measure that; see ``ServiceTimes``.
        """
        denial = self._denial_if_unusable(request, now_s, cold_pace)
        if denial is not None:
            return denial
        queue = self.queue
        wait_s = self.expected_wait_s(len(queue), request, now_s, cold_pace)
        end_s = now_s + wait_s + queue.service_times.typical_s(request)
        if self._must_measure(request, now_s, wait_s):
            queue.begin_measurement(request, now_s)
            return None
        if request.may_redirect and end_s > request.objective_at_s:
            return PermitDenial(request, DenialReason.OTHER_DOMAIN)
        if end_s > request.deadline_at_s:
            return PermitDenial(request, DenialReason.OVERLOADED, wait_s)
        return None

    def denial_for_queued(
        self,
        request: PermitRequest,
        ahead: int,
        candidates: Candidates,
        now_s: float,
        cold_pace: AttemptPace,
    ) -> PermitDenial | None:
        """Return the denial of a queued request that should wait no longer.

        ``ahead`` is the number of requests in front of it. Returns ``None``
        if the request should keep waiting.
        """
        denial = self._denial_if_unusable(request, now_s, cold_pace)
        if denial is not None:
            return denial
        waited_s = now_s - request.requested_s
        if request.may_redirect and waited_s > REDIRECT_AFTER_S:
            if self.queue.is_late(request, now_s, REDIRECT_FACTOR):
                return PermitDenial(request, DenialReason.OTHER_DOMAIN)
        if not request.may_wait:
            if waited_s > 2 * REDIRECT_AFTER_S or candidates.can_deny_at_once(
                request
            ):
                return PermitDenial(request, DenialReason.OVERLOADED)
        wait_s = self.expected_wait_s(ahead, request, now_s, cold_pace)
        if self._is_hopeless(request, ahead, wait_s, now_s):
            return PermitDenial(request, DenialReason.OVERLOADED, wait_s)
        return None

    def _must_measure(
        self, request: PermitRequest, now_s: float, wait_s: float
    ) -> bool:
        """Return whether a request should measure its service time.

        Without that the estimate alone would deny or redirect it.
        """
        queue = self.queue
        bound_s = request.deadline_at_s
        if request.may_redirect:
            bound_s = min(bound_s, request.objective_at_s)
        is_refused = now_s + queue.service_times.typical_s(request) > bound_s
        if not is_refused or now_s + wait_s > bound_s:
            return False
        is_due = queue.service_times.must_measure(request, now_s)
        return is_due and not queue.has_measurement

    def _is_hopeless(
        self, request: PermitRequest, ahead: int, wait_s: float, now_s: float
    ) -> bool:
        """Return whether a queued request is not expected to end in time."""
        if self.queue.is_measurement(request):
            max_wait_s = MEASUREMENT_WAIT_SHARE * request.call_class.objective_s
            return now_s - request.requested_s > max_wait_s
        service_time_s = self.queue.service_times.typical_s(request)
        end_s = now_s + wait_s + service_time_s
        return bool(ahead) and end_s > request.deadline_at_s

    def _usable_backends(
        self, now_s: float, cold_pace: AttemptPace
    ) -> list[BackendState]:
        """Return the open servers of which this broker has a part."""
        return [
            server
            for server in self.open_backends(now_s)
            if server.pacer.rate_per_s != 0
            and (cold_pace.attempts or not server.is_cold(now_s))
        ]

    def _denial_if_unusable(
        self, request: PermitRequest, now_s: float, cold_pace: AttemptPace
    ) -> PermitDenial | None:
        """Return the denial while this broker may use no server.

        The time to retry is when the first pause or warm-up ends. It is
        spread, so that the callers do not all come back at that moment.
        """
        if self._usable_backends(now_s, cold_pace):
            return None
        is_closed = not self.open_backends(now_s)
        if not is_closed and request.may_redirect:
            return PermitDenial(request, DenialReason.OTHER_DOMAIN)
        usable_s = min(
            (server.usable_from_s(now_s) for server in self.backend_states),
            default=float('inf'),
        )
        reason = (
            DenialReason.NO_BACKEND if is_closed else DenialReason.OVERLOADED
        )
        if usable_s == float('inf'):
            return PermitDenial(request, reason)
        self._denied_count += 1
        spread_s = RETURN_SPREAD_S * modf(self._denied_count * _SPREAD_STEP)[0]
        return PermitDenial(request, reason, usable_s - now_s + spread_s)
