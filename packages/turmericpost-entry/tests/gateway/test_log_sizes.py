"""Log lines about texts that callers and other hosts choose."""

from __future__ import annotations

import unittest

from logbook import TestHandler
from twisted.internet.testing import MemoryReactorClock

from tests.gateway.node_harness import started_node
from tests.harness import FakeTransport

_MAX_LINE_CHARACTERS = 1000
_LONG = b'x' * 8000
_MAX_MALFORMED_HOSTS = 1024


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

    # Guards against a set of hosts that grows with every address that sends.
    def test_malformed_datagrams_of_many_hosts_are_logged_a_few_times(
        self,
    ) -> None:
        with TestHandler() as handler:
            for number in range(2 * _MAX_MALFORMED_HOSTS):
                high, low = divmod(number, 250)
                self.node.peers.datagramReceived(
                    b'\xff', (f'10.2.{high}.{low}', 7540)
                )
        self.assertEqual(len(handler.records), _MAX_MALFORMED_HOSTS)


if __name__ == '__main__':
    unittest.main()
