"""Registry of backend servers, built from its records in offset order."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from turmericpost_core.fleet.backends import Backend, Registration, Version
from turmericpost_core.fleet.changes import (
    BackendChange,
    ChangeLog,
    RegistryUpdate,
    apply_changes,
    directory_digest,
)
from turmericpost_core.fleet.earlier_era import (
    REREGISTRATION_GRACE_S,
    EarlierEra,
    EarlierServers,
)
from turmericpost_core.fleet.store_position import START, StorePosition

_DIGEST_BITS = 32


class UpdateOutcome(Enum):
    """Result of applying an update from another VM.

    ``MISMATCH`` means that the changes cannot be applied here or lead to
    other state than the sender has; a full update must be fetched.
    """

    UNCHANGED = 'no-news'
    APPLIED = 'taken'
    MISMATCH = 'differs'


@dataclass(frozen=True, slots=True)
class _Removal:
    """A removal that takes effect at ``due_s``.

    It lies between ``offset`` and ``end``, the offset after what was read when
    it was found; a listing does not tell where.
    """

    due_s: float
    offset: StorePosition
    end: StorePosition


class BackendDirectory:
    """Registered backend servers as of a position in the registry.

    VMs compare ``version`` to find out whose registry is newer. It consists of
    the position after the last record that changed anything, and a number that
    grows with each later change that no newer record made. ``withheld`` are
    ids of servers whose removals are due, but not confirmed by a read since.
    """

    def __init__(self) -> None:
        self.backends: Mapping[str, Backend] = {}
        self.version: Version = (0, 0)
        self.next_offset = START
        self.withheld: frozenset[str] = frozenset()
        self._grace_until_s = float(0)
        self._must_start_grace = False
        self._removals: dict[str, _Removal] = {}
        self._change_log = ChangeLog()
        self._earlier_era = EarlierEra()

    @property
    def resume_offset(self) -> StorePosition:
        """Position from which another VM with this registry reads on.

        Removals that have not taken effect yet are not part of the registry, so
        it has to read them again.
        """
        offsets = (removal.offset for removal in self._removals.values())
        return min((self.next_offset, *offsets))

    @property
    def earlier_servers(self) -> EarlierServers:
        """Servers as known before the era of the store changed."""
        return self._earlier_era.servers

    def in_use(self) -> Iterator[Backend]:
        """Yield the servers that have neither left nor are withheld."""
        for backend in self.earlier_servers.in_use(self.backends):
            if backend.backend_id not in self.withheld:
                yield backend

    @property
    def logged_version(self) -> tuple[int, int]:
        """Offset and number of the version, without its era."""
        return StorePosition(self.version[0]).offset, self.version[1]

    @property
    def is_settled(self) -> bool:
        """Whether all records before the version have taken effect.

        Two settled registries of the same version are equal.
        """
        return self.resume_offset >= self.version[0]

    @property
    def postponed_s(self) -> Mapping[str, float]:
        """When postponed removals are due, in monotonic seconds by server."""
        return {
            backend_id: removal.due_s
            for backend_id, removal in self._removals.items()
        }

    @property
    def era(self) -> int | None:
        """Era of the store that this registry is of."""
        return StorePosition(self.version[0]).era

    def lacks(self, version: Version, next_offset: StorePosition) -> bool:
        """Return whether the registry of another VM should replace this one.

        ``next_offset`` is the ``resume_offset`` of that VM. Among registries of
        the same version a settled one is right.
        """
        if version != self.version:
            return version > self.version
        return next_offset >= version[0] and not self.is_settled

    def start_reregistration_grace(self, now_s: float) -> None:
        """Keep expired registrations for ``REREGISTRATION_GRACE_S`` from now.

        Called after an outage of the store, when servers register again.
        """
        self._must_start_grace = False
        self._grace_until_s = now_s + REREGISTRATION_GRACE_S

    def apply_records(
        self, records: Iterable[Registration], now_s: float
    ) -> bool:
        """Apply new records in order; return whether anything changed.

        Records before ``next_offset`` are skipped.
        """
        self._start_grace_of_era(now_s)
        changed = False
        for record in records:
            if record.offset >= self.next_offset:
                self.next_offset = StorePosition(record.offset + 1)
                changed = self._apply(record, now_s) or changed
        return changed

    def resync(
        self,
        records: Iterable[Registration],
        next_offset: StorePosition,
        now_s: float,
    ) -> bool:
        """Replace the registry by a full listing; return whether it changed.

        Used if the store has already deleted records that were not yet read, or
        has returned from a copy. A listing older than the current state is
        ignored.
        """
        if next_offset < max(self.next_offset, self.version[0]):
            return False
        listed = tuple(records)
        is_new_era = next_offset.era != self.era
        if is_new_era:
            self._begin_era()
            self._removals.clear()
            self.backends = {}
        self._start_grace_of_era(now_s)
        version_before = self.version
        gap = (self.next_offset, next_offset)
        present = {entry.backend_id for entry in listed if entry.backend}
        # What was not settled may have left and registered between.
        changed = not self.is_settled
        for backend_id in tuple(self.backends):
            if backend_id not in present:
                changed = self._remove(backend_id, gap, now_s) or changed
        for record in listed:
            changed = self._apply(record, now_s) or changed
        self.next_offset = next_offset
        if not (changed or is_new_era):
            return False
        self.version = version_before
        self._raise_version(next_offset)
        self._change_log.reset(self.version)
        self.withhold(now_s)
        return True

    def update_since(self, version: Version | None) -> RegistryUpdate:
        """Return the update for a VM that has ``version``.

        ``version`` is ``None`` if the VM has no registry. The update is the
        full registry if not all changes since ``version`` are kept.
        """
        changes = (
            None if version is None else self._change_log.changes_since(version)
        )
        if changes is None:
            version = None
            changes = tuple(
                BackendChange(self.version, backend_id, backend)
                for backend_id, backend in self.backends.items()
            )
        return RegistryUpdate(
            base=version,
            version=self.version,
            next_offset=self.resume_offset,
            digest=directory_digest(self.backends.values()),
            changes=changes,
        )

    def apply_update(self, update: RegistryUpdate) -> UpdateOutcome:
        """Apply an update from another VM if this one lacks it.

        This VM then reads on from where the sender does: what it has read past
        that may have changed nothing here, but change the sender's registry.
        """
        if not self.lacks(update.version, update.next_offset):
            return UpdateOutcome.UNCHANGED
        is_full = update.base is None
        previous_backends = {} if is_full else self.backends
        new_backends = apply_changes(previous_backends, update.changes)
        if directory_digest(new_backends.values()) != update.digest:
            return UpdateOutcome.MISMATCH
        is_new_era = StorePosition(update.version[0]).era != self.era
        if is_new_era:
            self._begin_era()
        else:
            self._earlier_era.record_removals(
                known
                for known in self.backends.values()
                if known.backend_id not in new_backends
            )
            self._earlier_era.record_drains(self.backends, new_backends)
        self.backends = new_backends
        self.version = update.version
        self.next_offset = update.next_offset
        if is_full:
            self._removals.clear()
            self._change_log.reset(self.version)
        for change in () if is_full else update.changes:
            self._removals.pop(change.backend_id, None)
            self._change_log.record(change)
        self.read_by_peer(update.next_offset)
        return UpdateOutcome.APPLIED

    def read_by_peer(self, offset: StorePosition) -> None:
        """Skip the records that a VM with an equal registry has read.

        That VM has also read the removals that end before ``offset``, and has
        none of them pending. It still has these servers, so they have registered
        again.
        """
        self.next_offset = max(self.next_offset, offset)
        self._removals = {
            backend_id: removal
            for backend_id, removal in self._removals.items()
            if removal.end > offset
        }

    def withhold(self, now_s: float) -> bool:
        """Update what is not used; return whether it has changed.

        Only a read after the grace time tells whether a server is registered
        again. Without one, this VM does not use the server, and leaves the
        registry as it is.
        """
        earlier_servers = self.earlier_servers
        self._start_grace_of_era(now_s)
        self._earlier_era.expire(self.backends, now_s)
        withheld = frozenset(self._due_ids(now_s))
        is_changed = withheld != self.withheld
        if is_changed:
            self.withheld = withheld
        return is_changed or self.earlier_servers is not earlier_servers

    def expire(self, read_s: float) -> bool:
        """Drop registrations that were missing after the grace time.

        ``read_s`` is when the last read of the registry began. Returns whether
        any was dropped.
        """
        expired_ids = self._due_ids(read_s)
        for expired_id in expired_ids:
            self._removals.pop(expired_id)
            self._drop(expired_id)
        if expired_ids:
            self._raise_version(self.version[0])
        for backend_id in expired_ids:
            self._change_log.record(
                BackendChange(self.version, backend_id, None)
            )
        return bool(expired_ids)

    def _begin_era(self) -> None:
        """Hold what is known against the copy that the store returned from."""
        self._earlier_era.begin_era(self.backends)
        self._must_start_grace = bool(self.backends)

    def _start_grace_of_era(self, now_s: float) -> None:
        """Give servers time to register again in an era that has begun."""
        if self._must_start_grace:
            self.start_reregistration_grace(now_s)

    def _due_ids(self, now_s: float) -> list[str]:
        return [
            backend_id
            for backend_id, removal in self._removals.items()
            if now_s >= removal.due_s
        ]

    def _apply(self, record: Registration, now_s: float) -> bool:
        backend = record.backend
        if backend is None:
            place = (record.offset, StorePosition(record.offset + 1))
            changed = self._remove(record.backend_id, place, now_s)
        else:
            # Of this version, others may have dropped the server.
            is_ahead = not self.is_settled
            removal = self._removals.pop(record.backend_id, None)
            is_back = is_ahead and removal is not None
            changed = self._register(backend) or is_back
        if changed:
            self._raise_version(record.offset + 1)
            self._change_log.record(
                BackendChange(
                    self.version,
                    record.backend_id,
                    self.backends.get(record.backend_id),
                ),
            )
        return changed

    def _raise_version(self, offset: int) -> None:
        """Count a change up to an offset.

        Without a newer record, VMs may make different changes at a version, so
        the digest is part of its second number.
        """
        known_offset, number = self.version
        if offset > known_offset:
            self.version = (offset, 0)
            return
        digest = directory_digest(self.backends.values())
        step = (number >> _DIGEST_BITS) + 1
        self.version = (
            known_offset,
            step << _DIGEST_BITS | digest % (1 << _DIGEST_BITS),
        )

    def _register(self, backend: Backend) -> bool:
        known = self.backends.get(backend.backend_id)
        if known is not None:
            if backend.started_ms < known.started_ms:
                return False
            if backend.started_ms == known.started_ms:
                known_with_new_cold_time = replace(
                    known, cold_left_s=backend.cold_left_s
                )
                if (
                    known_with_new_cold_time == backend
                    and known.is_cold == backend.is_cold
                ):
                    return False
        self.backends = {**self.backends, backend.backend_id: backend}
        return True

    def _remove(
        self,
        backend_id: str,
        place: tuple[StorePosition, StorePosition],
        now_s: float,
    ) -> bool:
        known = self.backends.get(backend_id)
        if known is None:
            return False
        if now_s < self._grace_until_s and not known.is_draining:
            removal = _Removal(self._grace_until_s, *place)
            self._removals.setdefault(backend_id, removal)
            return False
        self._drop(backend_id)
        return True

    def _drop(self, backend_id: str) -> None:
        known = self.backends.get(backend_id)
        if known is not None:
            self._earlier_era.record_removals((known,))
        self.backends = {
            key: kept_backend
            for key, kept_backend in self.backends.items()
            if key != backend_id
        }
