"""Choice of a backend server for a permit request."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.limits import (
    MAX_FAST_SLOWNESS_PERCENT,
    SLOW_SERVER_WAIT_S,
)
from turmericpost_core.grants.permits import PermitRequest

_MAX_FAILURE_SHARE = 0.25
"""Share of failed attempts above which a server is ranked last."""


@dataclass(frozen=True)
class Candidates:
    """Backend servers that may take an attempt now, best first.

    ``has_fast_server`` tells whether any server of the pool, available or
    not, was recently fast. ``lacks_reports`` tells whether servers were left
    out that a load report may make usable.
    """

    servers: tuple[BackendState, ...]
    has_fast_server: bool
    lacks_reports: bool

    def can_deny_at_once(self, request: PermitRequest) -> bool:
        """Return whether a request that got no server can be denied at once.

        A first attempt can be sent to another failure domain. A retry or a
        hedged attempt waits for the next decision, and so does any request
        while a missing report may hide a suitable server.
        """
        return not (self.lacks_reports or request.is_retry)

    def best_allowed(self, excluded: frozenset[str]) -> BackendState | None:
        """Return the best server that is not excluded."""
        for server in self.servers:
            if server.backend.backend_id not in excluded:
                return server
        return None


def rank_candidates(
    pool: Iterable[BackendState],
    with_room: Iterable[BackendState],
    now_s: float,
    *,
    lacks_reports: bool = False,
) -> Candidates:
    """Return the available servers with a current report, best first.

    ``pool`` holds all servers of the pool, ``with_room`` those that may get
    one more attempt now.
    """
    fresh = [server for server in with_room if server.is_report_fresh(now_s)]
    fresh.sort(key=lambda server: _preference(server, now_s))
    has_fast_server = any(server.was_recently_fast(now_s) for server in pool)
    return Candidates(tuple(fresh), has_fast_server, lacks_reports)


def choose_backend(
    candidates: Candidates,
    request: PermitRequest,
    typical_service_time_s: float,
    now_s: float,
) -> BackendState | None:
    """Return the best server that a request does not exclude, if suitable.

    A fast server is always suitable. A slow one is suitable if the call
    would still meet its latency objective there, or if it has waited for
    ``SLOW_SERVER_WAIT_S`` in a pool without a fast server and would meet its
    deadline. Otherwise the slot is better kept for a later call, when the
    server is fast again.
    """
    best = candidates.best_allowed(request.excluded)
    if best is None:
        return None
    end_s = now_s + typical_service_time_s * best.slowdown_factor(now_s)
    is_fast = best.slowness_percent <= MAX_FAST_SLOWNESS_PERCENT
    if is_fast or end_s <= request.objective_at_s:
        return best
    waited_s = now_s - request.arrived_s
    is_last_resort = (
        waited_s > SLOW_SERVER_WAIT_S and not candidates.has_fast_server
    )
    if is_last_resort and end_s <= request.deadline_at_s:
        return best
    return None


def _preference(
    server: BackendState, now_s: float
) -> tuple[bool, float, float]:
    slot_share = server.in_use(now_s) / server.backend.slots
    is_failing = server.failure_share > _MAX_FAILURE_SHARE
    is_unreliable = is_failing or server.rejects_all or not server.is_healthy
    return is_unreliable, server.slowdown_factor(now_s), slot_share
