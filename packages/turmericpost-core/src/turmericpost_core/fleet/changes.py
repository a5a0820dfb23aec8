"""Recent changes of the registry, sent to VMs instead of the full registry.

A release replaces only a server or two between two reads of the store. The
full registry has 40 KB with 400 servers; sending it to every other VM of a
failure domain would fill a link of 10 Mbit/s for more than a second each time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from turmericpost_core.fleet.backends import Backend, Version
from turmericpost_core.fleet.store_position import StorePosition

MAX_KEPT_CHANGES = 2048
"""Number of changes kept for other VMs.

Enough to replace all 1,100 servers planned for in two years once, with a
removal and a registration each.
"""


@dataclass(frozen=True, slots=True)
class BackendChange:
    """Backend server as of a version; ``backend`` is ``None`` if removed."""

    version: Version
    backend_id: str
    backend: Backend | None


@dataclass(frozen=True, slots=True)
class RegistryUpdate:
    """Changes of the registry from version ``base`` to ``version``.

    Without ``base`` the changes are the full registry. ``digest`` is the
    ``directory_digest`` of the backend servers at ``version``.
    """

    base: Version | None
    version: Version
    next_offset: StorePosition
    digest: int
    changes: tuple[BackendChange, ...]


class ChangeLog:
    """The most recent changes of the registry, oldest first."""

    def __init__(self) -> None:
        self._changes: deque[BackendChange] = deque()
        self._oldest_base: Version = (0, 0)

    def record(self, change: BackendChange) -> None:
        """Add a change and drop the oldest one beyond the limit."""
        self._changes.append(change)
        if len(self._changes) > MAX_KEPT_CHANGES:
            self._oldest_base = self._changes.popleft().version

    def reset(self, version: Version) -> None:
        """Drop all changes.

        From now on, only changes after ``version`` are known.
        """
        self._changes.clear()
        self._oldest_base = version

    def changes_since(
        self, version: Version
    ) -> tuple[BackendChange, ...] | None:
        """Return the last change of each server after a version.

        ``None`` if some of these changes are no longer kept.
        """
        if version < self._oldest_base:
            return None
        last_changes: dict[str, BackendChange] = {}
        for change in self._changes:
            if change.version > version:
                last_changes[change.backend_id] = change
        return tuple(last_changes.values())


def directory_digest(backends: Iterable[Backend]) -> int:
    """Return a digest of a set of backend servers, independent of order.

    The remaining warm-up time is left out, since it differs in every record
    of a server and does not count as a change.
    """
    digest = 0
    for backend_server in backends:
        address = (
            f'{backend_server.service} '
            f'{backend_server.host}:{backend_server.port} '
            f'{backend_server.failure_domain}'
        )
        status = (
            f'{backend_server.slots} {backend_server.is_draining} '
            f'{backend_server.is_cold}'
        )
        text = (
            f'{backend_server.backend_id} {backend_server.started_ms} '
            f'{address} {status}'
        )
        digest ^= xxh3_64_intdigest(text.encode('utf-8'))
    return digest


def apply_changes(
    backends: Mapping[str, Backend],
    changes: Iterable[BackendChange],
) -> dict[str, Backend]:
    """Return a copy of the backend servers with the changes applied."""
    after = dict(backends)
    for change in changes:
        if change.backend is None:
            after.pop(change.backend_id, None)
        else:
            after[change.backend_id] = change.backend
    return after
