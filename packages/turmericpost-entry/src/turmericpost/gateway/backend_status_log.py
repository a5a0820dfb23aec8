"""Logs what the broker believes of servers, and who is broker, on change."""

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
    """Compares what is believed now with what was logged last."""

    def __init__(
        self, clock: Clock, broker: Broker, peers: PeerProtocol
    ) -> None:
        self._clock = clock
        self._broker = broker
        self._peers = peers
        self._standings: dict[str, BackendHealth] = {}
        self._brokers: dict[Pool, str] = {}

    def log_changes(self) -> None:
        """Log each server and pool whose state has changed."""
        now_s = self._clock.monotonic_s()
        domain = self._peers.view.own.failure_domain
        pools: set[str] = set()
        for use in self._broker.backend_states():
            if use.backend.failure_domain == domain:
                self._log_standing(use, now_s)
                pools.add(use.backend.service)
        for service in sorted(pools):
            self._log_broker(service, domain, now_s)

    def _log_standing(self, use: BackendState, now_s: float) -> None:
        backend_id = use.backend.backend_id
        standing = use.health(now_s)
        was = self._standings.get(backend_id, BackendHealth.UNKNOWN)
        if standing is was:
            return
        self._standings[backend_id] = standing
        log_event(
            LogEvent.BACKEND_CHANGED,
            backend=backend_id,
            service=use.backend.service,
            was=was.value,
            standing=standing.value,
            report_ms=round(_report_age_s(use, now_s) * _MS_PER_S),
            in_use=use.in_use(now_s),
            failure_share=round(use.failure_share, 2),
        )

    def _log_broker(self, service: str, domain: str, now_s: float) -> None:
        subject = f'{service}@{domain}'
        broker = self._peers.view.ranked(subject, domain, now_s)[0].name
        was = self._brokers.get((service, domain))
        if broker != was:
            self._brokers[service, domain] = broker
            log_event(
                LogEvent.BROKER_CHANGED,
                service=service,
                domain=domain,
                was=was,
                broker=broker,
            )


def _report_age_s(use: BackendState, now_s: float) -> float:
    return min(now_s - use.reported_s, MAX_REPORT_AGE_S)
