"""Timing of a drain: when a VM refuses new calls and when it exits."""

from __future__ import annotations

from dataclasses import dataclass

SERVING_SHARE = 0.49
"""Share of the grace time for which new calls are still served.

Some callers use an address for 3 s, three times its validity of 1 s. This is
half of the grace time of 6 s in the first deployments. A call that arrives
later might not end within the grace time.
"""

EXIT_SHARE = 0.92
"""Share of the grace time after which the process exits in any case.

The rest, half a second of 6 s, lets the interpreter exit on a slow VM.
"""

IDLE_BEFORE_EXIT_S = 0.3
"""Time from refusing new calls until a VM without in-flight calls exits:
requests already in transit have arrived by then."""


@dataclass(frozen=True)
class DrainPlan:
    """Start times of the phases of a drain, in monotonic seconds."""

    begun_s: float
    refuses_from_s: float
    exit_at_s: float

    def closes_idle_connections(self, now_s: float) -> bool:
        """Return whether idle connections of callers should be closed."""
        return now_s >= self.refuses_from_s

    def refuses_calls(self, now_s: float) -> bool:
        """Return whether new calls should be refused."""
        return now_s >= self.refuses_from_s

    def is_finished(self, now_s: float, in_flight: int) -> bool:
        """Return whether the process should exit.

        ``in_flight`` is the number of calls that have no response yet.
        """
        if now_s >= self.exit_at_s:
            return True
        return (
            not in_flight and now_s >= self.refuses_from_s + IDLE_BEFORE_EXIT_S
        )


def new_drain_plan(now_s: float, grace_s: float) -> DrainPlan:
    """Return the plan of a drain that begins now.

    ``grace_s`` is the time in seconds until the platform stops the process.
    """
    return DrainPlan(
        now_s,
        now_s + SERVING_SHARE * grace_s,
        now_s + EXIT_SHARE * grace_s,
    )
