"""Closing of idle caller connections, over sockets."""

from __future__ import annotations

import socket
import unittest
from typing import Any

from twisted.internet.epollreactor import EPollReactor

from tests.harness import FakeClock
from turmericpost.http1.exchange import Exchange
from turmericpost.http1.server import CallerPort
from turmericpost.http1.settings import CallerSettings

_REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
_IDLE_S = 0.3
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

    # Guards against a stop that closes a connection although a request on it
    # has arrived: timers run before sockets are read after a pause.
    def test_connection_with_an_unread_request_is_not_idle(self) -> None:
        self.assertTrue(self._close_after(_REQUEST).startswith(b'HTTP/1.1 503'))

    def test_idle_connection_is_closed(self) -> None:
        self.assertEqual(self._close_after(b''), b'')

    def _close_after(self, request: bytes) -> bytes:
        """Close the idle connections right after the caller has sent bytes.

        Returns what the caller receives.
        """
        received: list[bytes] = []

        def close_idle() -> None:
            self.caller.sendall(request)
            self.port.is_draining = True
            self.port.close_idle()
            self.reactor.callLater(_IDLE_S, self._receive, received)

        self.reactor.callLater(_IDLE_S, close_idle)
        self.reactor.run(installSignalHandlers=False)
        return received[0]

    def _receive(self, received: list[Any]) -> None:
        received.append(self.caller.recv(_MAX_BYTES))
        self.reactor.stop()


if __name__ == '__main__':
    unittest.main()
