"""What a VM knew of backend servers before the era of the store changed.

A store that returns from a copy lacks servers that registered since, and lists
servers whose removal or last registration it has lost. Both are written again
in time. Until then each VM goes by what it knew, beside the registry, which
stays equal on all VMs.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from turmericpost_core.fleet.backends import Backend

REREGISTRATION_GRACE_S = 2.5
"""Seconds that servers need to register again after an outage of the store.

The documentation of the platform says about two seconds; another half a
second covers the period of store reads.
"""

EARLIER_ERA_HOLD_S = 15.0
"""Seconds for which a fact counts that the store may have lost.

A server that is gone is removed again by then, after three missed check-ins. One
that was removed by mistake is used again.
"""

MAX_KEPT_REMOVALS = 2048
"""Number of removals kept: as many as changes are kept for other VMs."""

_NOT_TIMED_S = float('inf')


@dataclass(frozen=True, slots=True)
class _KnownServer:
    """A server as known before, and until when that counts.

    The time is infinite until the first call with a time.
    """

    backend: Backend
    until_s: float = _NOT_TIMED_S

    def limited(self, limit_s: float) -> _KnownServer:
        """Return this fact with a time limit, if it has none yet."""
        if self.until_s < limit_s:
            return self
        return replace(self, until_s=limit_s)


@dataclass(frozen=True, slots=True)
class EarlierServers:
    """Servers as known before, by id: those that had left, and the others."""

    departed: Mapping[str, Backend]
    present: Mapping[str, Backend]

    def in_use(self, registered: Mapping[str, Backend]) -> Iterator[Backend]:
        """Yield the servers that a registry and this knowledge name together.

        A start that is later than the known one is always right.
        """
        for backend_id, backend in registered.items():
            departed = self.departed.get(backend_id)
            if departed is None or departed.started_ms < backend.started_ms:
                yield self._latest_start(backend)
        for backend_id, present in self.present.items():
            if backend_id not in registered:
                yield present

    def _latest_start(self, registered: Backend) -> Backend:
        present = self.present.get(registered.backend_id, registered)
        is_later = present.started_ms > registered.started_ms
        return present if is_later else registered


class EarlierEra:
    """Keeps what was known before the era changed for as long as it counts.

    ``servers`` is another object after each change.
    """

    def __init__(self) -> None:
        self.servers = EarlierServers({}, {})
        self._removed: deque[Backend] = deque(maxlen=MAX_KEPT_REMOVALS)
        self._departed: dict[str, _KnownServer] = {}
        self._present: dict[str, _KnownServer] = {}

    def record_removals(self, removed: Iterable[Backend]) -> None:
        """Record servers that are no longer registered."""
        self._removed.extend(removed)

    def record_drains(
        self, known: Mapping[str, Backend], registered: Mapping[str, Backend]
    ) -> None:
        """Hold draining servers against a registry that missed the drain.

        The VM that it is from may have found them missing since, and keep them
        for the time for registering again.
        """
        missed = {
            backend_id: _KnownServer(backend)
            for backend_id, backend in known.items()
            if backend.is_draining
            and backend_id in registered
            and not registered[backend_id].is_draining
        }
        if missed:
            self._departed.update(missed)
            self._update_servers()

    def begin_era(self, registered: Mapping[str, Backend]) -> None:
        """Hold what is known against the store's older copy.

        ``registered`` are the servers registered before, by id.
        """
        removed_ids = {backend.backend_id for backend in self._removed}
        in_use = {
            backend.backend_id: backend
            for backend in self.servers.in_use(registered)
            if backend.backend_id in registered
            or backend.backend_id not in removed_ids
        }
        departed = dict(self.servers.departed)
        departed.update(
            (backend.backend_id, backend) for backend in self._removed
        )
        departed.update(
            (backend_id, backend)
            for backend_id, backend in in_use.items()
            if backend.is_draining
        )
        self._removed.clear()
        self._departed = {
            backend_id: _KnownServer(backend)
            for backend_id, backend in departed.items()
            if backend_id not in in_use or in_use[backend_id].is_draining
        }
        self._present = {
            backend_id: _KnownServer(backend)
            for backend_id, backend in in_use.items()
            if not backend.is_draining
        }
        self._update_servers()

    def expire(self, registered: Mapping[str, Backend], now_s: float) -> None:
        """Forget what no longer counts.

        A draining server counts as such for as long as it is registered.
        """
        self._departed = {
            backend_id: one.limited(now_s + EARLIER_ERA_HOLD_S)
            for backend_id, one in self._departed.items()
            if now_s < one.until_s
            or (one.backend.is_draining and backend_id in registered)
        }
        self._present = {
            backend_id: one.limited(now_s + REREGISTRATION_GRACE_S)
            for backend_id, one in self._present.items()
            if now_s < one.until_s
        }
        servers = self.servers
        if (
            self._departed.keys() != servers.departed.keys()
            or self._present.keys() != servers.present.keys()
        ):
            self._update_servers()

    def _update_servers(self) -> None:
        self.servers = EarlierServers(
            {name: one.backend for name, one in self._departed.items()},
            {name: one.backend for name, one in self._present.items()},
        )
