"""Logs changes of backend health, rate limits and brokers of pools."""

from __future__ import annotations

from dataclasses import replace

from turmericpost.fleet.peers import PeerProtocol
from turmericpost.gateway.broker_service import MAX_REPORT_AGE_S
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.clock import Clock
from turmericpost_core.grants.backend_state import (
    BackendHealth,
    BackendState,
    UseCounts,
)
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.permits import Pool
from turmericpost_core.grants.pool_lead import pool_subject

USE_LOG_INTERVAL_S = 4.0
"""Interval of the lines about the use of a server with a rate limit."""

_MS_PER_S = 1000


class BackendStatusLog:
    """Logs changes in backend health and pool brokers since the last check."""

    def __init__(
        self, clock: Clock, broker: Broker, peers: PeerProtocol
    ) -> None:
        self._clock = clock
        self._broker = broker
        self._peers = peers
        self._logged_health: dict[str, BackendHealth] = {}
        self._logged_brokers: dict[Pool, str] = {}
        self._logged_limits: dict[str, float] = {}
        self._logged_use: dict[str, tuple[float, UseCounts]] = {}

    def log_changes(self) -> None:
        """Log what has changed, and the use of servers with a rate limit.

        Only the failure domain of this VM is checked.
        """
        now_s = self._clock.monotonic_s()
        domain = self._peers.view.own.failure_domain
        pools: set[str] = set()
        for backend_state in self._broker.backend_states():
            if backend_state.backend.failure_domain == domain:
                self._log_health(backend_state, now_s)
                self._log_rate_limit(backend_state, now_s)
                pools.add(backend_state.backend.service)
        for service in sorted(pools):
            self._log_broker(service, domain, now_s)

    def _log_health(self, backend_state: BackendState, now_s: float) -> None:
        backend_id = backend_state.backend.backend_id
        health = backend_state.health(now_s)
        previous = self._logged_health.get(backend_id, BackendHealth.UNKNOWN)
        if health is previous:
            return
        self._logged_health[backend_id] = health
        log_event(
            LogEvent.BACKEND_CHANGED,
            backend=backend_id,
            service=backend_state.backend.service,
            was=previous.value,
            standing=health.value,
            report_ms=round(_report_age_s(backend_state, now_s) * _MS_PER_S),
            in_use=backend_state.in_use(now_s),
            failure_share=round(backend_state.failure_share, 2),
        )

    def _log_rate_limit(
        self, backend_state: BackendState, now_s: float
    ) -> None:
        backend_id = backend_state.backend.backend_id
        limit = self._broker.rate_limits.limit_of(backend_state.backend)
        previous = self._logged_limits.get(backend_id)
        if limit != previous:
            log_event(
                LogEvent.BACKEND_LIMIT_CHANGED,
                backend=backend_id,
                service=backend_state.backend.service,
                was=previous,
                requests_per_s=limit,
            )
        if limit is None:
            self._logged_limits.pop(backend_id, None)
            self._logged_use.pop(backend_id, None)
        else:
            self._logged_limits[backend_id] = limit
            self._log_use(backend_state, limit, now_s)

    def _log_use(
        self, backend_state: BackendState, limit: float, now_s: float
    ) -> None:
        """Log the attempts and probes since the last line, if any."""
        backend_id = backend_state.backend.backend_id
        counts = backend_state.use_counts
        since_s, logged = self._logged_use.setdefault(
            backend_id, (now_s, replace(counts))
        )
        if now_s - since_s < USE_LOG_INTERVAL_S:
            return
        self._logged_use[backend_id] = (now_s, replace(counts))
        if counts != logged:
            log_event(
                LogEvent.LIMITED_BACKEND_USED,
                backend=backend_id,
                requests_per_s=limit,
                within_s=round(now_s - since_s, 2),
                attempts=counts.attempts - logged.attempts,
                retries=counts.retries - logged.retries,
                probes=counts.probes - logged.probes,
            )

    def _log_broker(self, service: str, domain: str, now_s: float) -> None:
        subject = pool_subject(service, domain)
        broker = self._peers.view.ranked(subject, domain, now_s)[0].name
        previous = self._logged_brokers.get((service, domain))
        if broker != previous:
            self._logged_brokers[service, domain] = broker
            log_event(
                LogEvent.BROKER_CHANGED,
                service=service,
                domain=domain,
                was=previous,
                broker=broker,
            )


def _report_age_s(backend_state: BackendState, now_s: float) -> float:
    return min(now_s - backend_state.reported_s, MAX_REPORT_AGE_S)
