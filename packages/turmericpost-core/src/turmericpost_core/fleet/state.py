"""What a VM knows of configuration, evacuations and backend servers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from turmericpost_core.fleet.backends import (
    Backend,
    BackendDirectory,
    Version,
)
from turmericpost_core.fleet.operator_config import (
    OperatorConfig,
    RouteIndex,
)


@dataclass(frozen=True, slots=True)
class OperatorChange:
    """A record of the operator, in offset order.

    Holds a configuration, or a failure domain that is put out of service
    or, if ``is_set`` is false, taken back.
    """

    offset: int
    config: OperatorConfig | None = None
    evacuated_domain: str = ''
    is_set: bool = True


@dataclass(frozen=True)
class FleetSnapshot:
    """All that one VM can tell another of the platform."""

    operator_offset: int
    config: OperatorConfig | None
    evacuated: frozenset[str]
    backends_version: Version
    next_offset: int
    backends: tuple[Backend, ...]


class FleetState:
    """Folds the records of the platform; never goes back to older ones."""

    def __init__(self) -> None:
        self.config: OperatorConfig | None = None
        self.routes = RouteIndex(())
        self.evacuated: frozenset[str] = frozenset()
        self.operator_offset = 0
        self.directory = BackendDirectory()

    def fold_operator(
        self,
        changes: Iterable[OperatorChange],
        next_offset: int,
    ) -> bool:
        """Apply the operator's records; return whether anything changed."""
        changed = False
        for change in changes:
            if change.offset >= self.operator_offset:
                changed = self._apply(change) or changed
        self.operator_offset = max(self.operator_offset, next_offset)
        return changed

    def resync_operator(
        self,
        changes: Iterable[OperatorChange],
        next_offset: int,
    ) -> bool:
        """Take a full listing; what it does not name is not evacuated."""
        if next_offset < self.operator_offset:
            return False
        listed = tuple(changes)
        named = frozenset(one.evacuated_domain for one in listed if one.is_set)
        changed = bool(self.evacuated - named)
        self.evacuated &= named
        self.operator_offset = 0
        return self.fold_operator(listed, next_offset) or changed

    def snapshot(self) -> FleetSnapshot:
        """Return all that is known."""
        return FleetSnapshot(
            self.operator_offset,
            self.config,
            self.evacuated,
            self.directory.version,
            self.directory.next_offset,
            tuple(self.directory.backends.values()),
        )

    def adopt(self, snapshot: FleetSnapshot) -> bool:
        """Take what is newer in another VM's snapshot."""
        changed = False
        if snapshot.operator_offset > self.operator_offset:
            self.operator_offset = snapshot.operator_offset
            changed = self.evacuated != snapshot.evacuated
            self.evacuated = snapshot.evacuated
            if snapshot.config is not None:
                changed = self._install(snapshot.config) or changed
        adopted = self.directory.adopt(
            snapshot.backends,
            snapshot.backends_version,
            snapshot.next_offset,
        )
        return adopted or changed

    def usable_backends(self) -> tuple[Backend, ...]:
        """Return the backend servers that new calls may go to."""
        return tuple(
            backend
            for backend in self.directory.backends.values()
            if not backend.is_draining
            and backend.failure_domain not in self.evacuated
        )

    def slots(self, service: str) -> Counter[str]:
        """Return the usable slots of a service in each failure domain."""
        found: Counter[str] = Counter()
        for backend in self.usable_backends():
            if backend.service == service:
                found[backend.failure_domain] += backend.slots
        return found

    def _apply(self, change: OperatorChange) -> bool:
        if change.config is not None:
            return self._install(change.config)
        before = self.evacuated
        named = frozenset((change.evacuated_domain,))
        self.evacuated = before | named if change.is_set else before - named
        return self.evacuated != before

    def _install(self, config: OperatorConfig) -> bool:
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.routes = RouteIndex(config.routes)
        return True
