"""Membership view from heartbeats and from the platform's VM list.

An entry VM exchanges heartbeats with a fixed number of neighbours on a hash
ring. Heartbeats spread membership records by gossip, so the cost per VM does
not grow with the number of VMs. The platform's VM list lags behind the
heartbeats.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import islice

from turmericpost_core.membership.ring import ring_successors
from turmericpost_core.membership.vm_records import (
    VmRecord,
    VmState,
    merge,
)

_MIN_SENDS = 4
_HEARTBEATS_PER_REFRESH = 5


@dataclass(frozen=True)
class MembershipSettings:
    """Parameters of the membership protocol."""

    neighbours: int = 3
    lost_after_s: float = 1.2
    forget_after_s: float = 60
    records_per_heartbeat: int = 8


class MembershipView:
    """View that one entry VM has of all entry VMs.

    Holds the most recent membership record of each VM.
    """

    def __init__(
        self,
        own: VmRecord,
        settings: MembershipSettings,
    ) -> None:
        self.own = own
        self._settings = settings
        self._records_per_heartbeat = settings.records_per_heartbeat
        self._records: dict[str, VmRecord] = {}
        self._listed: frozenset[str] = frozenset()
        self._listed_leaving: frozenset[str] = frozenset()
        self._last_heartbeat_s: dict[str, float] = {}
        self._lost_at_s: dict[str, float] = {}
        self._sends_left: dict[str, int] = {}
        self._heartbeat_count = 0

    def live(self) -> tuple[VmRecord, ...]:
        """Return the VMs that accept calls, including this one, by name."""
        others = (
            record
            for name, record in self._records.items()
            if record.state is VmState.LIVE and name not in self._listed_leaving
        )
        own = (self.own,) if self.own.state is VmState.LIVE else ()
        return tuple(sorted((*own, *others), key=_name))

    def known(self) -> tuple[VmRecord, ...]:
        """Return every VM that is not lost, including this one, by name."""
        others = (
            record
            for record in self._records.values()
            if record.state is not VmState.LOST
        )
        return tuple(sorted((self.own, *others), key=_name))

    def has_majority(self, region: str) -> bool:
        """Return whether most known VMs of a region are not lost."""
        others = [
            record.state is VmState.LOST
            for record in self._records.values()
            if record.identity.region == region
        ]
        lost = sum(others)
        own = int(self.own.identity.region == region)
        return own + len(others) - lost > lost

    def is_connected(self, now_s: float) -> bool:
        """Return whether any neighbour sent a heartbeat recently.

        True as well if no neighbour is monitored.
        """
        last_heartbeats_s = self._last_heartbeat_s.values()
        if not last_heartbeats_s:
            return True
        return now_s - max(last_heartbeats_s) <= self._settings.lost_after_s

    def all_records(self) -> tuple[VmRecord, ...]:
        """Return all records, including those of lost VMs."""
        return (self.own, *self._records.values())

    def neighbours(self) -> tuple[str, ...]:
        """Return the names of the ring successors to keep streams open to."""
        present = (
            name
            for name, record in self._records.items()
            if record.state is not VmState.LOST
        )
        return ring_successors(
            self.own.identity.name,
            present,
            self._settings.neighbours,
        )

    def listed_but_absent(self) -> tuple[str, ...]:
        """Return the listed VMs that are lost or have no record."""
        return tuple(
            name for name in sorted(self._listed) if self._is_absent(name)
        )

    def next_records(self) -> tuple[VmRecord, ...]:
        """Return the records of the next heartbeat.

        These are the own record, recently changed ones and, in every fifth
        heartbeat, one unchanged record.
        """
        changed = (self._records[name] for name in self._newest_changes())
        return (self.own, *changed, *self._refresh_record())

    def heartbeat_sent(self) -> None:
        """Count down the remaining sends of the records just sent."""
        for name in self._newest_changes():
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                self._sends_left.pop(name)
        self._heartbeat_count += 1

    def record_vm_list(
        self,
        listed: Iterable[str],
        leaving: Iterable[str],
    ) -> None:
        """Record the platform's VM list."""
        own_name = self.own.identity.name
        self._listed = frozenset(listed) - {own_name}
        self._listed_leaving = frozenset(leaving) - {own_name}

    def record_heartbeat(
        self,
        sender: str,
        records: Iterable[VmRecord],
        now_s: float,
    ) -> bool:
        """Merge the records of a heartbeat; return whether the view changed."""
        if sender in self._last_heartbeat_s.keys():
            self._last_heartbeat_s[sender] = now_s
        changes = [self._merge_record(record, now_s) for record in records]
        if self._is_lost(sender):
            self._schedule_sends(sender)
        return any(changes)

    def monitor(self, names: Iterable[str], now_s: float) -> None:
        """Check only these neighbours for missing heartbeats from now on."""
        self._last_heartbeat_s = {
            name: self._last_heartbeat_s.get(name, now_s) for name in names
        }

    def mark_silent_lost(self, now_s: float) -> bool:
        """Mark neighbours without heartbeats as lost.

        Returns whether the view changed.
        """
        silent = [
            name
            for name, last_heartbeat_s in self._last_heartbeat_s.items()
            if now_s - last_heartbeat_s > self._settings.lost_after_s
        ]
        changed = False
        for name in silent:
            self._last_heartbeat_s.pop(name)
            record = self._records.get(name)
            if record is not None and record.state is not VmState.LOST:
                self._merge_record(replace(record, state=VmState.LOST), now_s)
                changed = True
        self._forget(now_s)
        return changed

    def set_own_state(self, state: VmState, revision: int) -> None:
        """Update state and configuration revision in the own record."""
        self.own = replace(self.own, state=state, revision=revision)

    def _is_absent(self, name: str) -> bool:
        return name not in self._records or self._is_lost(name)

    def _is_lost(self, name: str) -> bool:
        if name not in self._records:
            return False
        return self._records[name].state is VmState.LOST

    def _merge_record(self, record: VmRecord, now_s: float) -> bool:
        name = record.identity.name
        if name == self.own.identity.name:
            return self._refute(record)
        known = self._records.get(name)
        if known is not None and merge(known, record) is known:
            return False
        self._records[name] = record
        self._schedule_sends(name)
        if record.state is VmState.LOST:
            self._lost_at_s[name] = now_s
        else:
            self._lost_at_s.pop(name, None)
        return known is None or known.state is not record.state

    def _newest_changes(self) -> tuple[str, ...]:
        """Return the names of changed records, the newest change first.

        A loss is sent at once, even if many older changes are pending.
        """
        newest = islice(reversed(self._sends_left), self._records_per_heartbeat)
        return tuple(newest)

    def _schedule_sends(self, name: str) -> None:
        self._sends_left.pop(name, None)
        self._sends_left[name] = _MIN_SENDS + len(self._records).bit_length()

    def _refute(self, record: VmRecord) -> bool:
        if record.incarnation != self.own.incarnation:
            return False
        if (
            record.state is VmState.LOST
            and record.precedence > self.own.precedence
        ):
            self.own = replace(self.own, refutation=record.refutation + 1)
            return True
        return False

    def _refresh_record(self) -> tuple[VmRecord, ...]:
        refresh_number, heartbeats_since_refresh = divmod(
            self._heartbeat_count, _HEARTBEATS_PER_REFRESH
        )
        names = sorted(self._records.keys() - self._sends_left.keys())
        if heartbeats_since_refresh or not names:
            return ()
        return (self._records[names[refresh_number % len(names)]],)

    def _forget(self, now_s: float) -> None:
        for name, lost_s in tuple(self._lost_at_s.items()):
            expired = now_s - lost_s > self._settings.forget_after_s
            if expired and name not in self._listed:
                self._lost_at_s.pop(name)
                self._records.pop(name, None)
                self._sends_left.pop(name, None)


def _name(record: VmRecord) -> str:
    return record.identity.name
