"""Which claims on operation keys count after the store lost some of them.

A store that returns from a copy has lost the latest claims, so that a claim that
looks like the first one may be the second.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from turmericpost_core.operations.keys import KEY_LIFETIME_S

CLAIM_HOLD_S = 15.0
"""Seconds after a change of era in which no new claim counts.

By then all VMs that reach the store have heard of the change and have written
the claims again that a copy may lack. A copy is not older than this.
"""


@dataclass(frozen=True)
class WrittenClaim:
    """Encoded claim of this VM, and when it was last known to be stored."""

    claim_id: str
    stream: str
    record: bytes
    written_s: float


class ClaimEras:
    """Era of the store as this VM knows it, and what it means for claims.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._era: int | None = None
        self._held_until_s = float('-inf')
        self._unconfirmed: dict[str, float] = {}
        self._void: dict[str, float] = {}
        self._confirmed: dict[str, WrittenClaim] = {}
        self._unwritten: dict[str, WrittenClaim] = {}

    @property
    def unwritten(self) -> tuple[WrittenClaim, ...]:
        """Claims of this VM that the store may lack."""
        return tuple(self._unwritten.values())

    def record_era(
        self, era: int | None, now_s: float, *, was_away: bool = False
    ) -> bool:
        """Record the era that a response states; return whether it changed.

        With ``was_away`` the store did not respond before, so the first era may
        be a new one. ``None`` changes nothing.
        """
        if era is None:
            return False
        is_first = self._era is None
        is_change = era != self._era and (was_away or not is_first)
        self._era = era
        if is_change:
            self._begin_era(now_s)
        else:
            self._forget_old(now_s)
        return is_change

    def is_current(self, era: int | None) -> bool:
        """Return whether a response of an era can be relied on."""
        return era == self._era

    def is_held(self, now_s: float) -> bool:
        """Return whether a claim that would be the first one doesn't count."""
        return now_s < self._held_until_s

    def begin_claim(self, claim_id: str, now_s: float) -> None:
        """Record that a claim is about to be written."""
        self._unconfirmed[claim_id] = now_s

    def end_claim(self, claim_id: str) -> None:
        """Record that a claim is not the first one, or not in the store."""
        self._unconfirmed.pop(claim_id, None)

    def confirm(self, claim: WrittenClaim) -> None:
        """Record that a claim of this VM is the first one of its stream."""
        if self._unconfirmed.pop(claim.claim_id, None) is not None:
            self._confirmed[claim.claim_id] = claim

    def rewritten(self, claim: WrittenClaim, now_s: float) -> None:
        """Record that a claim has been written again."""
        if self._unwritten.pop(claim.claim_id, None) is not None:
            self._confirmed[claim.claim_id] = replace(claim, written_s=now_s)

    def make_void(self, claim_id: str) -> None:
        """Record that a claim can't be known to be the first one."""
        begun_s = self._unconfirmed.pop(claim_id, None)
        if begun_s is not None:
            self._void[claim_id] = begun_s

    def is_void(self, claim_id: str) -> bool:
        """Return whether a claim of this VM doesn't count.

        It was not known to be the first one when the era changed. Another claim
        that has been lost may have come before it.
        """
        return claim_id in self._void

    def _begin_era(self, now_s: float) -> None:
        self._held_until_s = now_s + CLAIM_HOLD_S
        self._void.update(self._unconfirmed)
        self._unconfirmed.clear()
        self._unwritten.update(self._confirmed)
        self._confirmed.clear()

    def _forget_old(self, now_s: float) -> None:
        """Forget claims that no copy lacks, and those that have expired."""
        _drop_before(self._unconfirmed, now_s - KEY_LIFETIME_S)
        _drop_before(self._void, now_s - KEY_LIFETIME_S)
        while self._confirmed:
            oldest = next(iter(self._confirmed.values()))
            if now_s - oldest.written_s <= CLAIM_HOLD_S:
                break
            self._confirmed.pop(oldest.claim_id)


def _drop_before(begun_s: dict[str, float], limit_s: float) -> None:
    while begun_s:
        claim_id = next(iter(begun_s))
        if begun_s[claim_id] >= limit_s:
            break
        begun_s.pop(claim_id)
