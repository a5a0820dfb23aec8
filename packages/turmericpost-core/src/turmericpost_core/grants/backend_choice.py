"""Which backend server a call gets, of those that have room."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.limits import (
    SLOW_WAIT_S,
    USUAL_SPEED_PERCENT,
)
from turmericpost_core.grants.permits import PermitRequest

_SICK_FAILURE_SHARE = 0.25
"""Share of failed sends above which a server comes after all others."""


@dataclass(frozen=True)
class Takers:
    """Servers that may take a call now, the best first.

    ``has_fast`` says whether any server of their pool is fast, with room or
    without, ``has_stale`` whether one with room has no current report.
    """

    uses: tuple[BackendState, ...]
    has_fast: bool
    has_stale: bool

    def is_final(self, request: PermitRequest) -> bool:
        """Return whether an ask that found no server need not look again.

        A call that looks for its first server goes on to other domains; one
        that is at work or was sent before has time for another look.
        """
        return not (self.has_stale or request.is_retry)

    def first(self, excluded: frozenset[str]) -> BackendState | None:
        """Return the best server that is not excluded."""
        for use in self.uses:
            if use.backend.backend_id not in excluded:
                return use
        return None


def takers_of(
    pool: Iterable[BackendState],
    with_room: Iterable[BackendState],
    now_s: float,
) -> Takers:
    """Return the servers whose report is current, in order of preference."""
    roomy = tuple(with_room)
    fresh = [use for use in roomy if use.is_fresh(now_s)]
    fresh.sort(key=lambda use: _preference(use, now_s))
    has_fast = any(use.is_fast(now_s) for use in pool)
    return Takers(tuple(fresh), has_fast, len(fresh) < len(roomy))


def choose_use(
    takers: Takers,
    request: PermitRequest,
    usual_s: float,
    now_s: float,
) -> BackendState | None:
    """Return the first server not excluded by an ask, if it is good enough.

    A slow one is if the call is in time there, or if it has waited for long
    in a pool without a fast one. Else its slot does more for the next call,
    once the server is fast again.
    """
    best = takers.first(request.excluded)
    if best is None:
        return None
    end_s = now_s + usual_s * best.work_factor(now_s)
    is_fast = best.slowness_percent <= USUAL_SPEED_PERCENT
    if is_fast or end_s <= request.objective_at_s:
        return best
    waited_s = now_s - request.arrived_s
    is_last_resort = waited_s > SLOW_WAIT_S and not takers.has_fast
    if is_last_resort and end_s <= request.deadline_at_s:
        return best
    return None


def _preference(use: BackendState, now_s: float) -> tuple[bool, float, float]:
    share = use.in_use(now_s) / use.backend.slots
    is_failing = use.failure_share > _SICK_FAILURE_SHARE
    is_sick = is_failing or not use.is_healthy
    return is_sick, use.work_factor(now_s), share
