"""Logs and counts denials and the permits for cold servers."""

from __future__ import annotations

from math import isfinite

from turmericpost.gateway.brokered_pools import BrokeredPools
from turmericpost.gateway.gateway_metrics import GatewayMetrics
from turmericpost.observe.events import LogEvent, log_event
from turmericpost.observe.line_rate_limiter import LineRateLimiter
from turmericpost_core.clock import Clock
from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.grant_observer import DenialBasis, GrantTerms
from turmericpost_core.grants.permits import (
    DenialReason,
    PermitDenial,
    PermitGrant,
)
from turmericpost_core.membership.domain_view import DomainView

COLD_PERMIT_LINES_PER_S = 50
"""Maximum lines a second about permits for cold servers."""

FOUND_COLD_LINES_PER_S = 20
"""Maximum lines a second about servers that turned out to be cold."""

DENIAL_LINES_PER_S = 2
"""Maximum lines a second about denials; all are counted."""

_DIGITS = 3


class GrantLog:
    """Observer of the broker that logs and counts.

    Only a permit for a server that may be cold gets a line of its own. Of denials
    a few lines a second tell on what they were based.
    """

    def __init__(
        self, clock: Clock, view: DomainView, metrics: GatewayMetrics
    ) -> None:
        self._clock = clock
        self._own_domain = view.own.failure_domain
        self._metrics = metrics
        self._brokered_pools = BrokeredPools(view)
        self._limiters = {
            'cold-permits': LineRateLimiter(clock, COLD_PERMIT_LINES_PER_S),
            'found-cold': LineRateLimiter(clock, FOUND_COLD_LINES_PER_S),
            'denials': LineRateLimiter(clock, DENIAL_LINES_PER_S),
        }

    def permit_granted(
        self,
        grant: PermitGrant,
        server: BackendState,
        terms: GrantTerms,
        now_s: float,
    ) -> None:
        """Count a grant; log it if the server may be cold."""
        self._brokered_pools.record_grant(grant.request, terms, now_s)
        if server.may_be_cold(now_s):
            attempts = server.attempts_in_last_s(now_s)
            self._count_cold_permit(server, terms, attempts)
            if self._limiters['cold-permits'].allow_line():
                _log_cold_permit(grant, server, terms, attempts, now_s)

    def request_denied(
        self, denial: PermitDenial, basis: DenialBasis, now_s: float
    ) -> None:
        """Count a denial; log some of those that are no referrals."""
        self._metrics.permit_denials[denial.reason] += 1
        is_referral = denial.reason is DenialReason.OTHER_DOMAIN
        if not is_referral and self._limiters['denials'].allow_line():
            _log_denial(denial, basis, now_s)

    def found_cold(self, server: BackendState, now_s: float) -> None:
        """Count and log a server that was believed to be warm."""
        self._metrics.servers_found_cold += 1
        if self._limiters['found-cold'].allow_line():
            log_event(
                LogEvent.SERVER_FOUND_COLD,
                backend=server.backend.backend_id,
                service=server.backend.service,
                domain=server.backend.failure_domain,
                attempts=server.attempts_since_warm_report,
                attempts_in_s=server.attempts_in_last_s(now_s),
                warm_report_s=_warm_report_age_s(server, now_s),
            )

    def log_changes(self) -> None:
        """Log the pools that this VM began or ended to broker.

        Also logs how many lines the rate limits dropped.
        """
        self._brokered_pools.log_changes(self._clock.monotonic_s())
        for kind, limiter in self._limiters.items():
            dropped_count = limiter.pop_dropped_count()
            if dropped_count:
                log_event(LogEvent.LINES_LEFT_OUT, lines=dropped_count, of=kind)

    def gauges(self) -> dict[str, float]:
        """Return the gauges about grants."""
        return {
            **self._brokered_pools.gauges(),
            'cold_permits_in_s_max': self._metrics.max_cold_permits_in_s,
        }

    def _count_cold_permit(
        self, server: BackendState, terms: GrantTerms, attempts: int
    ) -> None:
        metrics = self._metrics
        is_own_domain = server.backend.failure_domain == self._own_domain
        lead = 'lead' if terms.leads else 'no-lead'
        metrics.cold_permits[
            lead if is_own_domain else f'other-domain-{lead}'
        ] += 1
        metrics.max_cold_permits_in_s = max(
            metrics.max_cold_permits_in_s, attempts
        )


def _log_cold_permit(
    grant: PermitGrant,
    server: BackendState,
    terms: GrantTerms,
    attempts: int,
    now_s: float,
) -> None:
    log_event(
        LogEvent.COLD_PERMIT_GRANTED,
        backend=server.backend.backend_id,
        service=server.backend.service,
        domain=server.backend.failure_domain,
        permit=grant.permit_id,
        request=grant.request.permit_request_id,
        is_known_cold=server.is_cold(now_s),
        is_retry=grant.request.is_retry,
        attempts_in_s=attempts,
        allowed_in_s=terms.allowed_in_s,
        cold_per_s=round(terms.cold_per_s, _DIGITS),
        share=round(terms.share, _DIGITS),
        leads=terms.leads,
        warm_report_s=_warm_report_age_s(server, now_s),
    )


def _log_denial(denial: PermitDenial, basis: DenialBasis, now_s: float) -> None:
    request = denial.request
    log_event(
        LogEvent.PERMIT_DENIED,
        request=request.permit_request_id,
        service=request.service,
        domain=request.failure_domain,
        reason=denial.reason.value,
        objective_in_s=round(request.objective_at_s - now_s, _DIGITS),
        deadline_in_s=round(request.deadline_at_s - now_s, _DIGITS),
        service_time_s=round(basis.service_time_s, _DIGITS),
        queued=basis.queued,
        servers_with_room=basis.with_room,
    )


def _warm_report_age_s(server: BackendState, now_s: float) -> float | None:
    age_s = server.warm_report_age_s(now_s)
    return round(age_s, _DIGITS) if isfinite(age_s) else None
