"""Closing of idle caller connections, over sockets."""

from __future__ import annotations

import socket
import unittest

from twisted.internet.epollreactor import EPollReactor

from tests.harness import FakeClock
from turmericpost.http1.exchange import Exchange
from turmericpost.http1.server import CallerPort
from turmericpost.http1.settings import CallerSettings

_REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
_RESPONSE = b'HTTP/1.1 503'
_IDLE_S = 0.3
_LONG_IDLE_S = 1.3
_RESPONSE_S = 0.2
_TIMEOUT_S = 5
_MAX_BYTES = 4096


def respond(exchange: Exchange) -> None:
    exchange.send_full_response(503, [], b'')


class ClosingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = EPollReactor()
        self.port = CallerPort(
            respond,
            CallerSettings(),
            FakeClock(self.reactor),
            lambda reason: None,
        )
        self.listening = self.reactor.listenTCP(
            0, self.port, interface='127.0.0.1'
        )
        self.caller = socket.create_connection(
            ('127.0.0.1', self.listening.getHost().port), _TIMEOUT_S
        )
        self.addCleanup(self.caller.close)
        self._is_closed = False

    # Guards against a stop that closes a connection although a request on it
    # has arrived: timers run before sockets are read after a pause.
    def test_connection_with_an_unread_request_is_not_idle(self) -> None:
        responses = self._close_after(_IDLE_S, _REQUEST, _REQUEST)
        self.assertEqual(responses.count(_RESPONSE), 2)

    def test_idle_connection_is_closed(self) -> None:
        responses = self._close_after(_IDLE_S, _REQUEST, b'')
        self.assertEqual(responses.count(_RESPONSE), 1)
        self.assertTrue(self._is_closed)

    # Guards against a stop that closes a connection that was just accepted,
    # since its caller takes a moment to send the first request.
    def test_connection_without_a_request_stays_open_for_longer(self) -> None:
        self._close_after(_IDLE_S, b'', b'')
        self.assertFalse(self._is_closed)

    def test_connection_that_gets_no_request_is_closed(self) -> None:
        self._close_after(_LONG_IDLE_S, b'', b'')
        self.assertTrue(self._is_closed)

    def _close_after(self, idle_s: float, first: bytes, second: bytes) -> bytes:
        """Close idle connections some time after the caller has sent bytes.

        ``second`` is sent right before that. Returns what the caller receives.
        """
        received: list[bytes] = []

        def close_idle() -> None:
            self.caller.sendall(second)
            self.port.close_idle()
            self.reactor.callLater(_RESPONSE_S, self._receive, received)

        self.caller.sendall(first)
        self.reactor.callLater(idle_s, close_idle)
        self.reactor.run(installSignalHandlers=False)
        return b''.join(received)

    def _receive(self, received: list[bytes]) -> None:
        self.caller.setblocking(False)
        try:
            while not self._is_closed:
                received.append(self.caller.recv(_MAX_BYTES))
                self._is_closed = not received[-1]
        except BlockingIOError:
            self._is_closed = False
        self.reactor.stop()


if __name__ == '__main__':
    unittest.main()
