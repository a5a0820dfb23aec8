"""Closing of a port while callers connect, over sockets."""

from __future__ import annotations

import socket
import unittest
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater

from turmericpost.http1.listen_drain import close_listening_port

_GREETING = b'accepted'
_PENDING = 5
_TURN_S = 0.002
_TIMEOUT_S = 0.05


class Greeter(Protocol):
    def connectionMade(self) -> None:
        self.transport.write(_GREETING)
        self.transport.loseConnection()


class ClosingPortTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = EPollReactor()
        factory = Factory.forProtocol(Greeter)
        factory.noisy = False
        self.port = self.reactor.listenTCP(0, factory, interface='127.0.0.1')
        self.address = ('127.0.0.1', self.port.getHost().port)
        self.callers: list[socket.socket] = []
        self.refused = 0

    # Guards against a planned stop that resets connections since the port was
    # closed before they were accepted.
    def test_pending_connections_are_accepted(self) -> None:
        self._run(self._connect_before_closing)
        self.assertEqual(len(self.callers), _PENDING + 1)
        self._check_callers()

    # Guards against the same for connections that arrive while it is closed.
    def test_connections_that_arrive_meanwhile_are_not_reset(self) -> None:
        self._run(self._connect_until_closed)
        self.assertTrue(self.refused)
        self._check_callers()

    async def _connect_before_closing(self) -> None:
        self._connect()
        await deferLater(self.reactor, _TURN_S)
        for _ in range(_PENDING):
            self._connect()
        await close_listening_port(self.reactor, self.port)

    async def _connect_until_closed(self) -> None:
        closing = Deferred.fromCoroutine(
            close_listening_port(self.reactor, self.port)
        )
        while not closing.called:
            self._connect()
            await deferLater(self.reactor, 0)
        await closing

    def _connect(self) -> None:
        try:
            caller = socket.create_connection(self.address, _TIMEOUT_S)
        except OSError:
            self.refused += 1
        else:
            self.callers.append(caller)

    def _check_callers(self) -> None:
        for caller in self.callers:
            with caller:
                self.assertEqual(caller.recv(len(_GREETING)), _GREETING)

    def _run(self, steps: Any) -> None:
        def begin() -> None:
            running = Deferred.fromCoroutine(steps())
            running.addBoth(ended.append)
            running.addBoth(lambda _: self.reactor.stop())

        ended: list[Any] = []
        self.reactor.callWhenRunning(begin)
        self.reactor.run(installSignalHandlers=False)
        self.assertEqual(ended, [None])


if __name__ == '__main__':
    unittest.main()
