"""How this VM learns: by reading the store in turn, and from other VMs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

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
from turmericpost_core.membership.domain_view import DomainView, Vm
from turmericpost_core.membership.store_read_schedule import (
    ReadSchedule,
    is_reader,
)

OTHER_DOMAIN_DELAY_S = 0.3
"""Time given to one's own domain to learn what another domain knows, since
bytes between domains are billed."""

MAX_READ_AGE_S = 999.0
"""Age told of a read that never was."""

STARTUP_READ_DELAY_S = 0.3
"""Time after its start for which a VM leaves reading to the VMs that its
settings name: all VMs of a deployment start within as much."""

_READER_SUBJECT = 'store-reader'


class StateSync:
    """Keeps the state of this VM up to date."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: FleetStore,
        view: DomainView,
        schedule: ReadSchedule,
        changed: Callable[[str], None],
        *,
        is_seed_vm: bool = True,
    ) -> None:
        self.state = FleetState()
        self.reader = StoreReader(
            reactor,
            clock,
            store,
            self.state,
            schedule,
            ReaderCallbacks(self.is_reader, changed),
        )
        self._clock = clock
        self._view = view
        self._schedule = schedule
        self._changed = changed
        self._fetches = UpdateFetcher(
            reactor,
            self._apply_update,
            self._start_deferred_fetch,
            self._retry_busy,
        )
        self._fetching: dict[str, StateVersion] = {}
        self._deferred_fetch: tuple[Vm, StateVersion] | None = None
        delay_s = 0 if is_seed_vm else STARTUP_READ_DELAY_S
        self._may_read_from_s = clock.monotonic_s() + delay_s
        self._read_ages_s: dict[str, tuple[float, float]] = {}
        self._ahead_since_s: dict[str, float] = {}

    def state_version(self) -> StateVersion:
        """Return how new what this VM knows is."""
        age_s = self._clock.monotonic_s() - self.reader.last_read_s
        return StateVersion(
            read_age_s=min(age_s, MAX_READ_AGE_S),
            operator_offset=self.state.operator_offset,
            backends=self.state.directory.version,
            next_offset=self.state.directory.next_offset,
        )

    def is_reader(self) -> bool:
        """Return whether it is this VM's turn to read the store.

        A VM that has just started hears from others first, unless it is one
        of those whom all others ask.
        """
        now_s = self._clock.monotonic_s()
        if self.state.config is None and now_s < self._may_read_from_s:
            return False
        own = self._view.own
        ranked = self._view.ranked(_READER_SUBJECT, own.failure_domain, now_s)
        ages_s = {
            name: age_s + now_s - received_s
            for name, (age_s, received_s) in self._read_ages_s.items()
        }
        names = tuple(vm.name for vm in ranked)
        return is_reader(names, own.name, ages_s, self._schedule)

    def state_version_received(
        self, vm: Vm, state_version: StateVersion
    ) -> None:
        """Fetch what another VM knows if it is newer.

        From another domain only after giving one's own some time.
        """
        now_s = self._clock.monotonic_s()
        is_same_domain = vm.failure_domain == self._view.own.failure_domain
        if is_same_domain:
            self._read_ages_s[vm.name] = (state_version.read_age_s, now_s)
        if not self._is_ahead(state_version):
            self._ahead_since_s.pop(vm.failure_domain, None)
            self._advance_offset(state_version)
            return
        ahead_since_s = self._ahead_since_s.setdefault(vm.failure_domain, now_s)
        if is_same_domain or now_s - ahead_since_s > OTHER_DOMAIN_DELAY_S:
            self._fetch(vm, state_version)

    def push_received(self, sender: str, wire: bytes) -> None:
        """Take a small update; one that does not fit is left alone.

        The teller's heartbeat, which comes with it, leads to a fetch then.
        """
        decoded = decode_update(wire)
        if decoded.is_err():
            detail = decoded.unwrap_err().detail
            log_event(LogEvent.UPDATE_FAILED, vm=sender, detail=detail)
            return
        before = self.state.versions
        self.state.apply_update(decoded.unwrap())
        if self.state.versions != before:
            self._changed(sender)

    def vms_lost(self, names: Iterable[str]) -> None:
        """Forget how new the reads of lost VMs were."""
        for name in names:
            self._read_ages_s.pop(name, None)
            self._fetching.pop(name, None)

    def _is_ahead(self, state_version: StateVersion) -> bool:
        state = self.state
        if state_version.operator_offset > state.operator_offset:
            return True
        return state_version.backends > state.directory.version

    def _advance_offset(self, state_version: StateVersion) -> None:
        """Go on reading where another VM is, if it found nothing new."""
        directory = self.state.directory
        if state_version.backends == directory.version:
            directory.next_offset = max(
                directory.next_offset,
                state_version.next_offset,
            )

    def _fetch(self, vm: Vm, state_version: StateVersion) -> None:
        self._fetching[vm.name] = state_version
        if not self._fetches.fetch(vm, self.state.versions):
            self._deferred_fetch = (vm, state_version)

    def _retry_busy(self, vm: Vm) -> None:
        """Fetch from a VM that was busy if it is still ahead."""
        state_version = self._fetching.get(vm.name)
        if state_version is not None and self._is_ahead(state_version):
            self._fetch(vm, state_version)

    def _start_deferred_fetch(self) -> None:
        """Fetch what was heard of while other fetches were under way."""
        if self._deferred_fetch is None:
            return
        vm, state_version = self._deferred_fetch
        self._deferred_fetch = None
        if self._is_ahead(state_version):
            self._fetch(vm, state_version)

    def _apply_update(self, update: FleetUpdate, vm: Vm) -> None:
        """Take an update; if its changes do not fit, fetch the whole."""
        before = self.state.versions
        outcome = self.state.apply_update(update)
        if self.state.versions != before:
            self._changed(vm.name)
        if outcome is UpdateOutcome.MISMATCH:
            is_whole = update.registry.base is None
            log_event(
                LogEvent.UPDATE_DIFFERS,
                vm=vm.name,
                version=update.registry.version,
                is_whole=is_whole,
            )
            if not is_whole:
                self._fetches.fetch(vm, KnownVersions())
