"""Client of the store, with a stand-in of the store over sockets."""

from __future__ import annotations

import json
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from result import Result
from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.task import deferLater
from twisted.python.failure import Failure
from twisted.web.server import Site

from tests.platform.samples import ENTRY
from turmericpost.fleet.store import Registrations, StoreOperationOutcome
from turmericpost.platform.store_client import StoreClient
from turmericpost.platform.store_era import decode_era
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost_core.fleet.store_position import new_position
from turmericpost_core.membership.domain_view import Vm
from turmericpost_standins.store.partition import ProducerSequence
from turmericpost_standins.store.service import StoreLimits, StoreService

_WAIT_S = 8.0
_VM = Vm('vm1', '10.0.0.1', 7540, '10.0.0.1:80', 'nasr', 'cairo', 5)


class StoreHarness:
    """A stand-in of the store and a client, on their own reactor."""

    def __init__(self, sizes: StoreLimits | None = None) -> None:
        self.reactor = EPollReactor()
        self.service = StoreService(self.reactor, sizes)
        site = Site(self.service, reactor=self.reactor)
        site.noisy = False
        port = self.reactor.listenTCP(0, site, interface='127.0.0.1')
        self.address = ('127.0.0.1', port.getHost().port)
        self.client = StoreClient(self.reactor, self.address)

    def register(self, number: int, **changes: object) -> None:
        entry = json.dumps({**ENTRY, **changes}).encode()
        self.service.put_keyed('keyed.servers', f'b{number}', entry)

    def run(self, steps: Callable[[], Awaitable[Any]]) -> Any:
        """Run a coroutine to its end and return its result."""
        ended: list[Any] = []

        def end(outcome: Any) -> None:
            ended.append(outcome)
            self.reactor.stop()

        def begin() -> None:
            Deferred.fromCoroutine(steps()).addBoth(end)

        self.reactor.callWhenRunning(begin)
        self.reactor.run(installSignalHandlers=False)
        if isinstance(ended[0], Failure):
            ended[0].raiseException()
        return ended[0]

    async def pause(self, pause_s: float) -> None:
        await deferLater(self.reactor, pause_s)


class StoreClientTest(unittest.TestCase):
    def _assert_error_kind(
        self,
        outcome: Result[object, StoreError],
        kind: StoreErrorKind,
    ) -> None:
        self.assertTrue(outcome.is_err(), outcome)
        self.assertIs(outcome.unwrap_err().kind, kind)

    # Guards against a change of the store's era that goes unnoticed, since
    # only some of the responses are looked at.
    def test_every_response_states_the_era(self) -> None:
        store = StoreHarness(StoreLimits(reads_per_s=2))
        eras: list[int] = []
        store.client.on_era(eras.append)

        async def steps() -> list[bool]:
            client = store.client
            read = await client.read_backends(new_position(1, 0))
            expired = await client.read_backends(new_position(1, 5))
            overloaded = await client.read_backends(new_position(1, 0))
            store.service.faults.is_busy = True
            busy = await client.list_backends()
            store.service.era = None
            await client.list_backends()
            return [
                outcome.is_ok() for outcome in (read, expired, overloaded, busy)
            ]

        self.assertEqual(store.run(steps), [True, False, False, False])
        self.assertEqual(eras, [1] * 4)

    # Guards against a field that harms more than itself: one that is no number
    # of an era counts as missing.
    def test_invalid_era_is_ignored(self) -> None:
        fields = (None, b'', b'-1', b'x', b'1.5', b'9' * 40, b'%d' % 2**30)
        self.assertEqual({decode_era(field) for field in fields}, {None})
        self.assertEqual(decode_era(b'0'), 0)

    def test_registrations_are_read_from_the_end_of_the_listing(self) -> None:
        store = StoreHarness()
        store.register(1)
        store.register(2, State='draining', WarmupLeftMs=1500)

        async def steps() -> tuple[Registrations, Registrations]:
            listed = (await store.client.list_backends()).unwrap()
            store.service.put_keyed('keyed.servers', 'b1', b'')
            read = await store.client.read_backends(listed.next_offset)
            return listed, read.unwrap()

        listed, read = store.run(steps)
        backends = {
            record.backend_id: record.backend for record in listed.records
        }
        self.assertEqual(backends['b1'].host, '10.0.0.9')
        self.assertTrue(backends['b2'].is_draining)
        self.assertEqual(backends['b2'].cold_left_s, 1.5)
        self.assertEqual(backends['b2'].started_ms, 12)
        self.assertEqual(read.records[0].backend, None)
        self.assertEqual(read.next_offset, new_position(1, 3))

    def test_listing_reads_all_pages(self) -> None:
        store = StoreHarness(StoreLimits(max_page_rows=2))
        for number in range(5):
            store.register(number)
        listed = store.run(store.client.list_backends).unwrap()
        self.assertEqual(len(listed.records), 5)
        self.assertEqual(listed.next_offset, new_position(1, 5))

    def test_operations_are_counted_by_outcome(self) -> None:
        store = StoreHarness(StoreLimits(max_page_rows=2))
        for number in range(5):
            store.register(number)

        async def steps() -> None:
            await store.client.list_backends()
            store.service.faults.is_busy = True
            await store.client.read_backends(new_position(1, 0))

        store.run(steps)
        self.assertEqual(
            store.client.outcomes,
            {
                StoreOperationOutcome('list-backends', 'ok'): 3,
                StoreOperationOutcome('read-backends', 'turned-away'): 1,
            },
        )

    def test_malformed_records_are_returned_as_invalid(self) -> None:
        store = StoreHarness()
        store.register(0)
        store.register(1, Slots='three')
        store.register(2, State='asleep')
        store.register(3, Address='nowhere')
        store.service.put_keyed('keyed.servers', 'b4', b'\xff{')
        store.service.put_keyed('keyed.servers', 'b5', b'[]')
        store.register(6, born=True)
        listed = store.run(store.client.list_backends).unwrap()
        servers = [one for one in listed.records if one.backend is not None]
        self.assertEqual((len(servers), len(listed.records)), (1, 7))
        self.assertEqual(
            {record.key for record in listed.invalid},
            {f'b{number}' for number in range(1, 7)},
        )
        self.assertTrue(all(record.detail for record in listed.invalid))

    # Guards against VMs that disagree on a server: one that lists the registry
    # does not see a registration that an invalid one has replaced.
    def test_invalid_record_removes_the_registration_of_its_key(self) -> None:
        store = StoreHarness()
        store.register(1)
        store.register(2)

        async def steps() -> tuple[Registrations, Registrations]:
            listed = (await store.client.list_backends()).unwrap()
            store.register(1, State='asleep')
            store.register(3)
            read = await store.client.read_backends(listed.next_offset)
            return read.unwrap(), (await store.client.list_backends()).unwrap()

        read, listed = store.run(steps)
        self.assertEqual(
            [(one.backend_id, one.backend is None) for one in read.records],
            [('b1', True), ('b3', False)],
        )
        self.assertEqual(
            {one.backend_id for one in listed.records if one.backend},
            {'b2', 'b3'},
        )

    def test_wait_ends_with_the_first_record(self) -> None:
        store = StoreHarness()

        async def steps() -> Any:
            store.reactor.callLater(
                0.05,
                store.service.put_keyed,
                'keyed.op',
                'evacuate/nasr',
                b'{}',
            )
            return await store.client.watch_operator(
                new_position(1, 0), _WAIT_S
            )

        read = store.run(steps).unwrap()
        self.assertEqual(read.records[0].evacuated_domain, 'nasr')
        self.assertTrue(read.records[0].is_evacuated)

    def test_watch_can_be_stopped(self) -> None:
        store = StoreHarness()

        async def steps() -> Any:
            store.reactor.callLater(0.05, store.client.stop_watching)
            return await store.client.watch_operator(
                new_position(1, 0), _WAIT_S
            )

        self._assert_error_kind(store.run(steps), StoreErrorKind.NO_RESPONSE)

    def test_read_of_expired_records_states_the_first_retained_offset(
        self,
    ) -> None:
        store = StoreHarness()
        store.register(1)
        store.service.compact('keyed.servers')
        read = store.run(lambda: store.client.read_backends(new_position(1, 0)))
        self._assert_error_kind(read, StoreErrorKind.EXPIRED)
        self.assertEqual(read.unwrap_err().earliest_offset, 1)

    def test_unreachable_store_is_an_error_not_an_empty_result(self) -> None:
        for fault, kind in (
            ('is_down', StoreErrorKind.NO_RESPONSE),
            ('is_busy', StoreErrorKind.OVERLOADED),
            ('is_silent', StoreErrorKind.NO_RESPONSE),
        ):
            with self.subTest(fault):
                store = StoreHarness()
                setattr(store.service.faults, fault, True)
                listed = store.run(store.client.list_vms)
                self._assert_error_kind(listed, kind)

    def test_refused_clients_get_an_error(self) -> None:
        store = StoreHarness()
        store.service.faults.refused_hosts = frozenset(('127.0.0.1',))
        listed = store.run(store.client.list_backends)
        self._assert_error_kind(listed, StoreErrorKind.OVERLOADED)

    def test_calls_beyond_the_rate_limit_get_an_error(self) -> None:
        store = StoreHarness(StoreLimits(reads_per_s=1))

        async def steps() -> Any:
            await store.client.read_backends(new_position(1, 0))
            return await store.client.read_backends(new_position(1, 0))

        self._assert_error_kind(store.run(steps), StoreErrorKind.OVERLOADED)

    def test_full_store_rejects_appends(self) -> None:
        store = StoreHarness(StoreLimits(max_total_bytes=10))
        appended = store.run(lambda: store.client.append('own', b'x' * 11))
        self._assert_error_kind(appended, StoreErrorKind.FULL)

    def test_append_with_a_lost_response_may_take_effect_later(self) -> None:
        store = StoreHarness()
        store.service.faults.lose_next_answers = 1
        store.service.faults.late_s = 0.05

        async def steps() -> Any:
            lost = await store.client.append('own', b'record')
            end_before = store.service.partition('own').end_offset
            await store.pause(0.2)
            return lost, end_before, store.service.partition('own').end_offset

        lost, end_before, end_after = store.run(steps)
        self._assert_error_kind(lost, StoreErrorKind.NO_RESPONSE)
        self.assertEqual((end_before, end_after), (0, 1))

    def test_append_to_an_operator_topic_is_forbidden(self) -> None:
        store = StoreHarness()
        appended = store.run(lambda: store.client.append('keyed.op', b'\x01a1'))
        self._assert_error_kind(appended, StoreErrorKind.FORBIDDEN)

    def test_vms_announce_themselves(self) -> None:
        store = StoreHarness()

        async def steps() -> Any:
            await store.client.announce(_VM)
            return await store.client.list_vms()

        self.assertEqual(store.run(steps).unwrap(), (_VM,))

    def test_records_without_keys_are_read_with_offsets(self) -> None:
        store = StoreHarness()

        async def steps() -> Any:
            await store.client.append('own', b'one')
            second = await store.client.append('own', b'two')
            return second, await store.client.read('own', 1, 0)

        second, read = store.run(steps)
        self.assertEqual(second.unwrap(), new_position(1, 1))
        self.assertEqual(read.unwrap().records[0].record, b'two')
        self.assertEqual(read.unwrap().end_offset, 2)


class SequenceTest(unittest.TestCase):
    """Sequence numbers of appends, which the stand-in checks like the store."""

    def setUp(self) -> None:
        self.partition = StoreService(EPollReactor()).partition('own')

    def test_repeated_append_gets_the_first_response(self) -> None:
        first = self._append(1, 0)
        self.assertEqual(self._append(1, 0), first)
        self.assertEqual(self.partition.end_offset, 1)

    def test_lower_epoch_is_fenced(self) -> None:
        self._append(2, 0)
        self.assertEqual(self._append(1, 1).body, {'why': 'fenced'})

    def test_gap_in_the_sequence_states_the_expected_number(self) -> None:
        self._append(1, 0)
        refused = self._append(1, 5)
        self.assertEqual(refused.body, {'why': 'seq', 'Seq': 1})

    def test_append_with_a_wrong_end_condition_is_rejected(self) -> None:
        self._append(1, 0)
        refused = self.partition.append([b'x'], 0, expected_end=0)
        self.assertEqual(refused.status, 412)
        self.assertEqual(refused.body, {'End': 1})

    def _append(self, epoch: int, number: int) -> Any:
        sequence = ProducerSequence('p', epoch, number)
        return self.partition.append([b'x'], 0, sequence=sequence)
