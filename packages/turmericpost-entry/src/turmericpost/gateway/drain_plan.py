"""When a VM that leaves stops taking calls, and when it ends."""

from __future__ import annotations

from dataclasses import dataclass

SERVE_ON_SHARE = 0.49
"""Share of the grace time for which new calls are still served.

Callers keep an answer of one second up to three times as long, which is
half of the six seconds of the first deployments; a call that comes later
might not end within the grace time.
"""

LAST_SHARE = 0.92
"""Share of the grace time after which the process ends in any case.

The rest, half a second of six, is for the interpreter to end on a slow VM.
"""

QUIET_S = 0.3
"""Time without calls in flight after which a process that takes no new ones
ends: requests already on their way have come by then."""


@dataclass(frozen=True)
class DrainPlan:
    """Moments of a leave; monotonic seconds."""

    begun_s: float
    turns_away_s: float
    ends_s: float

    def closes_idle(self, now_s: float) -> bool:
        """Return whether unused caller connections are closed."""
        return now_s >= self.turns_away_s

    def turns_away(self, now_s: float) -> bool:
        """Return whether new calls are refused as not run."""
        return now_s >= self.turns_away_s

    def is_over(self, now_s: float, in_flight: int) -> bool:
        """Return whether the process should end."""
        if now_s >= self.ends_s:
            return True
        return not in_flight and now_s >= self.turns_away_s + QUIET_S


def new_drain_plan(now_s: float, grace_s: float) -> DrainPlan:
    """Return the plan of a VM that begins to leave now."""
    return DrainPlan(
        now_s,
        now_s + SERVE_ON_SHARE * grace_s,
        now_s + LAST_SHARE * grace_s,
    )
