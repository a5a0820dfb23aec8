"""What the reader of the registry keeps through an outage of the store."""

from __future__ import annotations

import unittest
from collections.abc import Mapping
from itertools import product

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater

from tests.gateway.call_harness import backend
from turmericpost.fleet.store import (
    OperatorRecords,
    Registrations,
    StoreOperationOutcome,
)
from turmericpost.fleet.store_reader import ReaderCallbacks, StoreReader
from turmericpost.reactor_clock import ReactorClock
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.state import FleetState
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.membership.domain_view import Vm
from turmericpost_core.membership.store_read_schedule import new_read_schedule

CALL_TIMEOUT_S = 0.6
STEP_S = 0.05
STABLE_S = 3.0
DRAIN_BOUND_S = 2.0
REREGISTRATION_S = 2.0
CALM_S = 5.0
WATCHED_S = 8.0
SERVERS = 3

_FIRST = StorePosition(1)


class OutageStore:
    """A store that can stop to respond, refuse all reads or lose some."""

    def __init__(self, reactor: Clock) -> None:
        self.records: list[Registration] = []
        self.failure: StoreErrorKind | None = None
        self.lost_reads = 0
        self._reactor = reactor

    @property
    def outcomes(self) -> Mapping[StoreOperationOutcome, int]:
        return {}

    def register(self, number: int) -> None:
        name = f'b{number}'
        record = Registration(len(self.records), name, backend(number))
        self.records.append(record)

    def remove(self, number: int) -> None:
        self.records.append(Registration(len(self.records), f'b{number}', None))

    async def list_backends(self) -> Result[Registrations, StoreError]:
        return await self.read_backends(0)

    async def read_backends(
        self, from_offset: int
    ) -> Result[Registrations, StoreError]:
        failure = self.failure
        if self.lost_reads:
            self.lost_reads -= 1
            failure = StoreErrorKind.NO_RESPONSE
        if failure is StoreErrorKind.NO_RESPONSE:
            await deferLater(self._reactor, CALL_TIMEOUT_S)
        if failure is not None:
            return Err(StoreError(failure, 'test'))
        end = StorePosition(len(self.records))
        records = tuple(self.records[from_offset:])
        return Ok(Registrations(records, (), end, end))

    async def list_operator(self) -> Result[OperatorRecords, StoreError]:
        return Ok(OperatorRecords((), (), _FIRST, _FIRST))

    async def watch_operator(
        self, _from_offset: int, _wait_s: float
    ) -> Result[OperatorRecords, StoreError]:
        await Deferred()
        raise AssertionError

    def stop_watching(self) -> None:
        """Ignore; nothing is watched."""

    async def announce(self, _vm: Vm) -> Result[None, StoreError]:
        return Ok(None)

    async def list_vms(self) -> Result[tuple[Vm, ...], StoreError]:
        return Ok(())


class Outage:
    """An outage of the store, as the reader of a failure domain sees it."""

    def __init__(
        self, *, is_first: bool, drain_bound_s: float = DRAIN_BOUND_S
    ) -> None:
        self.reactor = Clock()
        self.store = OutageStore(self.reactor)
        self.state = FleetState()
        self.is_reader = True
        for number in range(SERVERS):
            self.store.register(number)
        self.reader = StoreReader(
            self.reactor,
            ReactorClock(self.reactor),
            self.store,
            self.state,
            new_read_schedule(drain_bound_s, 2),
            ReaderCallbacks(
                lambda: self.is_reader,
                lambda: is_first,
                lambda _part: False,
                lambda _part: None,
                lambda _part, _begun_s: None,
            ),
        )
        self.reader.start()
        self.advance(CALM_S)

    def fail(self, failure: StoreErrorKind, duration_s: float) -> None:
        """Let all reads fail for a while."""
        self.store.failure = failure
        self.advance(duration_s)
        self.store.failure = None

    def advance(self, duration_s: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self.reactor.advance(STEP_S)

    def used_for_s(self, number: int) -> float:
        """Advance until a server is no longer used; return the time taken."""
        begun_s = self.reactor.seconds()
        while f'b{number}' in self.state.directory.backends:
            self.reactor.advance(STEP_S)
            if self.reactor.seconds() > begun_s + WATCHED_S:
                break
        return self.reactor.seconds() - begun_s


def durations_s(first_s: float, last_s: float) -> list[float]:
    """Return the durations between two, a step apart."""
    count = round((last_s - first_s) / STEP_S)
    return [first_s + number * STEP_S for number in range(count + 1)]


class StoreOutageTest(unittest.TestCase):
    # Guards against requests to a server that has left, since the reader
    # notices the end of an outage seconds later, and only then lets the time
    # begin in which servers may register again.
    def test_removal_long_after_an_outage_is_in_force_in_time(self) -> None:
        for failure in (StoreErrorKind.NO_RESPONSE, StoreErrorKind.OVERLOADED):
            for drain_bound_s in (DRAIN_BOUND_S, 3.0):
                late_s = [
                    self._used_s(failure, drain_bound_s, duration_s)
                    for duration_s in durations_s(4.0, 7.8)
                ]
                with self.subTest(failure=failure, bound_s=drain_bound_s):
                    self.assertLess(max(late_s), drain_bound_s)

    # Guards against requests to a server that has left, since a VM that takes over
    # long after an outage lets servers register again only then.
    def test_outage_ends_with_the_read_of_another_vm(self) -> None:
        outage = Outage(is_first=False)
        outage.fail(StoreErrorKind.NO_RESPONSE, CALM_S)
        outage.is_reader = False
        outage.advance(1)
        outage.reader.peer_has_read(outage.reactor.seconds())
        outage.advance(STABLE_S - 1)
        outage.store.remove(1)
        outage.is_reader = True
        self.assertLess(outage.used_for_s(1), DRAIN_BOUND_S)

    # Guards against a read of another VM before the outage that ends it.
    def test_earlier_read_of_another_vm_does_not_end_an_outage(self) -> None:
        outage = Outage(is_first=True)
        outage.store.failure = StoreErrorKind.OVERLOADED
        outage.advance(CALM_S)
        outage.reader.peer_has_read(outage.reactor.seconds() - CALM_S)
        outage.store.remove(1)
        outage.store.failure = None
        outage.advance(REREGISTRATION_S)
        self.assertIn('b1', outage.state.directory.backends)

    # Guards against live servers that are dropped because they need two seconds
    # to register again.
    def test_server_that_registers_again_in_time_is_kept(self) -> None:
        failures = (StoreErrorKind.NO_RESPONSE, StoreErrorKind.NOT_SENT)
        forms = product((True, False), failures, durations_s(3.0, 7.8))
        for is_first, failure, duration_s in forms:
            with self.subTest(failure=failure, duration_s=duration_s):
                self._assert_kept(failure, duration_s, is_first)

    # Guards against requests to a server that has left, since one read that was
    # lost with its connection counts as an outage of the store.
    def test_lost_read_is_no_outage(self) -> None:
        for is_first, removed_s in product((True, False), durations_s(0, 4)):
            with self.subTest(is_first=is_first, removed_s=removed_s):
                outage = Outage(is_first=is_first)
                outage.store.lost_reads = 1
                outage.advance(removed_s)
                outage.store.remove(1)
                ended_s = removed_s + outage.used_for_s(1)
                bound_s = max(removed_s + DRAIN_BOUND_S, STABLE_S)
                self.assertLess(ended_s, bound_s)

    def _used_s(
        self, failure: StoreErrorKind, drain_bound_s: float, duration_s: float
    ) -> float:
        """Return for how long a server is used that leaves after an outage."""
        outage = Outage(is_first=True, drain_bound_s=drain_bound_s)
        outage.fail(failure, duration_s)
        outage.advance(STABLE_S)
        outage.store.remove(1)
        return outage.used_for_s(1)

    def _assert_kept(
        self, failure: StoreErrorKind, duration_s: float, is_first: bool
    ) -> None:
        outage = Outage(is_first=is_first)
        outage.store.failure = failure
        outage.advance(duration_s)
        outage.store.remove(1)
        outage.store.failure = None
        for _ in range(round(REREGISTRATION_S / STEP_S)):
            outage.advance(STEP_S)
            self.assertIn('b1', outage.state.directory.backends)
        outage.store.register(1)
        outage.advance(CALM_S)
        self.assertIn('b1', outage.state.directory.backends)
