"""Limits and time constants for the use of backend servers."""

from __future__ import annotations

from dataclasses import dataclass

USABLE_SLOT_SHARE = 0.8
"""Share of a server's slots that may be used before it slows down.

In the first deployments a call took 1.7 times as long with all slots in use,
so three busy slots completed fewer calls than two at normal speed.
"""

FRESH_REPORT_S = 0.06
"""Age in seconds up to which a load report counts as current.

A fifth of the 300 ms after which shared machines change their speed.
"""

MIN_PROBE_INTERVAL_S = 0.05
"""Minimum seconds between two probes of a server; 60 per second are allowed."""

PROBE_TIMEOUT_S = 0.25
"""Seconds after which a probe fails: 40 times the duration of a usual probe."""

MAX_FAST_SLOWNESS_PERCENT = 160
"""Slowness up to which a server counts as fast; 100 is normal speed."""

WARM_REPORT_VALIDITY_S = 1.5
"""Age up to which a report of a warm server lifts the cold rate limit."""

SLOW_SERVER_WAIT_S = 0.35
"""Wait after which a slow server is used in a pool without a fast one.

Machines change their speed about every 300 ms. If none became fast in that
time, waiting longer is not worthwhile.
"""

FAST_REPORT_VALIDITY_S = 1.0
"""Age up to which a report shows that a pool has a fast server.

About three times the 300 ms after which machines change their speed.
"""

ON_TIME_FACTOR = 1.4
"""Multiple of the typical service time that must remain before the objective.

A call with less time left counts as late and is served after those that are
on time. Nine in ten calls of the first deployments need less than 1.4 times
the typical service time. With a factor of 1, half of the calls at the head
of a long queue would end late.
"""

REDIRECT_FACTOR = 2.0
"""Like ``ON_TIME_FACTOR``, for calls that can go to another failure domain.

A call waits in the nearest domain, where traffic is free of charge, while at
least this multiple remains. The difference to ``ON_TIME_FACTOR`` covers the
way to another domain and the search for a fast server there: half of the
typical service time.
"""

OTHER_LOAD_VALIDITY_S = 0.4
"""Seconds for which reported load from other sources counts as in use.

About the duration of one call of the quickest service at its usual slowness.
"""

FIRST_BACKOFF_S = 0.2
"""Backoff after the first failure of a server; doubles with each failure."""

MAX_BACKOFF_S = 2.0
"""Maximum backoff, so that a recovered server is soon used again."""

INITIAL_SERVICE_TIME_SHARE = 0.37
"""Service time assumed before any measurement, as a share of the objective.

The ratio of service time to objective in the first two deployments.
"""

LATENCY_WEIGHT = 0.1
"""Weight of a new value in a moving average over about the last 20 calls."""

MIN_SERVICE_TIME_SHARE = 0.1
"""Share of the objective below which a service time is not counted.

Calls that only test a route end within a few milliseconds, while the
objectives of deployments are two to three times their service times.
"""

COLD_SLOWDOWN = 2.0
"""Slowdown factor of a cold server, as stated by the deployments."""

MAX_PROBES_PER_DECISION = 3
"""Maximum probes per decision: of three servers one is nearly always fast."""

UNLISTED_GRACE_S = 0.6
"""Age in seconds from which a permit must be listed in its holder's heartbeat.

Two heartbeat intervals of the largest failure domain planned for.
"""


@dataclass(frozen=True)
class RetryLimits:
    """Limits on the retries of one service over all VMs.

    In any window of ``window_s`` seconds, retries stay below ``ratio`` times
    the calls plus ``slack``. This VM may use ``slack_share`` of the slack.
    """

    ratio: float
    slack: float
    window_s: float
    slack_share: float


def usable_slots(slots: int) -> int:
    """Return how many of a server's slots can be used without slowing it."""
    usable = int(USABLE_SLOT_SHARE * slots)
    if usable >= USABLE_SLOT_SHARE * slots:
        usable -= 1
    return max(usable, 1)
