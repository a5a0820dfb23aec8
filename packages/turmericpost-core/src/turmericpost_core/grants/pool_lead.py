"""Part of a pool's shared limits that the rank of this VM allows.

VMs send permit requests to the first VM in rank, the leader of the pool, and
to the next one if the leader does not reply in time.
"""

from __future__ import annotations

from turmericpost_core.clock import Clock
from turmericpost_core.grants.permits import Pool
from turmericpost_core.membership.domain_view import DomainView

HANDOVER_S = 2.0
"""Seconds after the loss of a leader until the next VM takes its place.

What the lost leader granted in its last second is not known, so it counts as
used. The rest covers its permits that are still on their way. A heartbeat
period is added, since two VMs hear of the leader at different times.
"""

STANDBY_SHARE = 0.25
"""Share of the second VM in rank, which replaces a leader that is silent."""

CACHE_S = 0.1
"""Time for which results are cached. A broker checks several times in one
decision, and the loss of a VM is detected after a second at the earliest."""


class PoolLead:
    """Tells the share of pools that the rank of this VM allows, with a cache."""

    def __init__(self, clock: Clock, view: DomainView) -> None:
        self._clock = clock
        self._view = view
        self._cached_shares: dict[Pool, float] = {}
        self._cleared_s = float('-inf')

    def share(self, pool: Pool) -> float:
        """Return 1 for the leader of a pool, 0 for VMs that may use nothing.

        Pools of other failure domains are led by VMs of those domains only.
        """
        now_s = self._clock.monotonic_s()
        if now_s - self._cleared_s > CACHE_S:
            self._cleared_s = now_s
            self._cached_shares.clear()
        cached = self._cached_shares.get(pool)
        if cached is None:
            cached = self._share_at(pool, now_s)
            self._cached_shares[pool] = cached
        return cached

    def _share_at(self, pool: Pool, now_s: float) -> float:
        service, domain = pool
        if domain != self._view.own.failure_domain:
            return 0
        grace_s = HANDOVER_S + self._view.heartbeat_period_s
        rank = self._view.own_rank(
            pool_subject(service, domain), now_s, grace_s
        )
        return (1, STANDBY_SHARE)[rank] if rank < 2 else 0


def pool_subject(service: str, failure_domain: str) -> str:
    """Return the subject by which VMs are ranked for a pool."""
    return f'{service}@{failure_domain}'
