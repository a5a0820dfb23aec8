"""Which VMs of a failure domain read the store."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class ReadSchedule:
    """How often the store is read, and when another VM takes over.

    Both are shares of the time within which a drain must be in force.
    """

    period_s: float
    stale_after_s: float


PERIOD_SHARE = 0.3
"""Period of reading as a share of the drain bound.

Three reads, one of them lost, fit into the bound.
"""

STALE_SHARE = 0.57
"""Age at which the next VM begins to read, as a share of the drain bound.

A period, a heartbeat of 0.25 s, a read and 0.2 s of lateness, with the
shortest bound known, 2 s. What is left of it, 0.86 s, is the take-over: a
look, a read, a heartbeat and a fetch, or a period of the next reader.
"""

MAX_RETRY_PAUSE_S = 2.0
"""Longest pause after failed reads, since refused calls are billed too."""


def new_read_schedule(drain_bound_s: float) -> ReadSchedule:
    """Return the pace that keeps a drain bound."""
    return ReadSchedule(
        PERIOD_SHARE * drain_bound_s, STALE_SHARE * drain_bound_s
    )


def is_reader(
    ranked: tuple[str, ...],
    own_name: str,
    read_ages_s: Mapping[str, float],
    schedule: ReadSchedule,
) -> bool:
    """Return whether this VM should read the store.

    The first in rank always reads; a later one only while what all before
    it have read is too old.
    """
    for name in ranked:
        if name == own_name:
            return True
        if read_ages_s.get(name, float('inf')) <= schedule.stale_after_s:
            return False
    return True


def retry_pause_s(failures: int, schedule: ReadSchedule) -> float:
    """Return the pause after some failed reads in a row."""
    return min(schedule.period_s * 2 ** max(failures - 2, 0), MAX_RETRY_PAUSE_S)
