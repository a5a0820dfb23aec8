"""Store reader: the store returns from a copy, and its era changes."""

from __future__ import annotations

import unittest

from result import Err, Ok, Result
from twisted.internet.task import Clock

from tests.fleet.test_store_reader import (
    CONFIG_BOUND_S,
    DRAIN_BOUND_S,
    STEP_S,
    WAIT_S,
    FakeStore,
)
from turmericpost.fleet.store import OperatorRecords, Registrations
from turmericpost.fleet.store_reader import ReaderCallbacks, StoreReader
from turmericpost.reactor_clock import ReactorClock
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost_core.fleet.state import FleetState, OperatorChange
from turmericpost_core.fleet.store_position import StorePosition, new_position
from turmericpost_core.membership.store_read_schedule import new_read_schedule


class EraStore(FakeStore):
    """A store that places all that it returns in an era."""

    def __init__(self) -> None:
        super().__init__()
        self.era = 1

    @property
    def end(self) -> StorePosition:
        return new_position(self.era, len(self.records))

    def write(self, domain: str) -> None:
        self.records.append(OperatorChange(self.end, evacuated_domain=domain))
        self._wake_watcher()

    def return_from_copy(self, *domains: str) -> None:
        """Lose all records, rise the era, and hold these evacuations."""
        self.era += 1
        self.records.clear()
        for domain in domains:
            change = OperatorChange(self.end, evacuated_domain=domain)
            self.records.append(change)

    async def list_backends(self) -> Result[Registrations, StoreError]:
        self.calls['list-backends'] += 1
        end = new_position(self.era, 1)
        return Ok(Registrations((), (), end, end))

    async def read_backends(
        self, from_offset: StorePosition
    ) -> Result[Registrations, StoreError]:
        self.calls['read-backends'] += 1
        if not from_offset.is_of_era(self.era):
            return Err(StoreError(StoreErrorKind.OTHER_ERA))
        return Ok(Registrations((), (), from_offset, from_offset))

    async def watch_operator(
        self, from_offset: StorePosition, wait_s: float
    ) -> Result[OperatorRecords, StoreError]:
        if not from_offset.is_of_era(self.era):
            return Err(StoreError(StoreErrorKind.OTHER_ERA))
        return await super().watch_operator(from_offset, wait_s)

    def _read(
        self, from_offset: StorePosition
    ) -> Result[OperatorRecords, StoreError]:
        if not from_offset.is_of_era(self.era):
            return Err(StoreError(StoreErrorKind.OTHER_ERA))
        return super()._read(StorePosition(from_offset.offset))


class StoreReaderErasTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = Clock()
        self.store = EraStore()
        self.state = FleetState()
        self.schedule = new_read_schedule(DRAIN_BOUND_S, CONFIG_BOUND_S)
        self.reader = StoreReader(
            self.reactor,
            ReactorClock(self.reactor),
            self.store,
            self.state,
            self.schedule,
            ReaderCallbacks(
                lambda: True,
                lambda: True,
                lambda _part: False,
                lambda _part: None,
                lambda _part, _begun_s: None,
            ),
        )
        self.reader.era_stated(1)
        self.store.write('nasr')
        self.reader.start()
        self._advance_time(self.schedule.period_s)

    # Guards against a wait from an offset that the store has given out again,
    # which returns neither an error nor the records before it.
    def test_wait_of_an_earlier_era_ends_with_the_new_one(self) -> None:
        self.store.return_from_copy('smouha')
        self.reader.era_stated(2)
        self._advance_time(STEP_S)
        self.assertEqual(self.state.evacuated, {'smouha'})
        self.assertEqual(self.state.operator_offset, new_position(2, 1))

    # Guards against offsets of the registry that count in another era.
    def test_registry_is_listed_in_the_new_era(self) -> None:
        self.store.return_from_copy()
        self._advance_time(2 * self.schedule.period_s)
        self.assertEqual(self.store.calls['list-backends'], 2)
        self.assertEqual(self.state.directory.era, 2)

    # Guards against calls that are billed and can't be answered.
    def test_known_era_leads_to_a_listing_at_once(self) -> None:
        self.store.return_from_copy()
        self.reader.era_stated(2)
        before = self.store.calls['read-backends']
        self._advance_time(self.schedule.period_s)
        self.assertEqual(self.store.calls['list-backends'], 2)
        self.assertEqual(self.store.calls['read-backends'], before)

    # Guards against two listings by turns, since a wait that began before the
    # return ends with the earlier era.
    def test_earlier_era_is_ignored(self) -> None:
        self.store.return_from_copy()
        for era in (2, 1, 2, 1):
            self.reader.era_stated(era)
            self._advance_time(self.schedule.period_s)
        self.assertEqual(self.store.calls['list-operator'], 2)

    # Guards against listings without a pause, each of which is billed, by a VM
    # that took over state of an era that the store has not reached.
    def test_state_of_a_later_era_leads_to_few_listings(self) -> None:
        self.state.apply_operator_records((), new_position(9, 1))
        self.store.stop_watching()
        before = self.store.calls['list-operator']
        self._advance_time(WAIT_S)
        listings = self.store.calls['list-operator'] - before
        self.assertLessEqual(listings, WAIT_S / self.schedule.period_s + 1)

    def _advance_time(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S) + 1):
            self.reactor.advance(STEP_S)


if __name__ == '__main__':
    unittest.main()
