"""Detects that this process was paused, from the times at which it ran."""

from __future__ import annotations

MAX_GAP_S = 1.0
"""Time without a tick from which the process counts as paused: less than the
silence after which other VMs take this one for lost."""

SETTLING_S = 0.4
"""Time after a pause until the state of this VM is current again.

It has then read the messages of the pause and a heartbeat of each VM of a small
failure domain, and has fetched newer state.
"""


class PauseTracker:
    """Tells whether this process was paused a moment ago.

    All times are monotonic seconds that count on during a pause.
    """

    def __init__(self, now_s: float) -> None:
        self._ticked_s = now_s
        self._settled_s = now_s

    def tick(self, now_s: float) -> float | None:
        """Record that the process is running.

        Must be called several times a second. Returns the length of the pause
        in seconds if the process was paused since the last tick.
        """
        gap_s = now_s - self._ticked_s
        self._ticked_s = now_s
        if gap_s <= MAX_GAP_S:
            return None
        self._settled_s = now_s + SETTLING_S
        return gap_s

    def is_settling(self, now_s: float) -> bool:
        """Return whether the state may be from before a pause.

        Also true before the first tick after the pause.
        """
        return now_s < self._settled_s or now_s - self._ticked_s > MAX_GAP_S
