"""Selection of the VM that reads the store, and its read schedule."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class ReadSchedule:
    """Period of store reads, and read age at which another VM takes over.

    Both are in seconds and follow from the drain bound, the time within which
    a drain must take effect on every VM. ``watch_wait_s`` is the time for
    which a read waits for records of the operator; it follows from the time
    within which a configuration must be in force, as does ``behind_after_s``,
    the time without newer state after which a VM counts as behind. It then reads
    the store itself, after another ``spread_s`` seconds at most. A VM that lacks
    a configuration for ``outdated_after_s`` may not accept new callers.
    """

    period_s: float
    stale_after_s: float
    watch_wait_s: float
    behind_after_s: float
    spread_s: float
    outdated_after_s: float


PERIOD_SHARE = 0.3
"""Period of store reads as a share of the drain bound.

Three reads fit into the bound, so that one of them may fail.
"""

STALE_SHARE = 0.57
"""Read age at which the next VM takes over, as a share of the drain bound.

With the shortest known bound of 2 s it covers a period, a heartbeat of
0.25 s, a read and a delay of 0.2 s. The remaining 0.86 s are for the
take-over: either a check, a read, a heartbeat and a fetch, or a period of the
next reader.
"""

WATCH_WAIT_SHARE = 0.55
"""Longest wait for operator records as a share of the configuration bound.

A connection that has gone silent is noticed only when the response to the
waiting read is missing. The rest of the bound is for the timeout of the
response, another read and the updates of the other VMs.
"""

BEHIND_SHARE = 0.2
"""Time without newer state after which a VM counts as behind, as a share of
the configuration bound. Updates from other VMs take a tenth of it at most.
"""

SPREAD_SHARE = 0.1
"""Time over which the reads of VMs that are behind are spread, as a share of
the configuration bound.
"""

MAX_RETRY_PAUSE_S = 2.0
"""Maximum pause after failed reads of VMs that are not the first to read.

Reads back off because rejected store requests are billed, too, and all VMs read
while the store is away. The first one does not, so that it notices the end of
an outage within a period.
"""


def new_read_schedule(
    drain_bound_s: float, config_bound_s: float
) -> ReadSchedule:
    """Return the schedule that meets a drain and a configuration bound."""
    return ReadSchedule(
        period_s=PERIOD_SHARE * drain_bound_s,
        stale_after_s=STALE_SHARE * drain_bound_s,
        watch_wait_s=WATCH_WAIT_SHARE * config_bound_s,
        behind_after_s=BEHIND_SHARE * config_bound_s,
        spread_s=SPREAD_SHARE * config_bound_s,
        outdated_after_s=config_bound_s,
    )


def is_reader(
    ranked: tuple[str, ...],
    own_name: str,
    read_ages_s: Mapping[str, float],
    schedule: ReadSchedule,
) -> bool:
    """Return whether this VM should read the store.

    ``ranked`` are the names of the domain's VMs in order of rank,
    ``read_ages_s`` maps them to the ages of their last reads. The first VM
    always reads. A later one reads only while the reads of all VMs before it
    are stale.
    """
    for name in ranked:
        if name == own_name:
            return True
        if read_ages_s.get(name, float('inf')) <= schedule.stale_after_s:
            return False
    return True


def retry_pause_s(failures: int, schedule: ReadSchedule) -> float:
    """Return the pause in seconds after a number of consecutive failures."""
    return min(schedule.period_s * 2 ** max(failures - 2, 0), MAX_RETRY_PAUSE_S)
