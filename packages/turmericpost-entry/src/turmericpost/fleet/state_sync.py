"""Synchronisation of the state of this VM with the store and other VMs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from turmericpost.fleet.lag_monitor import LagMonitor
from turmericpost.fleet.messages import StateVersion
from turmericpost.fleet.store import FleetStore
from turmericpost.fleet.store_reader import ReaderCallbacks, StoreReader
from turmericpost.fleet.update_codec import decode_update
from turmericpost.fleet.update_stream import UpdateFetcher
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.directory import UpdateOutcome
from turmericpost_core.fleet.state import (
    FleetState,
    FleetUpdate,
    KnownVersions,
)
from turmericpost_core.fleet.state_lag import (
    MISMATCH,
    StatePart,
    StateWay,
    is_outdated,
)
from turmericpost_core.fleet.store_position import StorePosition, new_position
from turmericpost_core.membership.catch_up import CatchUp
from turmericpost_core.membership.domain_view import DomainView, Vm
from turmericpost_core.membership.store_read_schedule import (
    ReadSchedule,
    is_reader,
)

OTHER_DOMAIN_DELAY_S = 0.3
"""Delay before newer state is fetched from another failure domain.

Within this time a VM of the own domain may offer the state, which saves billed
traffic between domains.
"""

MAX_READ_AGE_S = 999.0
"""Upper limit of the read age in messages, also sent if there was no read."""

STATED_CONFIG_S = 3.0
"""Time for which the statement of another VM counts that it holds a version.

It is repeated with each heartbeat, and with each digest to other domains.
"""

STARTUP_READ_DELAY_S = 0.3
"""Time after the start of a VM in which only seed VMs read the store.

All VMs of a deployment start within this time.
"""

_READER_SUBJECT = 'store-reader'


def _ignore_new_era() -> None:
    """Do nothing when the store has returned from a copy."""


class StateSync:
    """Keeps the state of this VM up to date.

    ``on_change`` is called after each change with its source: ``registry``
    or ``operator`` for a read of the store, else the name of the VM that sent
    the update. ``is_seed_vm`` is true if other VMs contact this one when they
    start. ``on_new_era`` is called when the store has returned from a copy.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: FleetStore,
        view: DomainView,
        schedule: ReadSchedule,
        on_change: Callable[[str], None],
        *,
        is_seed_vm: bool = True,
    ) -> None:
        self.state = FleetState()
        self._catch_up = CatchUp(view.own.name, schedule)
        self.monitor = LagMonitor(
            clock,
            self.state,
            schedule.behind_after_s,
            self._catch_up.hand_on_failed,
        )
        self.reader = StoreReader(
            reactor,
            clock,
            store,
            self.state,
            schedule,
            ReaderCallbacks(
                self.is_reader,
                self._is_first_reader,
                self._must_catch_up,
                self._state_changed,
                self.monitor.store_read,
            ),
        )
        self._reactor = reactor
        self._clock = clock
        self._view = view
        self._schedule = schedule
        self._on_change = on_change
        self.on_new_era: Callable[[], None] = _ignore_new_era
        self.store_era: int | None = None
        self._fetcher = UpdateFetcher(
            reactor,
            self._apply_update,
            self._start_deferred_fetch,
            self._retry_busy,
            self._fetch_failed,
        )
        self._fetched_versions: dict[str, StateVersion] = {}
        self._deferred_fetch: tuple[Vm, StateVersion] | None = None
        delay_s = 0 if is_seed_vm else STARTUP_READ_DELAY_S
        self._may_read_from_s = clock.monotonic_s() + delay_s
        self._read_ages_s: dict[str, tuple[float, float]] = {}
        self._newer_since_s: dict[str, float] = {}
        self._operator_offsets: dict[str, StorePosition] = {}
        self._stated_configs: dict[str, tuple[int, float]] = {}
        self._logged_era: int | None = None

    def state_version(self) -> StateVersion:
        """Return the version of this VM's state for heartbeats."""
        age_s = self._clock.monotonic_s() - self.reader.last_read_s
        return StateVersion(
            read_age_s=min(age_s, MAX_READ_AGE_S),
            operator_offset=self.state.operator_offset,
            backends=self.state.directory.version,
            next_offset=self.state.directory.resume_offset,
        )

    def era_stated(self, era: int) -> None:
        """Record the era that the store states.

        If it has risen, the reader lists anew what this VM has read.
        """
        self.reader.era_stated(era)
        was = self.store_era
        if was is None or era > was:
            self.store_era = era
            self._era_risen(was, era, 'store')

    def held_config_received(self, vm_name: str, version: int) -> None:
        """Record that another VM has a version that the store may lack.

        It says so again and again for as long as it has it.
        """
        now_s = self._clock.monotonic_s()
        self._stated_configs[vm_name] = (version, now_s)

    def is_reader(self) -> bool:
        """Return whether this VM should read the store now.

        A VM that has just started waits for state from others first, unless
        it is a seed VM. One that lacked updates of the reader reads, too.
        """
        now_s = self._clock.monotonic_s()
        if self.state.config is None and now_s < self._may_read_from_s:
            return False
        if self._catch_up.reads_on(now_s):
            return True
        ages_s = {
            name: age_s + now_s - received_s
            for name, (age_s, received_s) in self._read_ages_s.items()
        }
        names = self._ranked_readers(now_s)
        return is_reader(names, self._view.own.name, ages_s, self._schedule)

    def state_version_received(
        self, vm: Vm, state_version: StateVersion
    ) -> None:
        """Fetch the state of another VM if it is newer.

        State of another failure domain is fetched only if it has been newer
        for ``OTHER_DOMAIN_DELAY_S``.
        """
        now_s = self._clock.monotonic_s()
        self.monitor.version_stated(vm.name, state_version)
        self._era_risen(
            self.store_era, state_version.operator_offset.era, vm.name
        )
        is_same_domain = vm.failure_domain == self._view.own.failure_domain
        if is_same_domain:
            self._record_read_age(vm.name, state_version)
            self._operator_offsets[vm.name] = state_version.operator_offset
        if not self._is_newer(vm, state_version):
            self._newer_since_s.pop(vm.failure_domain, None)
            self._advance_offset(state_version)
            return
        if not is_same_domain and vm.failure_domain not in self._newer_since_s:
            self._reactor.callLater(
                OTHER_DOMAIN_DELAY_S, self._fetch_operator_part, vm
            )
        newer_since_s = self._newer_since_s.setdefault(vm.failure_domain, now_s)
        if is_same_domain or now_s - newer_since_s > OTHER_DOMAIN_DELAY_S:
            self._fetch(vm, state_version)

    def push_received(self, sender: str, wire: bytes) -> None:
        """Apply a pushed update; ignore one that does not match the state.

        The sender also sends a heartbeat, and if its state is still newer then,
        this VM fetches it.
        """
        decoded = decode_update(wire)
        if decoded.is_err():
            detail = decoded.unwrap_err().detail
            self.monitor.failed(
                StateWay.PUSH, 'malformed', vm=sender, detail=detail
            )
            return
        versions_before = self.state.versions
        update = decoded.unwrap()
        self.monitor.update_received(StateWay.PUSH, sender, update)
        outcome = self.state.apply_update(update)
        if outcome is UpdateOutcome.MISMATCH:
            self.held_config_received(sender, update.config_version or 0)
            self.monitor.failed(StateWay.PUSH, MISMATCH, vm=sender)
        if self._has_changed(versions_before, outcome):
            self._state_changed(sender)

    def vms_lost(self, names: Iterable[str]) -> None:
        """Remove the read ages and state versions of lost VMs."""
        for name in names:
            self._read_ages_s.pop(name, None)
            self._fetched_versions.pop(name, None)
            self._operator_offsets.pop(name, None)
            self._stated_configs.pop(name, None)

    def retry_after_behind_s(self) -> float | None:
        """Return when a call whose route is unknown here should be retried.

        ``None`` if no other VM is known to have a newer configuration.
        """
        is_behind = self.monitor.lag.part(StatePart.OPERATOR).newest is not None
        if not (is_behind or any(map(self._lacks, self._stated_configs))):
            return None
        return self._schedule.behind_after_s

    def is_outdated(self) -> bool:
        """Return whether the configuration is too old for new callers."""
        return is_outdated(
            self.monitor.lag.part(StatePart.OPERATOR),
            self._operator_offsets.values(),
            self._clock.monotonic_s(),
            self._schedule.outdated_after_s,
        )

    def _era_risen(self, was: int | None, era: int | None, source: str) -> None:
        """Log once that the era has risen, with who told it first."""
        if was is None or era is None or era <= was:
            return
        if era != self._logged_era:
            self._logged_era = era
            log_event(
                LogEvent.STORE_ERA_CHANGED, was=was, era=era, source=source
            )
            self.on_new_era()

    def _record_read_age(
        self, vm_name: str, state_version: StateVersion
    ) -> None:
        """Record when another VM of the domain has read the store.

        What it reads in an earlier era never counts as newer here, so this VM
        can't rely on it. An earlier release states no era.
        """
        era_begin = new_position(self.state.directory.era, 0)
        if state_version.backends[0] < era_begin:
            self._read_ages_s.pop(vm_name, None)
            return
        now_s = self._clock.monotonic_s()
        self._read_ages_s[vm_name] = (state_version.read_age_s, now_s)
        self.reader.peer_has_read(now_s - state_version.read_age_s)

    def _has_changed(
        self, before: KnownVersions, outcome: UpdateOutcome
    ) -> bool:
        """Return whether an update changed the state, even if only in part."""
        is_applied = outcome is UpdateOutcome.APPLIED
        return is_applied or self.state.versions != before

    def _state_changed(self, source: str) -> None:
        self.monitor.state_changed(source)
        self._on_change(source)

    def _fetch_failed(self, vm: Vm, cause: str, detail: str) -> None:
        self.monitor.failed(StateWay.FETCH, cause, vm=vm.name, detail=detail)

    def _is_first_reader(self) -> bool:
        """Return whether no other VM of the domain should read before this."""
        names = self._ranked_readers(self._clock.monotonic_s())
        return names[:1] == (self._view.own.name,)

    def _ranked_readers(self, now_s: float) -> tuple[str, ...]:
        """Return the names of the domain's VMs in the order in which they read."""
        domain = self._view.own.failure_domain
        ranked = self._view.ranked(_READER_SUBJECT, domain, now_s)
        return tuple(vm.name for vm in ranked)

    def _must_catch_up(self, part: StatePart) -> bool:
        """Return whether this VM should read a part that others have newer."""
        return self._catch_up.must_read(
            self.monitor.lag.part(part).since_s, self._clock.monotonic_s()
        )

    def _lacks(self, vm_name: str) -> bool:
        """Return whether another VM has stated a newer configuration."""
        if vm_name not in self._stated_configs:
            return False
        version, stated_s = self._stated_configs[vm_name]
        if self._clock.monotonic_s() - stated_s > STATED_CONFIG_S:
            return False
        return version > (self.state.versions.config or 0)

    def _is_newer(self, vm: Vm, state_version: StateVersion) -> bool:
        state = self.state
        if state_version.operator_offset > state.operator_offset:
            return True
        if self._lacks(vm.name):
            return True
        return state.directory.lacks(
            state_version.backends, state_version.next_offset
        )

    def _advance_offset(self, state_version: StateVersion) -> None:
        """Skip the registry records that another VM read.

        They changed nothing, as both VMs have the same registry version. That
        says nothing of removals before it that have not taken effect here.
        """
        directory = self.state.directory
        is_equal = state_version.backends == directory.version
        if is_equal and directory.is_settled:
            directory.read_by_peer(state_version.next_offset)

    def _fetch(self, vm: Vm, state_version: StateVersion) -> None:
        self._fetched_versions[vm.name] = state_version
        if not self._fetcher.fetch(vm, self.state.versions):
            self._deferred_fetch = (vm, state_version)

    def _retry_busy(self, vm: Vm) -> None:
        """Fetch again from a VM that was busy if its state is still newer."""
        state_version = self._fetched_versions.get(vm.name)
        if state_version is not None:
            self._fetch_if_newer(vm, state_version)

    def _start_deferred_fetch(self) -> None:
        """Start the fetch that was deferred while others were in progress."""
        if self._deferred_fetch is None:
            return
        vm, state_version = self._deferred_fetch
        self._deferred_fetch = None
        self._fetch_if_newer(vm, state_version)

    def _fetch_operator_part(self, vm: Vm) -> None:
        """Fetch from another failure domain if this one lacks operator records.

        A reader of the own domain has them at once, but reads the registry only
        once in a period, so that newer state there means nothing.
        """
        is_behind = self.monitor.lag.part(StatePart.OPERATOR).newest is not None
        if is_behind or self._lacks(vm.name):
            self._fetcher.fetch(vm, self.state.versions)

    def _fetch_if_newer(self, vm: Vm, state_version: StateVersion) -> None:
        if self._is_newer(vm, state_version):
            self._fetch(vm, state_version)

    def _apply_update(self, update: FleetUpdate, vm: Vm) -> None:
        """Apply a fetched update.

        Fetches a full update if a partial one does not match the state.
        """
        versions_before = self.state.versions
        self.monitor.update_received(StateWay.FETCH, vm.name, update)
        outcome = self.state.apply_update(update)
        if self._has_changed(versions_before, outcome):
            self._state_changed(vm.name)
        if outcome is UpdateOutcome.MISMATCH:
            is_whole = update.registry.base is None
            self.monitor.failed(
                StateWay.FETCH,
                MISMATCH,
                vm=vm.name,
                version=update.registry.version,
                is_whole=is_whole,
            )
            if not is_whole:
                self._fetcher.fetch(vm, KnownVersions())
