"""Reads registry and operator records from the store as they are written.

Usually one VM of each failure domain does so; see ``is_reader``. Another one
does while it is behind and gets no updates. A reader that is behind the store
lists the newest record of each key instead of reading all records in order.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet.task import deferLater

from turmericpost.background import start_loop
from turmericpost.fleet.store import (
    FleetStore,
    InvalidRecord,
    OperatorRecords,
    Registrations,
)
from turmericpost.observe.events import LogEvent, log_event
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.earlier_era import REREGISTRATION_GRACE_S
from turmericpost_core.fleet.state import FleetState
from turmericpost_core.fleet.state_lag import StatePart
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.membership.store_read_schedule import (
    MAX_RETRY_PAUSE_S,
    ReadSchedule,
    retry_pause_s,
)

MAX_LOGGED_INVALID = 256
"""Number of keys whose invalid records are logged; all are counted."""

_IDLE_CHECK_S = 0.1
_MAX_DETAIL_CHARACTERS = 200
_MAX_LOGGED_SERVERS = 8


@dataclass(frozen=True)
class ReaderCallbacks:
    """Callbacks of the store reader.

    ``is_reader`` returns whether this VM should read now, ``is_first_reader``
    whether it is the one that others rely on, ``must_catch_up`` whether it
    should read one part of the state otherwise. ``changed`` is
    called with ``registry`` or ``operator`` after that part of the state has
    changed, ``was_read`` after each read that contained the newest records, with
    the time when it began.
    """

    is_reader: Callable[[], bool]
    is_first_reader: Callable[[], bool]
    must_catch_up: Callable[[StatePart], bool]
    changed: Callable[[str], None]
    was_read: Callable[[StatePart, float], None]


class StoreReader:
    """Reads registry and operator records while this VM is the reader.

    ``invalid_count`` is the number of invalid records read so far.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: FleetStore,
        state: FleetState,
        schedule: ReadSchedule,
        callbacks: ReaderCallbacks,
    ) -> None:
        self.last_read_s = float('-inf')
        self.invalid_count = 0
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._state = state
        self._schedule = schedule
        self._callbacks = callbacks
        self._failures = 0
        self._is_store_away = False
        self._failed_s = float('-inf')
        self._first_failed_s = float('-inf')
        self._operator_failures = 0
        self._needs_backend_listing = False
        self._needs_operator_listing = False
        self._has_operator_listing = False
        self._era: int | None = None
        self._was_reader = False
        self._is_running = False
        self._logged_invalid: set[str] = set()

    def start(self) -> None:
        """Start the read loops."""
        self._is_running = True
        for loop in (self._follow_backends, self._follow_operator):
            start_loop(self._reactor, loop)

    def stop(self) -> None:
        """Stop the read loops."""
        self._is_running = False
        self._store.stop_watching()

    def era_stated(self, era: int) -> None:
        """Record the era in a response, and end a wait in an earlier one.

        What this VM has read in another era is listed anew. A wait that began
        earlier may end with an earlier era.
        """
        if self._era is not None and era <= self._era:
            return
        self._era = era
        if self._is_of_other_era(self._state.operator_offset):
            self._store.stop_watching()

    def peer_has_read(self, read_s: float) -> None:
        """Record when another VM of the domain read the registry.

        It proves that an outage has ended, perhaps long before this VM reads again.
        """
        if self._is_store_away and read_s > self._failed_s:
            self._outage_ended(read_s)

    async def _follow_backends(self) -> None:
        while self._is_running:
            must_read = self._callbacks.must_catch_up(StatePart.REGISTRY)
            if self._update_reader_role() or must_read:
                await self._read_backends()
                await self._sleep(self._backend_pause_s())
            else:
                self._forget_old_failures()
                await self._sleep(_IDLE_CHECK_S)

    async def _follow_operator(self) -> None:
        while self._is_running:
            pause_s = _IDLE_CHECK_S
            must_read = self._callbacks.must_catch_up(StatePart.OPERATOR)
            if self._callbacks.is_reader() or must_read:
                pause_s = await self._read_operator()
            if pause_s:
                await self._sleep(pause_s)

    def _update_reader_role(self) -> bool:
        """Return whether this VM is the reader; log changes of the role."""
        is_reader = self._callbacks.is_reader()
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            log_event(LogEvent.READER_CHANGED, is_reader=is_reader)
            if not is_reader:
                self._store.stop_watching()
        return is_reader

    def _backend_pause_s(self) -> float:
        """Return the pause in seconds before the next read of the registry.

        Postponed removals are read again as soon as they are due.
        """
        period_s = self._schedule.period_s
        if self._failures and self._callbacks.is_first_reader():
            return period_s
        if self._failures:
            return retry_pause_s(self._failures, self._schedule)
        if self._needs_backend_listing:
            return _IDLE_CHECK_S
        due_s = self._state.directory.postponed_s.values()
        left_s = min(due_s, default=float('inf')) - self._clock.monotonic_s()
        return min(period_s, max(left_s, 0))

    async def _read_backends(self) -> None:
        begun_s = self._clock.monotonic_s()
        directory = self._state.directory
        offset = directory.next_offset
        is_listing = self._needs_backend_listing or not offset
        is_listing = is_listing or self._is_of_other_era(offset)
        if is_listing:
            read_result = await self._store.list_backends()
        else:
            read_result = await self._store.read_backends(offset)
        if read_result.is_err():
            self._backend_read_failed(read_result.unwrap_err(), begun_s)
            return
        self._backend_read_succeeded(begun_s)
        if not is_listing and directory.next_offset < offset:
            # An update led back to records that this read left out.
            return
        self._apply_backends(read_result.unwrap(), begun_s, is_listing)

    def _apply_backends(
        self, read_result: Registrations, begun_s: float, is_listing: bool
    ) -> None:
        self._needs_backend_listing = not read_result.is_complete
        self._log_if_incomplete(StatePart.REGISTRY, read_result, begun_s)
        self._log_invalid(read_result.invalid)
        directory = self._state.directory
        now_s = self._clock.monotonic_s()
        postponed_before = directory.postponed_s
        is_older = is_listing and read_result.next_offset < max(
            directory.next_offset, directory.version[0]
        )
        if is_listing:
            changed = directory.resync(
                read_result.records, read_result.next_offset, now_s
            )
        else:
            changed = directory.apply_records(read_result.records, now_s)
            directory.next_offset = max(
                directory.next_offset,
                read_result.next_offset,
            )
        if read_result.is_complete and not is_older:
            self.last_read_s = begun_s
            changed = self._confirm_removals(begun_s) or changed
            self._callbacks.was_read(StatePart.REGISTRY, begun_s)
        self._log_postponed(postponed_before, now_s)
        if changed:
            self._callbacks.changed('registry')

    def _confirm_removals(self, read_s: float) -> bool:
        """Drop servers that a read found missing; return whether any was."""
        directory = self._state.directory
        before = directory.postponed_s
        if not directory.expire(read_s):
            return False
        expired = sorted(before.keys() - directory.postponed_s.keys())
        log_event(
            LogEvent.REMOVALS_CONFIRMED,
            servers=expired[:_MAX_LOGGED_SERVERS],
            count=len(expired),
            late_s=round(read_s - min(before[name] for name in expired), 3),
        )
        return True

    def _log_postponed(self, before: Mapping[str, float], now_s: float) -> None:
        """Log the removals that have been postponed since ``before``."""
        due_s = self._state.directory.postponed_s
        added = sorted(due_s.keys() - before.keys())
        if added:
            log_event(
                LogEvent.REMOVALS_POSTPONED,
                servers=added[:_MAX_LOGGED_SERVERS],
                count=len(added),
                due_in_s=round(max(due_s[name] for name in added) - now_s, 3),
            )

    async def _read_operator(self) -> float:
        """Read operator records once.

        Returns the pause in seconds before the next read.
        """
        begun_s = self._clock.monotonic_s()
        offset = self._state.operator_offset
        is_first = not (offset or self._has_operator_listing)
        is_listing = is_first or self._needs_operator_listing
        is_listing = is_listing or self._is_of_other_era(offset)
        if is_listing:
            read_result = await self._store.list_operator()
        else:
            read_result = await self._store.watch_operator(
                offset, self._schedule.watch_wait_s
            )
        if read_result.is_err():
            return self._operator_read_failed(read_result.unwrap_err())
        self._operator_failures = 0
        self._apply_operator(read_result.unwrap(), begun_s, is_listing)
        is_ignored = read_result.unwrap().next_offset < offset
        is_ignored = is_ignored or self._is_of_other_era(
            self._state.operator_offset
        )
        return self._schedule.period_s if is_ignored else 0

    def _operator_read_failed(self, error: StoreError) -> float:
        """Handle a failed read; return the seconds to wait before the next one.

        If the store no longer has the records from the position on, the next
        read lists the newest record of each key instead. After one missing
        response the next read follows at once on another connection.
        """
        if error.kind is StoreErrorKind.OTHER_ERA:
            self._needs_operator_listing = True
            return _IDLE_CHECK_S
        if error.kind is StoreErrorKind.EXPIRED:
            self._needs_operator_listing = True
            offset = self._state.operator_offset
            self._log_expired(StatePart.OPERATOR, offset, error)
            return _IDLE_CHECK_S
        self._operator_failures += 1
        is_silent = error.kind is StoreErrorKind.NO_RESPONSE
        if is_silent and self._operator_failures == 1:
            return 0
        return retry_pause_s(self._operator_failures, self._schedule)

    def _apply_operator(
        self,
        read_result: OperatorRecords,
        begun_s: float,
        is_listing: bool,
    ) -> None:
        self._needs_operator_listing = not read_result.is_complete
        self._has_operator_listing = True
        self._log_if_incomplete(StatePart.OPERATOR, read_result, begun_s)
        is_older = read_result.next_offset < self._state.operator_offset
        if read_result.is_complete and not is_older:
            self._callbacks.was_read(StatePart.OPERATOR, begun_s)
        self._log_invalid(read_result.invalid)
        apply_records = self._state.apply_operator_records
        if is_listing:
            apply_records = self._state.resync_operator
        if apply_records(read_result.records, read_result.next_offset):
            self._callbacks.changed('operator')

    def _backend_read_failed(self, error: StoreError, begun_s: float) -> None:
        if error.kind is StoreErrorKind.OTHER_ERA:
            self._backend_read_succeeded(begun_s)
            self._needs_backend_listing = True
            return
        if error.kind is StoreErrorKind.EXPIRED:
            self._needs_backend_listing = True
            offset = self._state.directory.next_offset
            self._log_expired(StatePart.REGISTRY, offset, error)
            return
        self._failures += 1
        is_silent = error.kind is StoreErrorKind.NO_RESPONSE
        if self._failures > 1 or not is_silent:
            self._is_store_away = True
        self._failed_s = self._clock.monotonic_s()
        if self._failures == 1:
            self._first_failed_s = self._failed_s
            log_event(
                LogEvent.STORE_UNREACHABLE,
                kind=error.kind.value,
                detail=error.detail,
            )

    def _is_of_other_era(self, position: StorePosition) -> bool:
        """Return whether the store no longer counts from a position."""
        return self._era is not None and not position.is_of_era(self._era)

    def _forget_old_failures(self) -> None:
        """Forget failed reads of a VM that has not had to read since.

        Others have read meanwhile, so a later read does not end an outage.
        """
        age_s = self._clock.monotonic_s() - self._failed_s
        if (
            self._failures
            and age_s > MAX_RETRY_PAUSE_S + REREGISTRATION_GRACE_S
        ):
            self._failures = 0
            self._is_store_away = False

    def _backend_read_succeeded(self, begun_s: float) -> None:
        """Reset the failure count after a successful read.

        A single missing response was no outage: the connection may have gone
        silent.
        """
        if not self._failures:
            return
        log_event(
            LogEvent.STORE_REACHABLE,
            failures=self._failures,
            since_first_failure_s=round(begun_s - self._first_failed_s, 3),
            since_last_failure_s=round(begun_s - self._failed_s, 3),
            was_away=self._is_store_away,
        )
        self._failures = 0
        self._store.stop_watching()
        if self._is_store_away:
            self._outage_ended(self._clock.monotonic_s())

    def _outage_ended(self, ended_s: float) -> None:
        """Give servers time to register again after the end of an outage."""
        self._is_store_away = False
        self._state.directory.start_reregistration_grace(ended_s)

    def _log_if_incomplete(
        self,
        part: StatePart,
        read_result: Registrations | OperatorRecords,
        begun_s: float,
    ) -> None:
        """Log a read that left out newer records, with its duration."""
        if not read_result.is_complete:
            log_event(
                LogEvent.READ_INCOMPLETE,
                part=part.value,
                next_offset=read_result.next_offset.offset,
                end_offset=read_result.end_offset.offset,
                read_s=round(self._clock.monotonic_s() - begun_s, 3),
            )

    def _log_expired(
        self, part: StatePart, position: StorePosition, error: StoreError
    ) -> None:
        """Log a read that the store has no records for.

        They have been deleted, or the read began after the end of the store.
        """
        log_event(
            LogEvent.STORE_EXPIRED,
            part=part.value,
            wanted=position.offset,
            earliest=error.earliest_offset,
            is_past_end=position.offset > error.earliest_offset,
            detail=error.detail,
        )

    def _log_invalid(self, invalid: tuple[InvalidRecord, ...]) -> None:
        """Count invalid records, and log the first one of each key.

        Other writers may leave any number of them, so there is a limit.
        """
        self.invalid_count += len(invalid)
        for record in invalid:
            has_room = len(self._logged_invalid) < MAX_LOGGED_INVALID
            if has_room and record.key not in self._logged_invalid:
                self._logged_invalid.add(record.key)
                log_event(
                    LogEvent.RECORD_INVALID,
                    key=record.key,
                    offset=record.offset.offset,
                    detail=record.detail[:_MAX_DETAIL_CHARACTERS],
                )

    def _sleep(self, pause_s: float) -> Awaitable[None]:
        return deferLater(self._reactor, pause_s)
