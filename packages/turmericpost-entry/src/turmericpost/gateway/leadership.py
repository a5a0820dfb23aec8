"""Which pools this VM leads: calls turn to it first."""

from __future__ import annotations

from turmericpost_core.clock import Clock
from turmericpost_core.grants.permits import Pool
from turmericpost_core.membership.domain_view import DomainView

CHECK_S = 0.1
"""Time for which an answer holds: a broker asks several times a decision,
and a loss is noticed in a second at the earliest."""


class Leadership:
    """Answers whether this VM is the first in rank for a pool."""

    def __init__(self, clock: Clock, view: DomainView) -> None:
        self._clock = clock
        self._view = view
        self._leads: dict[Pool, bool] = {}
        self._asked_s = float('-inf')

    def leads(self, pool: Pool) -> bool:
        """Return whether this VM leads a pool."""
        now_s = self._clock.monotonic_s()
        if now_s - self._asked_s > CHECK_S:
            self._asked_s = now_s
            self._leads.clear()
        known = self._leads.get(pool)
        if known is None:
            known = self._is_first(pool, now_s)
            self._leads[pool] = known
        return known

    def _is_first(self, pool: Pool, now_s: float) -> bool:
        service, domain = pool
        subject = f'{service}@{domain}'
        ranked = self._view.ranked(subject, domain, now_s)
        return ranked[0].name == self._view.own.name
