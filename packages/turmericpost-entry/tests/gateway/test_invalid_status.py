"""Responses of backend servers whose status is no HTTP status."""

from __future__ import annotations

import unittest

from twisted.internet.protocol import Factory, Protocol

from tests.gateway.call_harness import CallHarness
from tests.gateway.fleet_harness import Fleet, route

_STATUSES = (b'000', b'001', b'099', b'600', b'999')
_RESPONSE = (
    b'HTTP/1.1 %b Odd\r\nX-Request-Id: %b\r\nContent-Length: 2\r\n\r\nhi'
)
_SOUND = _RESPONSE % (b'200', b'id1')
_HEALTHY = (
    b'HTTP/1.1 200 OK\r\nX-Instance-Id: i-odd\r\nX-Server-Load: 0,0,3\r\n'
    b'Content-Length: 0\r\n\r\n'
)
_TIMEOUT_S = 120
_UNKNOWN = 502
_NOT_RUN = 503


class InvalidStatusTest(unittest.TestCase):
    # Guards against a caller that gets such a status as a response, or waits
    # for its deadline, though another server could have served the call.
    def test_idempotent_call_is_retried(self) -> None:
        for status in _STATUSES:
            with self.subTest(status):
                harness = CallHarness()
                harness.send_request()
                harness.permit(1)
                harness.send_response(0, _RESPONSE % (status, b'id1'))
                self.assertEqual(len(harness.permit_requests), 2)
                harness.permit(2)
                harness.send_response(1, _SOUND)
                received = harness.received_bytes()
                self.assertTrue(received.startswith(b'HTTP/1.1 200 '))
                self.assertEqual(received.count(b'HTTP/1.1'), 1)

    # Guards against the same for a call that may run once only.
    def test_other_call_is_answered_as_unknown(self) -> None:
        for status in _STATUSES:
            with self.subTest(status):
                harness = CallHarness(is_idempotent=False)
                harness.send_request('POST')
                harness.permit(1)
                harness.send_response(0, _RESPONSE % (status, b'id1'))
                received = harness.received_bytes()
                self.assertTrue(received.startswith(b'HTTP/1.1 502 '))
                self.assertEqual(len(harness.permit_requests), 1)

    # Guards against a connection that is reused after such a response.
    def test_connection_is_not_reused(self) -> None:
        for status in _STATUSES:
            with self.subTest(status):
                harness = CallHarness()
                harness.send_request()
                harness.permit(1)
                harness.send_response(0, _RESPONSE % (status, b'id1'))
                connection = harness.connections.opened[0]
                self.assertTrue(connection.transport.is_aborted)
                self.assertEqual(harness.connections.released, [])

    # Guards against a limit that refuses the first and the last HTTP status.
    def test_valid_statuses_are_passed_on(self) -> None:
        for status in (b'200', b'404', b'599'):
            with self.subTest(status):
                harness = CallHarness(is_idempotent=False)
                harness.send_request('POST')
                harness.permit(1)
                interim = b'HTTP/1.1 100 Continue\r\n\r\n'
                harness.send_response(0, interim + _RESPONSE % (status, b'id1'))
                received = harness.received_bytes()
                self.assertTrue(received.startswith(b'HTTP/1.1 ' + status))


class OddServer(Protocol):
    """Is healthy, and responds to each call with the next of the statuses."""

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        if data.startswith(b'GET /health '):
            self.transport.write(_HEALTHY)
            return
        fields = data.lower().partition(b'x-request-id: ')[2]
        request_id = fields.partition(b'\r\n')[0]
        status = self.factory.next_status()
        self.transport.write(_RESPONSE % (status, request_id))


class OddServerFactory(Factory):
    protocol = OddServer
    noisy = False

    def __init__(self) -> None:
        self.run_count = 0

    def next_status(self) -> bytes:
        self.run_count += 1
        return _STATUSES[self.run_count % len(_STATUSES)]


class InvalidStatusFleetTest(unittest.TestCase):
    # Guards against the same from the socket of a server to that of a caller.
    def test_caller_gets_no_such_status(self) -> None:
        fleet = Fleet(vms=1)
        servers = OddServerFactory()
        fleet.add_server('i-odd', 'press', servers)
        fleet.configure(1, route('/a/', RouteType='non_idempotent'))
        statuses = fleet.run(lambda: self._call(fleet, servers), _TIMEOUT_S)
        self.assertGreaterEqual(servers.run_count, len(_STATUSES))
        self.assertEqual(statuses.count(_UNKNOWN), servers.run_count)
        self.assertLessEqual(set(statuses), {_UNKNOWN, _NOT_RUN})

    async def _call(self, fleet: Fleet, servers: OddServerFactory) -> list[int]:
        """Send calls until the server has used each status."""
        await fleet.wait_until(lambda: fleet.nodes[0].is_ready, 8)
        statuses: list[int] = []
        while servers.run_count < len(_STATUSES):
            response = await fleet.call(method='POST')
            statuses.append(0 if response is None else response.status)
        return statuses


if __name__ == '__main__':
    unittest.main()
