"""When a call that takes too long is sent to a second backend server."""

from __future__ import annotations

LATE_FACTOR = 1.9
"""How many times the expected work a send may take before it is late.

Work of the first deployments spreads by a third; nine in ten end within 1.6
times their mean, and a server that turned slow takes four times as long.
"""

LATE_SLACK_S = 0.03
"""Time for the ways to the server and back, between regions too."""


def hedge_after_s(expected_s: float) -> float:
    """Return when a send that has not ended counts as late."""
    return LATE_FACTOR * expected_s + LATE_SLACK_S
