"""Recent changes of the registry, told to VMs in place of the whole.

A release replaces a server or two between two reads. The whole registry is
forty kilobytes at 400 servers; a VM that tells it to every other of its
failure domain fills a ten megabit link for more than a second each time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from turmericpost_core.fleet.backends import Backend, Version

MAX_KEPT_CHANGES = 2048
"""Changes kept for others: all 1,100 servers of two years from now, replaced
once, with the end of the old one and the start of the new one each."""


@dataclass(frozen=True, slots=True)
class BackendChange:
    """A backend server as it is from a version on; ``None`` if it is gone."""

    version: Version
    backend_id: str
    backend: Backend | None


@dataclass(frozen=True, slots=True)
class RegistryUpdate:
    """What leads from one version of the registry to a newer one.

    No ``base`` means that the changes are the whole registry. ``digest`` is
    that of the backend servers at the newer version.
    """

    base: Version | None
    version: Version
    next_offset: int
    digest: int
    changes: tuple[BackendChange, ...]


class ChangeLog:
    """Changes in the order in which they were made, up to a bound."""

    def __init__(self) -> None:
        self._changes: deque[BackendChange] = deque()
        self._complete_from: Version = (0, 0)

    def record(self, change: BackendChange) -> None:
        """Add a change; the oldest makes room."""
        self._changes.append(change)
        if len(self._changes) > MAX_KEPT_CHANGES:
            self._complete_from = self._changes.popleft().version

    def reset(self, version: Version) -> None:
        """Forget all: what led to a version is not known one by one."""
        self._changes.clear()
        self._complete_from = version

    def changes_since(
        self, version: Version
    ) -> tuple[BackendChange, ...] | None:
        """Return what came after a version, the last change of each server.

        ``None`` if some of it is not kept any more.
        """
        if version < self._complete_from:
            return None
        last: dict[str, BackendChange] = {}
        for change in self._changes:
            if change.version > version:
                last[change.backend_id] = change
        return tuple(last.values())


def directory_digest(backends: Iterable[Backend]) -> int:
    """Return a number that two equal sets of backend servers share.

    It leaves out how long a server stays cold, which each record tells anew
    without counting as a change.
    """
    digest = 0
    for one in backends:
        address = f'{one.service} {one.host}:{one.port} {one.failure_domain}'
        status = f'{one.slots} {one.is_draining} {one.is_cold}'
        text = f'{one.backend_id} {one.started_ms} {address} {status}'
        digest ^= xxh3_64_intdigest(text.encode('utf-8'))
    return digest


def apply_changes(
    backends: Mapping[str, Backend],
    changes: Iterable[BackendChange],
) -> dict[str, Backend]:
    """Return the backend servers after some changes."""
    after = dict(backends)
    for change in changes:
        if change.backend is None:
            after.pop(change.backend_id, None)
        else:
            after[change.backend_id] = change.backend
    return after
