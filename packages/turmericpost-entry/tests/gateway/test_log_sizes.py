"""Log lines about texts that callers and other hosts choose."""

from __future__ import annotations

import unittest

from logbook import TestHandler
from twisted.internet.testing import MemoryReactorClock

from tests.gateway.node_harness import started_node
from tests.harness import FakeTransport

_MAX_LINE_CHARACTERS = 1000
_LONG = b'x' * 8000


class LogSizeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.node = started_node(self.reactor)

    # Guards against request ids and hosts that fill the log buffer, so that
    # lines about other calls are dropped.
    def test_request_id_and_host_are_shortened(self) -> None:
        (factory,) = [
            server[1] for server in self.reactor.tcpServers if server[0] == 1
        ]
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(FakeTransport())
        head = b'GET /x HTTP/1.1\r\nHost: %b\r\nX-Request-Id: %b\r\n\r\n'
        with TestHandler() as handler:
            protocol.dataReceived(head % (_LONG, _LONG))
        self.assertTrue(handler.records)
        for record in handler.records:
            self.assertLess(len(record.message), _MAX_LINE_CHARACTERS)


if __name__ == '__main__':
    unittest.main()
