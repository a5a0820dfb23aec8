"""Logs on which pools this VM acts as a broker, and since when by which right.

A VM also grants permits without being the leader of a pool: requests come to
it if the leader does not reply, or if it knows no live VM of the domain.
"""

from __future__ import annotations

from collections import deque
from dataclasses import asdict, dataclass
from typing import TypeAlias

from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.grants.grant_observer import GrantTerms
from turmericpost_core.grants.permits import PermitRequest, Pool
from turmericpost_core.membership.domain_census import take_census
from turmericpost_core.membership.domain_view import DomainView

IDLE_AFTER_S = 5.0
"""Time without a grant after which a VM no longer counts as a pool's broker."""

MIN_SHARE_CHANGE = 0.1
"""Change of the share in force that is logged."""

MAX_LINES_PER_CHECK = 3
"""Lines written at each check; four checks a second."""

MAX_WAITING_LINES = 256
"""Lines kept for the next checks; those beyond are counted."""

_DIGITS = 3

_KeptLine: TypeAlias = tuple[float, dict[str, object]]


@dataclass(slots=True)
class _BrokeredPool:
    """Grants for a pool since its last line; ``terms`` are of that line."""

    terms: GrantTerms
    granted_s: float
    grants: int = 0
    without_lead: int = 0

    def is_changed(self, terms: GrantTerms) -> bool:
        """Return whether the right to grant has changed since the last line."""
        if terms.leads != self.terms.leads:
            return True
        return abs(terms.share - self.terms.share) >= MIN_SHARE_CHANGE


class BrokeredPools:
    """Pools for which this VM has recently granted permits."""

    def __init__(self, view: DomainView) -> None:
        self._view = view
        self._pools: dict[Pool, _BrokeredPool] = {}
        self._waiting: deque[_KeptLine] = deque()
        self._left_out = 0

    def record_grant(
        self, request: PermitRequest, terms: GrantTerms, now_s: float
    ) -> None:
        """Count a grant; keep a line if this VM's right to grant is new."""
        pool = self._pools.get(request.pool)
        if pool is None:
            pool = _BrokeredPool(terms, now_s)
            self._pools[request.pool] = pool
            self._keep_line('begun', request.pool, request.requester, now_s)
        elif pool.is_changed(terms):
            pool.terms = terms
            self._keep_line('changed', request.pool, request.requester, now_s)
        pool.granted_s = now_s
        pool.grants += 1
        pool.without_lead += not terms.leads

    def log_changes(self, now_s: float) -> None:
        """Write some of the kept lines, and end pools without grants."""
        for pool_id, pool in tuple(self._pools.items()):
            if now_s - pool.granted_s > IDLE_AFTER_S:
                self._keep_line('ended', pool_id, '', now_s)
                self._pools.pop(pool_id)
        for _ in range(min(len(self._waiting), MAX_LINES_PER_CHECK)):
            kept_s, fields = self._waiting.popleft()
            log_event(
                LogEvent.BROKERING_CHANGED,
                ago_s=round(now_s - kept_s, _DIGITS),
                **fields,
            )
        if self._left_out:
            log_event(
                LogEvent.LINES_LEFT_OUT, lines=self._left_out, of='brokering'
            )
            self._left_out = 0

    def gauges(self) -> dict[str, float]:
        """Return how many pools this VM brokers with and without the lead."""
        led = sum(pool.terms.leads for pool in self._pools.values())
        return {
            'pools_led': led,
            'pools_brokered_without_lead': len(self._pools) - led,
        }

    def _keep_line(
        self, change: str, pool_id: Pool, requester: str, now_s: float
    ) -> None:
        """Keep a line with the grants since the last line of the pool."""
        if len(self._waiting) >= MAX_WAITING_LINES:
            self._left_out += 1
            return
        pool = self._pools[pool_id]
        service, domain = pool_id
        census = take_census(self._view, domain, now_s)
        fields: dict[str, object] = {
            'change': change,
            'service': service,
            'domain': domain,
            'why': self._why(pool, domain, requester, census.heard),
            **_rounded(asdict(pool.terms)),
            **_rounded(asdict(census)),
            'grants': pool.grants,
            'without_lead': pool.without_lead,
        }
        pool.grants = 0
        pool.without_lead = 0
        self._waiting.append((now_s, fields))

    def _why(
        self,
        pool: _BrokeredPool,
        domain: str,
        requester: str,
        heard: int,
    ) -> str:
        own = self._view.own
        if not requester:
            return 'no-grants'
        if domain != own.failure_domain and not heard:
            return 'no-valid-digest'
        if pool.terms.leads:
            return 'first-in-rank'
        is_own = requester == own.name
        return 'others-silent' if is_own else 'asked-by-other-vm'


def _rounded(fields: dict[str, object]) -> dict[str, object]:
    return {
        name: round(field, _DIGITS) if isinstance(field, float) else field
        for name, field in fields.items()
    }
