"""Planned stops while callers open connections and read slowly."""

from __future__ import annotations

import re
import socket
import time
import unittest
from collections import Counter
from collections.abc import Sequence
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from tests.gateway.fleet_harness import Fleet, route

_CALL = (
    b'GET /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %d\r\n'
    b'X-Deadline-Ms: 1500\r\n\r\n'
)
_LONG_CALL = _CALL.replace(b'1500', b'6000')
_LONG_ROUTE = route('/a/', TimeoutMs=6000, SloLatencyMs=6000)
_LENGTH = re.compile(rb'content-length: (\d+)\r\n', re.IGNORECASE)
_REQUEST_DELAY_S = 0.03
_STOP_UNTIL_READ_S = 4
_LATE_S = 2.2
_PAUSE_S = 3.5
_SEND_BUFFER_BYTES = 4096


class Caller(Protocol):
    """Sends one request a moment after it has connected.

    ``outcome`` is ``complete`` after a whole response, ``refused`` if there was
    no connection, and ``cut`` if the connection ended earlier.
    """

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.outcome = 'open'
        self.status = b''
        self._fleet = fleet
        self._number = number
        self._received = b''

    def connectionMade(self) -> None:
        self._fleet.reactor.callLater(
            _REQUEST_DELAY_S, self.transport.write, _CALL % self._number
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        self._received += data
        head, _, body = self._received.partition(b'\r\n\r\n')
        length = _LENGTH.search(head + b'\r\n')
        if length is not None and len(body) == int(length.group(1)):
            self.outcome = 'complete'
            self.status = head.split()[1]
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure) -> None:
        if self.outcome == 'open':
            had_no_connection = reason.check(
                ConnectionRefusedError, TimeoutError
            )
            self.outcome = 'refused' if had_no_connection else 'cut'


class PatientCaller(Caller):
    """Sends a request with a long deadline at once."""

    def connectionMade(self) -> None:
        self.transport.write(_LONG_CALL % self._number)


class SlowReader(Caller):
    """Reads nothing of the response until it is told to."""

    def connectionMade(self) -> None:
        self.transport.write(_CALL % self._number)
        self.transport.pauseProducing()


class PlannedStopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(vms=1)
        self.fleet.configure(1, route('/a/'))

    # Guards against a stop under load that cuts off requests without a
    # response, since their connections had just been accepted.
    def test_stop_answers_requests_on_connections_just_accepted(self) -> None:
        self.fleet.add_backend('b1')
        callers: list[Caller] = []

        async def steps() -> None:
            await self.fleet.ready()
            stopping = self._stop()
            while not stopping.called:
                caller = Caller(self.fleet, len(callers))
                callers.append(caller)
                self.fleet.connect_caller(0, caller)
                await self.fleet.pause(0.005)
            await self._wait_until_ended(callers)

        self.fleet.run(steps)
        outcomes = Counter(caller.outcome for caller in callers)
        self.assertEqual(outcomes.keys() - {'refused'}, {'complete'})
        statuses = {caller.status for caller in callers} - {b''}
        self.assertEqual(statuses, {b'200', b'503'})

    # Guards against a stop that cuts off a response since its end is not yet
    # sent: the caller reads slowly.
    def test_stop_waits_until_responses_are_sent(self) -> None:
        self.fleet.add_backend('b1', padding_bytes=200_000)
        caller = SlowReader(self.fleet, 1)

        async def steps() -> None:
            await self.fleet.ready()
            await self._connect_slow_reader(caller)
            stopping = self._stop()
            await self.fleet.pause(_STOP_UNTIL_READ_S)
            caller.transport.resumeProducing()
            await stopping
            await self._wait_until_ended([caller])

        self.fleet.run(steps)
        self.assertEqual(caller.outcome, 'complete')

    # Guards against a process that was paused while its stop went on, and exits
    # before it accepts the connections that arrived meanwhile.
    def test_paused_stop_answers_requests_that_arrived_meanwhile(self) -> None:
        self.fleet.add_backend('b1')
        callers: list[socket.socket] = []

        async def steps() -> None:
            await self.fleet.ready()
            stopping = self._stop()
            await self.fleet.pause(0.5)
            self.fleet.reactor.callFromThread(self._call_and_pause, callers)
            await stopping

        self.fleet.run(steps)
        with callers[0] as caller:
            response = caller.recv(_SEND_BUFFER_BYTES)
        self.assertTrue(response.startswith(b'HTTP/1.1 503'))

    # Guards against a stop that cuts off requests that still wait for a server
    # when the process exits: they were not run, and nobody says so.
    def test_stop_refuses_requests_that_wait_for_a_server(self) -> None:
        self.fleet.configure(2, _LONG_ROUTE)
        server = self.fleet.add_backend('b1', slots=1, service_time_s=9)
        callers = [PatientCaller(self.fleet, number) for number in range(4)]

        async def steps() -> None:
            await self.fleet.ready()
            stopping = self._stop()
            await self.fleet.pause(_LATE_S)
            for caller in callers:
                self.fleet.connect_caller(0, caller)
                await self.fleet.pause(0.05)
            await stopping
            await self._wait_until_ended(callers)

        self.fleet.run(steps)
        ran = len(server.runs)
        outcomes = sorted((caller.outcome, caller.status) for caller in callers)
        refused = [('complete', b'503')] * (len(callers) - ran)
        self.assertEqual(outcomes, [*refused, *[('cut', b'')] * ran])

    def _call_and_pause(self, callers: list[socket.socket]) -> None:
        """Block the process after a request was sent to it.

        When it goes on, timers run before sockets are read.
        """
        callers.append(self.fleet.open_connection(0))
        callers[0].sendall(_CALL % len(callers))
        time.sleep(_PAUSE_S)

    async def _connect_slow_reader(self, caller: SlowReader) -> None:
        self.fleet.limit_send_buffers(0, _SEND_BUFFER_BYTES)
        self.fleet.connect_caller(0, caller)
        await self.fleet.pause(0.5)

    async def _wait_until_ended(self, callers: Sequence[Caller]) -> None:
        await self.fleet.wait_until(
            lambda: all(caller.outcome != 'open' for caller in callers), 3
        )

    def _stop(self) -> Deferred[Any]:
        stopping = Deferred.fromCoroutine(self.fleet.nodes[0].stop())
        stopping.addCallback(lambda _: self.fleet.end_process(0))
        return stopping


if __name__ == '__main__':
    unittest.main()
