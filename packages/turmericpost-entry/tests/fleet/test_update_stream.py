"""Update streams: size of updates, concurrency limits, incomplete updates."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import (
    MemoryReactorClock,
    StringTransportWithDisconnection,
)
from twisted.python.failure import Failure

from turmericpost.fleet.update_codec import (
    decode_update,
    encode_update,
    encode_update_request,
)
from turmericpost.fleet.update_stream import (
    BUSY_RETRY_S,
    MAX_CONCURRENT_FETCHES,
    MAX_SENDING_BYTES,
    STREAM_TIMEOUT_S,
    UpdateFetcher,
    UpdateServer,
)
from turmericpost_core.fleet.backends import Backend, Registration
from turmericpost_core.fleet.operator_config import (
    CallerLimits,
    OperatorConfig,
    OperatorRoute,
    ServiceSpec,
    SplitPart,
)
from turmericpost_core.fleet.state import (
    FleetState,
    KnownVersions,
    OperatorChange,
)
from turmericpost_core.fleet.state_lag import BUSY
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.membership.domain_view import Vm

SERVER_COUNT = 400
ROUTE_COUNT = 1400
MIN_SIZE_RATIO = 50


def server_id(number: int) -> str:
    return f'i-{number}'


def server(number: int, **changes: object) -> Backend:
    service = number % 3
    domain = number % 4
    default_backend = Backend(
        backend_id=server_id(number),
        service=f's{service}',
        host=f'10.{domain}.0.{number}',
        port=8000 + number,
        failure_domain=f'domain{domain}',
        slots=3,
        is_draining=False,
        cold_left_s=0,
        started_ms=number,
    )
    return replace(default_backend, **changes)


def route(number: int, timeout_s: float = 1.5) -> OperatorRoute:
    return OperatorRoute(
        name=f'r{number}',
        host='a.example',
        path_prefix=f'/{number}/',
        is_idempotent=True,
        timeout_s=timeout_s,
        objective_s=0.6,
        rank=1,
        split=(SplitPart('s0', 1),),
        max_attempts=2,
        home_regions=frozenset(),
    )


def large_state() -> FleetState:
    state = FleetState()
    records = [
        Registration(number, server_id(number), server(number))
        for number in range(SERVER_COUNT)
    ]
    state.directory.apply_records(records, 0)
    routes = tuple(map(route, range(ROUTE_COUNT)))
    state.apply_operator_records(
        [OperatorChange(0, _config(1, routes))], StorePosition(1)
    )
    return state


def _config(version: int, routes: tuple[OperatorRoute, ...]) -> OperatorConfig:
    spec = ServiceSpec('s0', '/health', 260, 3, 3)
    limits = CallerLimits(16384, 67108864, 3, 15)
    return OperatorConfig(version, routes, {spec.name: spec}, limits)


def vm(number: int) -> Vm:
    return Vm(f'vm{number}', '10.0.0.9', 7540, '', 'domain0', 'r', 1)


class UpdateSizeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = large_state()
        self.known = self.state.versions
        full_update = self.state.update_since(KnownVersions())
        self.full_update_bytes = len(encode_update(full_update))

    def test_update_for_one_draining_server_of_400_is_small(self) -> None:
        """One of 400 servers starts draining, and every VM gets the update."""
        draining = Registration(SERVER_COUNT, 'i-0', _draining_server())
        self.state.directory.apply_records([draining], 1)
        self._assert_small()

    def test_update_for_one_changed_route_of_1400_is_small(self) -> None:
        """The configuration has many routes, and one changes at a time."""
        routes = (route(0, 9), *map(route, range(1, ROUTE_COUNT)))
        change = OperatorChange(1, _config(2, routes))
        self.state.apply_operator_records([change], StorePosition(2))
        self._assert_small()

    def _assert_small(self) -> None:
        update = self.state.update_since(self.known)
        update_bytes = len(encode_update(update))
        self.assertLess(update_bytes * MIN_SIZE_RATIO, self.full_update_bytes)


def _draining_server() -> Backend:
    return server(0, is_draining=True)


class UpdateServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.state = large_state()
        self.failures: list[str] = []
        self.server = UpdateServer(
            self.state,
            self.reactor,
            lambda: self.failures.append('exception'),
            max_streams=64,
        )

    # Guards against VMs that fetch again and again: a registry that has settled
    # under its version is handed on as one that has not.
    def test_update_is_encoded_anew_once_the_registry_has_settled(self) -> None:
        directory = self.state.directory
        directory.start_reregistration_grace(0)
        directory.apply_records(
            [
                Registration(SERVER_COUNT, server_id(0), None),
                Registration(SERVER_COUNT + 1, 'new', server(SERVER_COUNT)),
            ],
            0,
        )
        known = self.state.versions
        before = self.server.encoded_update(known)
        directory.read_by_peer(StorePosition(SERVER_COUNT + 2))
        self.assertTrue(directory.is_settled)
        self.assertEqual(known, self.state.versions)
        self.assertNotEqual(self.server.encoded_update(known), before)

    def open(self) -> tuple[Any, StringTransportWithDisconnection]:
        protocol = self.server.buildProtocol(None)
        transport = StringTransportWithDisconnection()
        transport.protocol = protocol
        protocol.makeConnection(transport)
        return protocol, transport

    def test_response_is_the_update_since_the_requested_versions(self) -> None:
        protocol, transport = self.open()
        request = encode_update_request(KnownVersions())
        protocol.dataReceived(request[:1])
        self.assertEqual(transport.value(), b'')
        protocol.dataReceived(request[1:])
        update = decode_update(transport.value()).unwrap()
        receiver = FleetState()
        receiver.apply_update(update)
        self.assertEqual(receiver.versions, self.state.versions)
        self.assertFalse(transport.connected)

    # Guards against a VM that counts as busy, and is asked ten times a second,
    # since it cannot encode its state.
    def test_stream_is_aborted_if_the_update_cannot_be_encoded(self) -> None:
        with (
            patch('turmericpost.fleet.update_stream.encode_update') as encode,
            patch('turmericpost.fleet.update_stream.log_failure') as logged,
        ):
            encode.side_effect = RuntimeError('test')
            transport = self.request_update()
        self.assertTrue(transport.disconnected)
        self.assertEqual(self.failures, ['exception'])
        logged.assert_called_once()

    def test_concurrent_large_updates_are_limited(self) -> None:
        """All VMs of a large domain request the same update at once."""
        full_update_bytes = len(self.server.encoded_update(KnownVersions()))
        max_updates = MAX_SENDING_BYTES // full_update_bytes
        with patch.object(StringTransportWithDisconnection, 'loseConnection'):
            busy_vms = [self.request_update() for _ in range(max_updates)]
        transport = self.request_update()
        self.assertEqual(transport.value(), b'')
        self.assertFalse(transport.connected)
        busy_vms[0].loseConnection()
        self.assertNotEqual(self.request_update().value(), b'')

    def test_concurrent_small_updates_are_not_limited(self) -> None:
        with patch.object(StringTransportWithDisconnection, 'loseConnection'):
            transports = [
                self.request_update(self.state.versions) for _ in range(99)
            ]
        self.assertTrue(all(transport.value() for transport in transports))

    def request_update(
        self,
        known: KnownVersions | None = None,
    ) -> StringTransportWithDisconnection:
        protocol, transport = self.open()
        protocol.dataReceived(encode_update_request(known or KnownVersions()))
        return transport

    def test_update_for_equal_requests_is_encoded_once(self) -> None:
        with patch.object(
            FleetState,
            'update_since',
            side_effect=self.state.update_since,
        ) as update_since_mock:
            for _ in range(5):
                self.server.encoded_update(KnownVersions())
        self.assertEqual(update_since_mock.call_count, 1)

    def test_malformed_request_is_aborted(self) -> None:
        for request in (b'\xc1', b'\x01', b'\x93\xa1a\xc0\xc0', b'x' * 999):
            protocol, transport = self.open()
            protocol.dataReceived(request)
            self.assertEqual(transport.value(), b'', request)
            self.assertTrue(transport.disconnected)

    def test_stream_without_a_request_times_out(self) -> None:
        _, transport = self.open()
        self.reactor.advance(STREAM_TIMEOUT_S)
        self.assertTrue(transport.disconnected)


class UpdateFetcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.updated_from: list[str] = []
        self.busy_vms: list[str] = []
        self.failures: list[str] = []
        self.ended_fetches = 0
        self.fetcher = UpdateFetcher(
            self.reactor,
            lambda _, sender: self.updated_from.append(sender.name),
            self._end,
            lambda sender: self.busy_vms.append(sender.name),
            lambda sender, cause, _: self.failures.append(cause),
        )

    def _end(self) -> None:
        self.ended_fetches += 1

    def fetch(self, number: int) -> Any:
        self.assertTrue(self.fetcher.fetch(vm(number), KnownVersions()))
        factory = self.reactor.tcpClients[-1][2]
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(StringTransportWithDisconnection())
        return protocol

    def test_complete_update_is_applied(self) -> None:
        wire = encode_update(large_state().update_since(KnownVersions()))
        protocol = self.fetch(1)
        protocol.dataReceived(wire[:10])
        protocol.dataReceived(wire[10:])
        protocol.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(self.updated_from, ['vm1'])

    def test_truncated_update_is_not_applied(self) -> None:
        wire = encode_update(large_state().update_since(KnownVersions()))
        for end in (ConnectionDone(), ConnectionLost()):
            protocol = self.fetch(1)
            protocol.dataReceived(wire[:-1])
            protocol.connectionLost(Failure(end))
        self.assertEqual(self.updated_from, [])
        self.assertEqual(self.ended_fetches, 2)
        self.assertEqual(self.failures, ['malformed', 'incomplete'])

    def test_busy_vm_is_retried_and_counted_as_busy(self) -> None:
        self.fetch(1).connectionLost(Failure(ConnectionDone()))
        self.assertEqual(self.failures, [BUSY])
        self.assertEqual(self.ended_fetches, 1)
        self.reactor.advance(BUSY_RETRY_S)
        self.assertEqual(self.busy_vms, ['vm1'])

    def test_number_of_concurrent_fetches_is_limited(self) -> None:
        for number in range(MAX_CONCURRENT_FETCHES):
            self.fetch(number)
        self.assertFalse(self.fetcher.fetch(vm(9), KnownVersions()))
        self.assertTrue(self.fetcher.fetch(vm(0), KnownVersions()))
        self.assertEqual(len(self.reactor.tcpClients), MAX_CONCURRENT_FETCHES)
