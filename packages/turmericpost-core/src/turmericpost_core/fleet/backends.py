"""Backend servers as they register themselves, folded in offset order."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import TypeAlias

RETURN_GRACE_S = 2.5
"""Time that registrations take to come back after an outage of the store.

The platform's page says about two seconds; half a second covers the pace of
reading.
"""

Version: TypeAlias = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Backend:
    """Registration of a backend server.

    ``started_ms`` is the Unix time of its start, which tells two starts
    under the same id apart; ``cold_left_s`` holds when it registered.
    """

    backend_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    is_draining: bool
    cold_left_s: float
    started_ms: int

    @property
    def is_cold(self) -> bool:
        """Whether the server said that it is still warming up."""
        return self.cold_left_s > 0


@dataclass(frozen=True, slots=True)
class Registration:
    """A record of the registry; no backend means that it was removed."""

    offset: int
    backend_id: str
    backend: Backend | None


class BackendDirectory:
    """The registrations in force, and the offset up to which they hold.

    ``version`` is what VMs compare to know that there is news: the offset
    after the last record that changed anything, and how many registrations
    were given up since then because they did not come back.
    """

    def __init__(self) -> None:
        self.backends: Mapping[str, Backend] = {}
        self.version: Version = (0, 0)
        self.next_offset = 0
        self._grace_until_s = float(0)
        self._missing_until_s: dict[str, float] = {}

    def store_returned(self, now_s: float) -> None:
        """Expect lapsed registrations back within a short time."""
        self._grace_until_s = now_s + RETURN_GRACE_S

    def fold(self, records: Iterable[Registration], now_s: float) -> bool:
        """Apply records in order; return whether anything changed."""
        changed = False
        for record in records:
            if record.offset >= self.next_offset:
                self.next_offset = record.offset + 1
                changed = self._apply(record, now_s) or changed
        return changed

    def resync(
        self,
        records: Iterable[Registration],
        next_offset: int,
        now_s: float,
    ) -> bool:
        """Take a full listing in place of the records that are gone."""
        if next_offset < self.next_offset:
            return False
        listed = tuple(records)
        present = {one.backend_id for one in listed if one.backend}
        changed = False
        for backend_id in tuple(self.backends):
            if backend_id not in present:
                changed = self._remove(backend_id, now_s) or changed
        for record in listed:
            changed = self._apply(record, now_s) or changed
        self.next_offset = next_offset
        if changed:
            self.version = (next_offset, 0)
        return changed

    def adopt(
        self,
        backends: Iterable[Backend],
        version: Version,
        next_offset: int,
    ) -> bool:
        """Take what another VM knows, if it is newer."""
        if version <= self.version:
            return False
        self.version = version
        self.next_offset = max(self.next_offset, next_offset)
        self._missing_until_s.clear()
        self.backends = {one.backend_id: one for one in backends}
        return True

    def expire(self, now_s: float) -> bool:
        """Drop the registrations that did not come back in time."""
        gone = [
            backend_id
            for backend_id, until_s in self._missing_until_s.items()
            if now_s >= until_s
        ]
        for backend_id in gone:
            self._missing_until_s.pop(backend_id)
            self._drop(backend_id)
        if gone:
            offset, given_up = self.version
            self.version = (offset, given_up + 1)
        return bool(gone)

    def _apply(self, record: Registration, now_s: float) -> bool:
        backend = record.backend
        if backend is None:
            changed = self._remove(record.backend_id, now_s)
        else:
            self._missing_until_s.pop(record.backend_id, None)
            changed = self._put(backend)
        if changed:
            self.version = max((record.offset + 1, 0), self.version)
        return changed

    def _put(self, backend: Backend) -> bool:
        known = self.backends.get(backend.backend_id)
        if known is not None:
            if backend.started_ms < known.started_ms:
                return False
            if backend.started_ms == known.started_ms:
                was_cold = replace(known, cold_left_s=backend.cold_left_s)
                if was_cold == backend and known.is_cold == backend.is_cold:
                    return False
        self.backends = {**self.backends, backend.backend_id: backend}
        return True

    def _remove(self, backend_id: str, now_s: float) -> bool:
        known = self.backends.get(backend_id)
        if known is None:
            return False
        if now_s < self._grace_until_s and not known.is_draining:
            self._missing_until_s.setdefault(backend_id, self._grace_until_s)
            return False
        self._drop(backend_id)
        return True

    def _drop(self, backend_id: str) -> None:
        self.backends = {
            key: kept
            for key, kept in self.backends.items()
            if key != backend_id
        }
