"""State of a VM: operator configuration, evacuations and registry."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from turmericpost_core.fleet.backends import Backend, Version
from turmericpost_core.fleet.changes import RegistryUpdate
from turmericpost_core.fleet.config_updates import ConfigHistory, ConfigUpdate
from turmericpost_core.fleet.directory import BackendDirectory, UpdateOutcome
from turmericpost_core.fleet.earlier_era import (
    EARLIER_ERA_HOLD_S,
    EarlierServers,
)
from turmericpost_core.fleet.operator_config import (
    OperatorConfig,
    RouteIndex,
)
from turmericpost_core.fleet.store_position import START, StorePosition


@dataclass(frozen=True, slots=True)
class OperatorChange:
    """A record of the operator at a position.

    Contains either a configuration or a failure domain that is evacuated or,
    if ``is_evacuated`` is false, back in service.
    """

    offset: StorePosition
    config: OperatorConfig | None = None
    evacuated_domain: str = ''
    is_evacuated: bool = True


@dataclass(frozen=True, slots=True)
class KnownVersions:
    """Versions of the state of a VM; ``None`` for parts it does not have."""

    operator_offset: StorePosition = START
    config: int | None = None
    backends: Version | None = None


@dataclass(frozen=True, slots=True)
class FleetUpdate:
    """State that a VM sends to another one that has older versions.

    ``config_version`` is the version in force on the sender. ``config`` is
    ``None`` if the receiver already has that version.
    """

    operator_offset: StorePosition
    config_version: int | None
    config: ConfigUpdate | None
    evacuated: frozenset[str]
    registry: RegistryUpdate


class FleetState:
    """State built from platform records; it never returns to older versions.

    ``evacuated`` are the failure domains that the operator's records name, and
    ``out_of_service`` those whose backend servers are not used. If the store
    returns from a copy, a domain that was evacuated before stays out of service
    for ``EARLIER_ERA_HOLD_S``, and the configuration in force until there is a
    newer one.
    """

    def __init__(self) -> None:
        self.routes = RouteIndex(())
        self.evacuated: frozenset[str] = frozenset()
        self.operator_offset = START
        self.directory = BackendDirectory()
        self._configs = ConfigHistory()
        self._stored_config: int | None = None
        self._unconfirmed_until_s: float | None = None
        self.out_of_service: frozenset[str] = frozenset()
        self._held_until_s: dict[str, float] = {}
        self._usable = _UsableBackends(
            {}, EarlierServers({}, {}), frozenset(), frozenset()
        )

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

    @property
    def held_config(self) -> int | None:
        """The version in force if the store may have lost it, else ``None``.

        A VM that has not read the store in a new era can't know, and assumes so
        for ``EARLIER_ERA_HOLD_S``.
        """
        in_force = self.versions.config
        if in_force is None or self._unconfirmed_until_s is not None:
            return in_force
        is_stored = in_force <= (self._stored_config or in_force)
        return None if is_stored else in_force

    def withhold(self, now_s: float) -> bool:
        """Update what is held from an earlier era; return whether it changed."""
        self._held_until_s = {
            domain: min(until_s, now_s + EARLIER_ERA_HOLD_S)
            for domain, until_s in self._held_until_s.items()
            if now_s < until_s
        }
        unconfirmed_until_s = self._unconfirmed_until_s
        if unconfirmed_until_s is not None:
            self._unconfirmed_until_s = (
                min(unconfirmed_until_s, now_s + EARLIER_ERA_HOLD_S)
                if now_s < unconfirmed_until_s
                else None
            )
        is_changed = self._update_out_of_service()
        return self.directory.withhold(now_s) or is_changed

    def apply_operator_records(
        self,
        changes: Iterable[OperatorChange],
        next_offset: StorePosition,
    ) -> bool:
        """Apply new records of the operator; return whether anything changed.

        Records before ``operator_offset`` are skipped.
        """
        changed = False
        for change in changes:
            if change.offset >= self.operator_offset:
                changed = self._apply(change) or changed
        self.operator_offset = max(self.operator_offset, next_offset)
        self._update_out_of_service()
        return changed

    def resync_operator(
        self,
        changes: Iterable[OperatorChange],
        next_offset: StorePosition,
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
        changed = self._begin_era(next_offset) or bool(self.evacuated - domains)
        self.evacuated &= domains
        self.operator_offset = START
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
        """Apply the parts of an update from another VM that are newer.

        A configuration is newer by its version, since the store may have lost
        it and given its position to another one.
        """
        versions_before = self.versions
        if not self._apply_config_update(update):
            return UpdateOutcome.MISMATCH
        if update.operator_offset > self.operator_offset:
            self._begin_era(update.operator_offset)
            self.operator_offset = update.operator_offset
            self.evacuated = update.evacuated
            self._release(update.evacuated)
            self._update_out_of_service()
        outcome = self.directory.apply_update(update.registry)
        is_applied = self.versions != versions_before
        if is_applied and outcome is UpdateOutcome.UNCHANGED:
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
            self.directory.earlier_servers,
            self.out_of_service,
            self.directory.withheld,
        )
        if any(
            used is not current
            for used, current in zip(self._usable.basis, basis, strict=True)
        ):
            self._usable = _UsableBackends(*basis)
        return self._usable

    def _begin_era(self, position: StorePosition) -> bool:
        """Hold what the store may have lost if a position is of another era.

        Returns whether it is.
        """
        if position.era == self.operator_offset.era:
            return False
        self._held_until_s.update(
            (domain, float('inf')) for domain in self.out_of_service
        )
        if self.config is not None:
            self._stored_config = None
            self._unconfirmed_until_s = float('inf')
        return True

    def _update_out_of_service(self) -> bool:
        """Update the domains whose servers are not used; return if changed."""
        domains = self.evacuated.union(self._held_until_s)
        if domains == self.out_of_service:
            return False
        self.out_of_service = domains
        return True

    def _release(self, domains: Iterable[str]) -> None:
        """No longer hold domains of which the store has a record again."""
        for domain in domains:
            self._held_until_s.pop(domain, None)

    def _apply_config_update(self, update: FleetUpdate) -> bool:
        """Put the configuration of an update in force if it is newer.

        Returns false if the update lacks it, or is based on a missing one.
        """
        if (self.versions.config or 0) >= (update.config_version or 0):
            return True
        if update.config is None:
            return False
        config = self._configs.apply(update.config)
        return config is not None and self._install(config)

    def _apply(self, change: OperatorChange) -> bool:
        if change.config is not None:
            self._stored_config = change.config.version
            self._unconfirmed_until_s = None
            return self._install(change.config)
        before = self.evacuated
        domains = frozenset((change.evacuated_domain,))
        self._release(domains)
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
        earlier_servers: EarlierServers,
        evacuated: frozenset[str],
        withheld: frozenset[str],
    ) -> None:
        self.basis = (registered, earlier_servers, evacuated, withheld)
        self.backends = tuple(
            backend
            for backend in earlier_servers.in_use(registered)
            if not backend.is_draining
            and backend.failure_domain not in evacuated
            and backend.backend_id not in withheld
        )
        self.slots: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for backend in self.backends:
            self.slots[backend.service][backend.failure_domain] += backend.slots
