"""Which backend server a call gets, of those that have room."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from turmericpost_core.grants.backend_use import BackendUse
from turmericpost_core.grants.limits import (
    SLOW_WAIT_S,
    USUAL_SPEED_PERCENT,
)
from turmericpost_core.grants.permits import Ask

_SICK_FAILURE_SHARE = 0.25
"""Share of failed sends above which a server comes after all others."""


def in_preference(
    uses: Iterable[BackendUse],
    now_s: float,
) -> list[BackendUse]:
    """Return servers whose report is current, the best first."""
    fresh = [use for use in uses if use.is_fresh(now_s)]
    fresh.sort(key=lambda use: _preference(use, now_s))
    return fresh


def choose_use(
    takers: Sequence[BackendUse],
    ask: Ask,
    usual_s: float,
    now_s: float,
) -> BackendUse | None:
    """Return the first server not excluded by an ask, if it is good enough.

    A slow one is if the call is in time there, or has waited for long.
    """
    fit = (use for use in takers if use.backend.backend_id not in ask.excluded)
    best = next(fit, None)
    if best is None:
        return None
    end_s = now_s + usual_s * best.work_factor(now_s)
    is_fast = best.slowness_percent <= USUAL_SPEED_PERCENT
    if is_fast or end_s <= ask.objective_at_s:
        return best
    waited_s = now_s - ask.arrived_s
    if waited_s > SLOW_WAIT_S and end_s <= ask.deadline_at_s:
        return best
    return None


def _preference(use: BackendUse, now_s: float) -> tuple[bool, float, float]:
    share = use.in_use(now_s) / use.backend.slots
    is_failing = use.failure_share > _SICK_FAILURE_SHARE
    is_sick = is_failing or not use.is_healthy
    return is_sick, use.work_factor(now_s), share
