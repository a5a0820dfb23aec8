"""State of a VM: operator configuration, evacuations and registry."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from turmericpost_core.fleet.backends import Backend, Version
from turmericpost_core.fleet.changes import RegistryUpdate
from turmericpost_core.fleet.config_updates import ConfigHistory, ConfigUpdate
from turmericpost_core.fleet.directory import BackendDirectory, UpdateOutcome
from turmericpost_core.fleet.operator_config import (
    OperatorConfig,
    RouteIndex,
)


@dataclass(frozen=True, slots=True)
class OperatorChange:
    """A record of the operator at an offset.

    Contains either a configuration or a failure domain that is evacuated or,
    if ``is_evacuated`` is false, back in service.
    """

    offset: int
    config: OperatorConfig | None = None
    evacuated_domain: str = ''
    is_evacuated: bool = True


@dataclass(frozen=True, slots=True)
class KnownVersions:
    """Versions of the state of a VM; ``None`` for parts it does not have."""

    operator_offset: int = 0
    config: int | None = None
    backends: Version | None = None


@dataclass(frozen=True, slots=True)
class FleetUpdate:
    """State that a VM sends to another one that has older versions.

    ``config_version`` is the version in force on the sender. ``config`` is
    ``None`` if the receiver already has that version.
    """

    operator_offset: int
    config_version: int | None
    config: ConfigUpdate | None
    evacuated: frozenset[str]
    registry: RegistryUpdate


class FleetState:
    """State built from platform records; it never returns to older versions."""

    def __init__(self) -> None:
        self.routes = RouteIndex(())
        self.evacuated: frozenset[str] = frozenset()
        self.operator_offset = 0
        self.directory = BackendDirectory()
        self._configs = ConfigHistory()
        self._usable = _UsableBackends({}, frozenset(), frozenset())

    @property
    def config(self) -> OperatorConfig | None:
        """The configuration in force."""
        return self._configs.newest

    @property
    def versions(self) -> KnownVersions:
        """The versions of this state."""
        config = self.config
        return KnownVersions(
            self.operator_offset,
            None if config is None else config.version,
            self.directory.version,
        )

    def apply_operator_records(
        self,
        changes: Iterable[OperatorChange],
        next_offset: int,
    ) -> bool:
        """Apply new records of the operator; return whether anything changed.

        Records before ``operator_offset`` are skipped.
        """
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
        """Replace the operator state by a full listing.

        Failure domains that are not listed are no longer evacuated. Returns
        whether anything changed; an older listing is ignored.
        """
        if next_offset < self.operator_offset:
            return False
        listed = tuple(changes)
        domains = frozenset(
            entry.evacuated_domain for entry in listed if entry.is_evacuated
        )
        changed = bool(self.evacuated - domains)
        self.evacuated &= domains
        self.operator_offset = 0
        return self.apply_operator_records(listed, next_offset) or changed

    def update_since(self, known: KnownVersions) -> FleetUpdate:
        """Return the update for a VM whose state has these versions."""
        return FleetUpdate(
            self.operator_offset,
            self.versions.config,
            self._configs.update_since(known.config),
            self.evacuated,
            self.directory.update_since(known.backends),
        )

    def apply_update(self, update: FleetUpdate) -> UpdateOutcome:
        """Apply the parts of an update from another VM that are newer."""
        is_operator_applied = False
        if update.operator_offset > self.operator_offset:
            if not self._apply_operator_update(update):
                return UpdateOutcome.MISMATCH
            is_operator_applied = True
        outcome = self.directory.apply_update(update.registry)
        if is_operator_applied and outcome is UpdateOutcome.UNCHANGED:
            return UpdateOutcome.APPLIED
        return outcome

    def usable_backends(self) -> tuple[Backend, ...]:
        """Return the backend servers that accept new calls.

        Draining and withheld servers and evacuated failure domains are excluded.
        """
        return self._current_usable().backends

    def slots(self, service: str) -> Mapping[str, int]:
        """Return the usable slots of a service by failure domain."""
        return self._current_usable().slots.get(service, {})

    def _current_usable(self) -> _UsableBackends:
        """Return the usable servers, computed anew only after a change."""
        basis = (
            self.directory.backends,
            self.evacuated,
            self.directory.withheld,
        )
        if any(
            used is not current
            for used, current in zip(self._usable.basis, basis, strict=True)
        ):
            self._usable = _UsableBackends(*basis)
        return self._usable

    def _apply_operator_update(self, update: FleetUpdate) -> bool:
        """Apply configuration and evacuations.

        Returns false if the base configuration of the update is missing.
        """
        if update.config is not None:
            config = self._configs.apply(update.config)
            if config is None:
                return False
            self._install(config)
        if (self.versions.config or 0) < (update.config_version or 0):
            return False
        self.operator_offset = update.operator_offset
        self.evacuated = update.evacuated
        return True

    def _apply(self, change: OperatorChange) -> bool:
        if change.config is not None:
            return self._install(change.config)
        before = self.evacuated
        domains = frozenset((change.evacuated_domain,))
        self.evacuated = (
            before | domains if change.is_evacuated else before - domains
        )
        return self.evacuated != before

    def _install(self, config: OperatorConfig) -> bool:
        if not self._configs.install(config):
            return False
        self.routes = RouteIndex(config.routes)
        return True


class _UsableBackends:
    """Usable backend servers, and their slots by service and domain."""

    def __init__(
        self,
        registered: Mapping[str, Backend],
        evacuated: frozenset[str],
        withheld: frozenset[str],
    ) -> None:
        self.basis = (registered, evacuated, withheld)
        self.backends = tuple(
            backend
            for backend in registered.values()
            if not backend.is_draining
            and backend.failure_domain not in evacuated
            and backend.backend_id not in withheld
        )
        self.slots: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for backend in self.backends:
            self.slots[backend.service][backend.failure_domain] += backend.slots
