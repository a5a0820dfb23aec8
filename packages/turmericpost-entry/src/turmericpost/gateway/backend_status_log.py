"""Logs when the health of a backend server or the broker of a pool changes."""

from __future__ import annotations

from turmericpost.fleet.peers import PeerProtocol
from turmericpost.gateway.broker_service import MAX_REPORT_AGE_S
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.clock import Clock
from turmericpost_core.grants.backend_state import BackendHealth, BackendState
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.permits import Pool

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

    def log_changes(self) -> None:
        """Log each change in a backend server's health or a pool's broker.

        Only the failure domain of this VM is checked.
        """
        now_s = self._clock.monotonic_s()
        domain = self._peers.view.own.failure_domain
        pools: set[str] = set()
        for backend_state in self._broker.backend_states():
            if backend_state.backend.failure_domain == domain:
                self._log_health(backend_state, now_s)
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

    def _log_broker(self, service: str, domain: str, now_s: float) -> None:
        subject = f'{service}@{domain}'
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
