"""Store reader: waiting, listing, and the number of store operations."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Mapping
from unittest.mock import AsyncMock, patch

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from turmericpost.fleet.store import (
    InvalidRecord,
    OperatorRecords,
    Registrations,
    StoreOperationOutcome,
)
from turmericpost.fleet.store_reader import (
    MAX_LOGGED_INVALID,
    ReaderCallbacks,
    StoreReader,
)
from turmericpost.observe.events import LogEvent
from turmericpost.reactor_clock import ReactorClock
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost_core.fleet.state import FleetState, OperatorChange
from turmericpost_core.fleet.state_lag import StatePart
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.membership.domain_view import Vm
from turmericpost_core.membership.store_read_schedule import new_read_schedule

DRAIN_BOUND_S = 2.0
CONFIG_BOUND_S = 2.0
STEP_S = 0.05
WAIT_S = 10.0
WIDE = 10_000
_FIRST = StorePosition(1)


class FakeStore:
    """A store without operator records until ``write`` is called."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.records: list[OperatorChange] = []
        self.error: StoreError | None = None
        self.can_list = True
        self.silent_reads = 0
        self.invalid: tuple[InvalidRecord, ...] = ()
        self.wait_s = float(0)
        self.left_out_count = 0
        self._watch: Deferred[None] | None = None

    @property
    def outcomes(self) -> Mapping[StoreOperationOutcome, int]:
        return {}

    @property
    def end(self) -> StorePosition:
        return StorePosition(len(self.records))

    def write(self, domain: str) -> None:
        change = OperatorChange(len(self.records), evacuated_domain=domain)
        self.records.append(change)
        self._wake_watcher()

    def stop_watching(self) -> None:
        self._wake_watcher()

    async def list_operator(self) -> Result[OperatorRecords, StoreError]:
        self.calls['list-operator'] += 1
        if self.can_list:
            return Ok(
                OperatorRecords(tuple(self.records), (), self.end, self.end)
            )
        return self._read(0)

    async def watch_operator(
        self,
        from_offset: StorePosition,
        wait_s: float,
    ) -> Result[OperatorRecords, StoreError]:
        self.calls['watch-operator'] += 1
        self.wait_s = wait_s
        if self.silent_reads:
            self.silent_reads -= 1
            return Err(StoreError(StoreErrorKind.NO_RESPONSE))
        if from_offset >= len(self.records) and self.error is None:
            self._watch = Deferred()
            await self._watch
        return self._read(from_offset)

    async def list_backends(self) -> Result[Registrations, StoreError]:
        self.calls['list-backends'] += 1
        return Ok(Registrations((), self.invalid, _FIRST, _FIRST))

    async def read_backends(
        self,
        from_offset: StorePosition,
    ) -> Result[Registrations, StoreError]:
        self.calls['read-backends'] += 1
        end = StorePosition(from_offset + self.left_out_count)
        return Ok(Registrations((), (), from_offset, end))

    async def announce(self, vm: Vm) -> Result[None, StoreError]:
        return Ok(None)

    async def list_vms(self) -> Result[tuple[Vm, ...], StoreError]:
        return Ok(())

    def _read(self, from_offset: int) -> Result[OperatorRecords, StoreError]:
        if self.error is not None:
            return Err(self.error)
        new_records = tuple(self.records[from_offset:])
        end = StorePosition(self.end + self.left_out_count)
        return Ok(OperatorRecords(new_records, (), self.end, end))

    def _wake_watcher(self) -> None:
        watch = self._watch
        self._watch = None
        if watch is not None:
            watch.callback(None)


class StoreReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = Clock()
        self.store = FakeStore()
        self.state = FleetState()
        self.changes: list[str] = []
        self.complete_reads: list[StatePart] = []
        self.is_reader = True
        self.schedule = new_read_schedule(DRAIN_BOUND_S, CONFIG_BOUND_S)
        self.reader = StoreReader(
            self.reactor,
            ReactorClock(self.reactor),
            self.store,
            self.state,
            self.schedule,
            ReaderCallbacks(
                lambda: self.is_reader,
                lambda: True,
                lambda _part: False,
                self.changes.append,
                lambda part, _begun_s: self.complete_reads.append(part),
            ),
        )

    def advance_time(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            self.reactor.advance(STEP_S)

    def test_reader_waits_for_the_first_operator_record(self) -> None:
        """VMs may start long before the first configuration, here 10 s."""
        self.reader.start()
        self.advance_time(WAIT_S)
        self.assertEqual(self.store.calls['list-operator'], 1)
        self.assertEqual(self.store.calls['watch-operator'], 1)
        self.store.write('nasr')
        self.assertEqual(self.changes, ['operator'])
        self.assertEqual(self.state.evacuated, {'nasr'})

    # Guards against a VM that counts as current, and drops servers that are
    # registered again, though its read did not reach the newest records.
    def test_incomplete_read_is_followed_by_a_listing(self) -> None:
        self.reader.start()
        self.store.left_out_count = 3
        self.complete_reads.clear()
        directory = self.state.directory
        with patch.object(directory, 'expire', return_value=False) as expire:
            self.store.write('nasr')
            self.advance_time(self.schedule.period_s + STEP_S)
            self.assertEqual(self.store.calls['list-operator'], 2)
            self.assertFalse(expire.called)
            self.advance_time(self.schedule.period_s / 2)
        self.assertEqual(self.store.calls['list-backends'], 2)
        self.assertTrue(expire.called)
        self.assertEqual(
            self.complete_reads, [StatePart.OPERATOR, StatePart.REGISTRY]
        )

    def test_registry_is_read_once_a_period(self) -> None:
        self.reader.start()
        self.advance_time(WAIT_S)
        expected_count = WAIT_S / self.schedule.period_s
        calls = self.store.calls['list-backends']
        calls += self.store.calls['read-backends']
        self.assertAlmostEqual(calls, expected_count, delta=1)

    # Guards against a VM that keeps servers whose entries are removed, since a
    # read that failed long ago, while another VM read, counts as an outage.
    def test_old_failure_is_no_outage_for_a_later_read(self) -> None:
        self.assertFalse(self._starts_grace_after(WAIT_S))

    def test_recent_failure_is_an_outage_for_a_later_read(self) -> None:
        self.assertTrue(self._starts_grace_after(1))

    # Guards against records that are never read: while a read waits, an update
    # of another VM leads back to records before it.
    def test_read_from_past_the_next_offset_is_dropped(self) -> None:
        directory = self.state.directory
        self.reader.start()
        directory.next_offset = StorePosition(9)
        read = self.store.read_backends

        async def lead_back(
            from_offset: StorePosition,
        ) -> Result[Registrations, StoreError]:
            directory.next_offset = StorePosition(5)
            return await read(from_offset)

        with patch.object(self.store, 'read_backends', lead_back):
            self.advance_time(self.schedule.period_s + STEP_S)
        self.assertEqual(directory.next_offset, 5)

    def _starts_grace_after(self, pause_s: float) -> bool:
        """Return whether a read after a failed one and a pause starts it."""
        directory = self.state.directory
        with patch.object(directory, 'start_reregistration_grace') as grace:
            self._fail_one_read()
            self.advance_time(pause_s)
            self.is_reader = True
            self.advance_time(WAIT_S)
        return bool(grace.called)

    def _fail_one_read(self) -> None:
        error = StoreError(StoreErrorKind.OVERLOADED, 'test')
        failing = patch.object(
            self.store, 'list_backends', AsyncMock(return_value=Err(error))
        )
        with failing:
            self.reader.start()
            self.is_reader = False
            self.advance_time(self.schedule.period_s)

    # Guards against logs that fill up, and memory that does, since another
    # writer leaves ever more invalid records.
    def test_lines_about_invalid_records_are_bounded(self) -> None:
        count = 2 * MAX_LOGGED_INVALID
        self.store.invalid = tuple(
            InvalidRecord(StorePosition(number), f'x-{number}', 'y' * WIDE)
            for number in range(count)
        )
        with patch('turmericpost.fleet.store_reader.log_event') as log_event:
            self.reader.start()
        details = [
            call.kwargs['detail']
            for call in log_event.call_args_list
            if call.args == (LogEvent.RECORD_INVALID,)
        ]
        self.assertEqual(len(details), MAX_LOGGED_INVALID)
        self.assertLess(max(map(len, details)), WIDE)
        self.assertEqual(self.reader.invalid_count, count)

    # Guards against a wait on a silent connection that is longer than the time
    # within which a new version must be in force.
    def test_wait_for_operator_records_is_shorter_than_the_bound(self) -> None:
        self.reader.start()
        self.advance_time(1)
        self.assertLess(self.store.wait_s, CONFIG_BOUND_S)

    def test_wait_without_response_is_followed_by_a_read_at_once(self) -> None:
        self.reader.start()
        self.store.silent_reads = 1
        self.store.stop_watching()
        self.reactor.advance(0)
        self.assertEqual(self.store.silent_reads, 0)
        self.store.write('nasr')
        self.assertEqual(self.state.evacuated, {'nasr'})

    def test_reads_without_responses_back_off(self) -> None:
        self.reader.start()
        self.store.silent_reads = 1000
        self.store.stop_watching()
        self.advance_time(WAIT_S)
        self.assertLess(self.store.calls['watch-operator'], WAIT_S)

    def test_expired_records_are_listed_again(self) -> None:
        self._let_records_expire()
        self.store.error = None
        self.advance_time(1)
        self.assertEqual(self.store.calls['list-operator'], 2)
        self.store.write('smouha')
        self.assertEqual(self.state.evacuated, {'nasr', 'smouha'})

    def test_listing_that_also_expired_is_retried_at_a_bounded_rate(
        self,
    ) -> None:
        self.store.can_list = False
        self._let_records_expire()
        self.advance_time(WAIT_S)
        self.assertLess(self.store.calls['list-operator'], WAIT_S * 10)

    def _let_records_expire(self) -> None:
        self.store.write('nasr')
        self.reader.start()
        self.store.error = StoreError(StoreErrorKind.EXPIRED)
        self.store.stop_watching()
