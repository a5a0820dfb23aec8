"""Pacing of offers: a VM without free slots is asked ever more rarely."""

from __future__ import annotations

BETWEEN_OFFERS_S = 0.0005
FIRST_PAUSE_S = 0.001

MAX_DOUBLINGS = 2


class OfferPacing:
    """When each other owner may be offered a call; monotonic seconds."""

    def __init__(self) -> None:
        self._declines: dict[str, int] = {}
        self._spared_until_s: dict[str, float] = {}

    def may_offer(self, vm_name: str, now_s: float) -> bool:
        """Return whether a VM may be offered a call now."""
        return now_s >= self._spared_until_s.get(vm_name, 0)

    def record_offer(self, vm_name: str, now_s: float) -> None:
        """Note an offer on its way."""
        self._spare(vm_name, now_s + BETWEEN_OFFERS_S)

    def record_declined(self, vm_name: str, now_s: float) -> None:
        """Note that a VM had no free slot."""
        declines = self._declines.get(vm_name, 0)
        self._spare(vm_name, now_s + FIRST_PAUSE_S * 2**declines)
        self._declines[vm_name] = min(declines + 1, MAX_DOUBLINGS)

    def record_accepted(self, vm_name: str) -> None:
        """Note that a VM had a free slot."""
        self._declines.pop(vm_name, None)

    def _spare(self, vm_name: str, until_s: float) -> None:
        earlier_s = self._spared_until_s.get(vm_name, 0)
        self._spared_until_s[vm_name] = max(earlier_s, until_s)
