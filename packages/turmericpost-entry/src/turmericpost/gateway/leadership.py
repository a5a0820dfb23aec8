"""Checks whether this VM leads a pool.

VMs send permit requests to the leader first.
"""

from __future__ import annotations

from turmericpost_core.clock import Clock
from turmericpost_core.grants.permits import Pool
from turmericpost_core.membership.domain_view import DomainView

LEADERSHIP_CACHE_S = 0.1
"""Time for which results are cached. A broker checks several times in one
decision, and the loss of a VM is detected after a second at the earliest."""


class Leadership:
    """Checks whether this VM is the first in rank for a pool, with a cache."""

    def __init__(self, clock: Clock, view: DomainView) -> None:
        self._clock = clock
        self._view = view
        self._cached_leads: dict[Pool, bool] = {}
        self._cleared_s = float('-inf')

    def leads(self, pool: Pool) -> bool:
        """Return whether this VM is the first in rank for a pool."""
        now_s = self._clock.monotonic_s()
        if now_s - self._cleared_s > LEADERSHIP_CACHE_S:
            self._cleared_s = now_s
            self._cached_leads.clear()
        cached = self._cached_leads.get(pool)
        if cached is None:
            cached = self._is_first_in_rank(pool, now_s)
            self._cached_leads[pool] = cached
        return cached

    def _is_first_in_rank(self, pool: Pool, now_s: float) -> bool:
        service, domain = pool
        subject = f'{service}@{domain}'
        ranked = self._view.ranked(subject, domain, now_s)
        return ranked[0].name == self._view.own.name
