"""Figures that bound how backend servers are used."""

from __future__ import annotations

from dataclasses import dataclass

KNEE_SHARE = 0.8
"""Share of its slots above which a server slows down.

Read off servers of the first deployments, whose work takes 1.7 times as long
with all slots in use: three slots then finish less than two.
"""

FRESH_REPORT_S = 0.06
"""Age up to which a load report is taken as current.

A fifth of the 300 ms after which shared machines change their speed.
"""

PROBE_GAP_S = 0.05
"""Shortest time between two probes of a server; the bound is 60 a second."""

PROBE_TIMEOUT_S = 0.25
"""Silence after which a probe counts as failed: 40 times a usual probe."""

USUAL_SPEED_PERCENT = 160
"""Slowness up to which a server counts as fast; 100 is its usual speed."""

WARM_REPORT_S = 1.5
"""Age up to which a report that says warm lifts the pace of a cold server."""

SLOW_WAIT_S = 0.35
"""Wait after which a slow server is taken in a pool without a fast one.

Machines change their speed about every 300 ms; when none became fast within
that time, the wait is not worth more.
"""

FAST_MEMORY_S = 1.0
"""Age up to which a report tells that a pool has a fast server: three times
the pause in which machines change their speed."""

IN_TIME_FACTOR = 1.4
"""How many times the usual work must fit before the objective for a call to
count as still in time: nine in ten calls of the first deployments need less.

Calls in time go first, the oldest in front. Counted with their mean work, the
ones in front of a long queue would be those of which half end late.
"""

LEAVE_FACTOR = 2.0
"""The same for staying in the nearest failure domain, whose bytes are free.

What is above the factor for being in time is the way to another domain and
the question whether it has a fast server: half of the usual work.
"""

FOREIGN_LOAD_S = 0.4
"""Time that load reported beyond one's own permits is believed.

About one call of the quickest service at its usual slowness.
"""

FIRST_SHUN_S = 0.2
"""First pause of a server after failures in a row; doubles each time."""

LONGEST_SHUN_S = 2.0
"""Longest such pause, so that a recovered server is tried soon."""

OBJECTIVE_SHARE = 0.37
"""Share of the latency objective that work is taken to need at first.

The ratio of work to objective in the first two deployments.
"""

LATENCY_WEIGHT = 0.1
"""Weight of a new latency in the running mean: about the last 20 calls."""

LEAST_WORK_SHARE = 0.1
"""Share of the objective below which a latency says nothing of usual work.

Calls that only test a route end within a few milliseconds; deployments'
objectives are two to three times their work.
"""

COLD_FACTOR = 2.0
"""How much longer work takes at a cold server, as deployments state it."""

PROBES_AT_ONCE = 3
"""Probes sent for one waiting call: one of three is fast nearly always."""

HELD_CHECK_S = 0.6
"""Age from which a permit must be listed by its holder's heartbeats.

Two heartbeat intervals of the largest failure domain planned for.
"""


@dataclass(frozen=True)
class RetryLimits:
    """Bounds on sending calls again, for one service over all VMs.

    In any ``window_s`` repeats stay below ``ratio`` times the calls plus
    ``slack``; this VM takes ``slack_share`` of the slack.
    """

    ratio: float
    slack: float
    window_s: float
    slack_share: float


def usable_slots(slots: int) -> int:
    """Return how many slots may be in use before a server slows down."""
    below = int(KNEE_SHARE * slots)
    if below >= KNEE_SHARE * slots:
        below -= 1
    return max(below, 1)
