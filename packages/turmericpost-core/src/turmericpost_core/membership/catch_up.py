"""When a VM that is behind reads the store although it is not the reader."""

from __future__ import annotations

from xxhash import xxh32_intdigest

from turmericpost_core.membership.store_read_schedule import ReadSchedule

TAKEOVER_S = 10.0
"""Time for which a VM that had to read the store for itself reads on for its
failure domain: several versions, so that it does not fall behind with each."""

_HASH_RANGE = 0x100000000


class CatchUp:
    """Decides when a VM reads the store for itself, and when it reads on.

    All times are monotonic seconds. The times at which the VMs of a failure
    domain read differ by the hash of their names, so that one of them mostly
    reads first and hands on what the others lack, too.
    """

    def __init__(self, name: str, schedule: ReadSchedule) -> None:
        share = xxh32_intdigest(name.encode('utf-8')) / _HASH_RANGE
        self._delay_s = schedule.behind_after_s + share * schedule.spread_s
        self._reads_until_s = float('-inf')
        self._hand_on_failed_s = float('-inf')

    def must_read(self, behind_since_s: float | None, now_s: float) -> bool:
        """Return whether this VM reads, as other ways take too long.

        ``behind_since_s`` is ``None`` if the VM is not behind.
        """
        if behind_since_s is None or now_s < behind_since_s + self._delay_s:
            return False
        if now_s - self._hand_on_failed_s > TAKEOVER_S:
            self._reads_until_s = now_s + TAKEOVER_S
        return True

    def reads_on(self, now_s: float) -> bool:
        """Return whether this VM reads for others after it had to for itself."""
        return now_s < self._reads_until_s

    def hand_on_failed(self, now_s: float) -> None:
        """Record that this VM could not hand on its state.

        It then reads for itself only.
        """
        self._hand_on_failed_s = now_s
        self._reads_until_s = float('-inf')
