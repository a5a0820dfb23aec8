"""Pacing of call offers: a VM that declines gets them less often."""

from __future__ import annotations

MIN_OFFER_INTERVAL_S = 0.0005
FIRST_BACKOFF_S = 0.001

MAX_DOUBLINGS = 2


class OfferPacing:
    """Backoff of call offers to each other owner VM.

    All times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._declines: dict[str, int] = {}
        self._paused_until_s: dict[str, float] = {}

    def may_offer(self, vm_name: str, now_s: float) -> bool:
        """Return whether a VM may be offered a call now."""
        return now_s >= self._paused_until_s.get(vm_name, 0)

    def record_offer(self, vm_name: str, now_s: float) -> None:
        """Record that a call was offered to a VM."""
        self._pause_until(vm_name, now_s + MIN_OFFER_INTERVAL_S)

    def record_declined(self, vm_name: str, now_s: float) -> None:
        """Record that a VM declined an offer; doubles its backoff."""
        declines = self._declines.get(vm_name, 0)
        self._pause_until(vm_name, now_s + FIRST_BACKOFF_S * 2**declines)
        self._declines[vm_name] = min(declines + 1, MAX_DOUBLINGS)

    def record_accepted(self, vm_name: str) -> None:
        """Record that a VM accepted an offer; resets its backoff."""
        self._declines.pop(vm_name, None)

    def _pause_until(self, vm_name: str, until_s: float) -> None:
        current_until_s = self._paused_until_s.get(vm_name, 0)
        self._paused_until_s[vm_name] = max(current_until_s, until_s)
