"""Store reader: responses of other eras, and the number of store operations."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Awaitable

from result import Err, Ok, Result
from twisted.internet.task import Clock, deferLater

from tests.fleet.test_store_reader import (
    CONFIG_BOUND_S,
    DRAIN_BOUND_S,
    STEP_S,
    FakeStore,
)
from tests.fleet.test_update_stream import server
from turmericpost.fleet.store import OperatorRecords, Registrations
from turmericpost.fleet.store_reader import ReaderCallbacks, StoreReader
from turmericpost.platform.store_era import error_of_era
from turmericpost.reactor_clock import ReactorClock
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.state import FleetState
from turmericpost_core.fleet.store_position import StorePosition, new_position
from turmericpost_core.membership.store_read_schedule import new_read_schedule

_ANSWER_S = 0.005
_SECONDS = 10
_MAX_READS_PER_S = 4


class EraStore(FakeStore):
    """A store whose listings and reads may state another era, or none.

    ``end`` is the offset after its last record. A read of the registry or the
    operator's records from a later one is refused with ``EXPIRED``.
    """

    def __init__(self, reactor: Clock) -> None:
        super().__init__()
        self.calls: Counter[str] = Counter()
        self.era: int | None = 1
        self.end_offset = 5
        self.registered: tuple[Registration, ...] = ()
        self._reactor = reactor

    def stop_watching(self) -> None:
        """No read waits."""

    async def list_operator(self) -> Result[OperatorRecords, StoreError]:
        self.calls['list-operator'] += 1
        await self._answer()
        end = new_position(self.era, self.end_offset)
        return Ok(OperatorRecords((), (), end, end))

    async def watch_operator(
        self, from_offset: StorePosition, wait_s: float
    ) -> Result[OperatorRecords, StoreError]:
        self.calls['watch-operator'] += 1
        await self._answer()
        error = self._error(from_offset)
        if error is not None:
            return Err(error)
        await deferLater(self._reactor, wait_s)
        return Ok(OperatorRecords((), (), from_offset, from_offset))

    async def list_backends(self) -> Result[Registrations, StoreError]:
        self.calls['list-backends'] += 1
        await self._answer()
        end = new_position(self.era, self.end_offset)
        return Ok(Registrations(self.registered, (), end, end))

    async def read_backends(
        self, from_offset: StorePosition
    ) -> Result[Registrations, StoreError]:
        self.calls['read-backends'] += 1
        await self._answer()
        error = self._error(from_offset)
        if error is not None:
            return Err(error)
        return Ok(Registrations((), (), from_offset, from_offset))

    def _answer(self) -> Awaitable[None]:
        return deferLater(self._reactor, _ANSWER_S)

    def _error(self, begin: StorePosition) -> StoreError | None:
        if not begin.is_of_era(self.era):
            return error_of_era(begin, self.era)
        if begin.offset > self.end_offset:
            return StoreError(StoreErrorKind.EXPIRED)
        return None


class StoreReaderEraTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = Clock()
        self.store = EraStore(self.reactor)
        self.state = FleetState()
        self.reader = StoreReader(
            self.reactor,
            ReactorClock(self.reactor),
            self.store,
            self.state,
            new_read_schedule(DRAIN_BOUND_S, CONFIG_BOUND_S),
            ReaderCallbacks(
                lambda: True,
                lambda: True,
                lambda _part: False,
                lambda _part: None,
                lambda _part, _begun_s: None,
            ),
        )

    # Guards against listings without a pause while a part of the store still
    # answers in the era before.
    def test_listings_of_an_earlier_era_are_paced(self) -> None:
        self._follow()
        self.reader.era_stated(2)
        self._assert_paced('list-operator')

    # Guards against listings without a pause while listings state no era.
    def test_listings_without_an_era_are_paced(self) -> None:
        self._follow()
        self.store.era = None
        self.reader.era_stated(2)
        self._assert_paced('list-operator')

    # Guards against listings ten times a second, if the store lost records but
    # states the same era.
    def test_reads_past_the_end_of_the_same_era_are_paced(self) -> None:
        self._follow()
        self.store.end_offset -= 1
        self._assert_paced('list-operator')

    # Guards against a state that stays as it is for good, if the store lost
    # records but states the same era.
    def test_read_past_the_end_is_followed_by_the_listed_position(self) -> None:
        self._follow()
        self.store.end_offset -= 1
        self._advance(_SECONDS)
        self.assertEqual(
            self.state.operator_offset.offset, self.store.end_offset
        )

    # Guards against servers that are dropped because a listing that is ignored
    # counts as a read that confirms their removal.
    def test_ignored_listing_confirms_no_removal(self) -> None:
        entry = server(0)
        directory = self.state.directory
        begin = new_position(1, 4)
        directory.resync(
            [Registration(begin, entry.backend_id, entry)],
            new_position(1, 5),
            0,
        )
        directory.start_reregistration_grace(0)
        removal = Registration(new_position(1, 5), entry.backend_id, None)
        directory.apply_records([removal], 0)
        self.store.era = None
        self.reader.era_stated(2)
        self._follow()
        self.assertIn(entry.backend_id, directory.backends)

    def _follow(self) -> None:
        self.reader.start()
        self._advance(_SECONDS)

    def _advance(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S) * 10):
            self.reactor.advance(STEP_S / 10)

    def _assert_paced(self, operation: str) -> None:
        self.store.calls.clear()
        self._advance(_SECONDS)
        self.assertLessEqual(
            self.store.calls[operation], _SECONDS * _MAX_READS_PER_S
        )


if __name__ == '__main__':
    unittest.main()
