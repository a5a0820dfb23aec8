"""Tests over a real port: a malformed request gets one 400, valid ones pass."""

from __future__ import annotations

import socket
import threading
import unittest
from collections.abc import Iterator

from twisted.internet.epollreactor import EPollReactor

from turmericpost.http1.exchange import Exchange
from turmericpost.http1.server import CallerPort
from turmericpost.http1.settings import CallerSettings
from turmericpost.reactor_clock import ReactorClock

_HOST = b'Host: a.example\r\n'
_GET = b'GET / HTTP/1.1\r\n'
_POST = b'POST / HTTP/1.1\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'

MALFORMED_REQUESTS = {
    'two Host fields': _GET + _HOST + _HOST + b'\r\n',
    'no Host field': _GET + b'\r\n',
    'a Host with a space': _GET + b'Host: a b\r\n\r\n',
    'two lengths': _POST
    + _HOST
    + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
    'a list of lengths': _POST + _HOST + b'Content-Length: 3, 3\r\n\r\nabc',
    'a signed length': _POST + _HOST + b'Content-Length: +3\r\n\r\nabc',
    'length with chunked': _POST
    + _HOST
    + b'Content-Length: 3\r\n'
    + _CHUNKED
    + b'0\r\n\r\n',
    'chunked not last': _POST
    + _HOST
    + b'Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n',
    'a folded field': _GET + _HOST + b'X-A: b\r\n c\r\n\r\n',
    'a bare CR': _GET + _HOST + b'X-A: b\rc\r\n\r\n',
    'bare line feeds': b'GET / HTTP/1.1\nHost: a\n\n',
    'a NUL': _GET + _HOST + b'X-A: b\0c\r\n\r\n',
    'a control character': _GET + _HOST + b'X-A: b\x01c\r\n\r\n',
    'a space before the colon': _GET + _HOST + b'X-A : b\r\n\r\n',
    'an asterisk for GET': b'GET * HTTP/1.1\r\n' + _HOST + b'\r\n',
    'a fragment': b'GET /a#b HTTP/1.1\r\n' + _HOST + b'\r\n',
    'a space in the target': b'GET /a b HTTP/1.1\r\n' + _HOST + b'\r\n',
    'version 2.0': b'GET / HTTP/2.0\r\n' + _HOST + b'\r\n',
    'a version cut short': b'GET / HTTP/1\r\n' + _HOST + b'\r\n',
    'an oversized chunk size': _POST
    + _HOST
    + _CHUNKED
    + b'fffffffffffffffff\r\n',
    'an upgrade with a chunked body': _POST
    + _HOST
    + b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    + b'HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n'
    + _CHUNKED
    + b'3\r\nabc\r\n0\r\n\r\n',
    'an upgrade with a length': _POST
    + _HOST
    + b'Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 3\r\n\r\nabc',
    'an upgrade without a body': _GET
    + _HOST
    + b'Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n',
    'a connection option for the length': _POST
    + _HOST
    + b'Connection: keep-alive, Content-Length\r\n'
    + b'Content-Length: 3\r\n\r\nabc',
    'a connection option for the transfer coding': _POST
    + _HOST
    + b'Connection: transfer-encoding\r\n'
    + _CHUNKED
    + b'0\r\n\r\n',
    'a connection option for the host': _GET
    + _HOST
    + b'Connection: Host\r\n\r\n',
    'a negative chunk size': _POST + _HOST + _CHUNKED + b'-1\r\n',
    'a prefixed chunk size': _POST + _HOST + _CHUNKED + b'0x1\r\na\r\n',
}

VALID_REQUESTS = {
    'a path': _GET + _HOST + b'\r\n',
    'an absolute target': b'GET http://a.example/ HTTP/1.1\r\n'
    + _HOST
    + b'\r\n',
    'an asterisk for OPTIONS': b'OPTIONS * HTTP/1.1\r\n' + _HOST + b'\r\n',
    'a body in chunks': _POST + _HOST + _CHUNKED + b'1\r\na\r\n0\r\n\r\n',
}


class _BodyReceiver:
    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    def body_received(self, body: bytes) -> None:
        """Ignore the body."""

    def body_complete(self) -> None:
        self._exchange.send_full_response(200, [], b'')

    def body_failed(self, reason: object) -> None:
        self._exchange.send_full_response(400, [], b'')

    def caller_gone(self) -> None:
        """Ignore."""

    def pause_response(self) -> None:
        """Ignore."""

    def resume_response(self) -> None:
        """Ignore."""


class StrictHeadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self._reactor = EPollReactor()
        port = CallerPort(
            lambda exchange: exchange.accept_body(_BodyReceiver(exchange)),
            CallerSettings(),
            ReactorClock(self._reactor),
            lambda reason: None,
        )
        listening = self._reactor.listenTCP(0, port, interface='127.0.0.1')
        self._port = listening.getHost().port
        self._thread = threading.Thread(
            target=self._reactor.run,
            kwargs={'installSignalHandlers': False},
        )
        self._thread.start()

    def tearDown(self) -> None:
        self._reactor.callFromThread(self._reactor.stop)
        self._thread.join()

    def test_malformed_heads_get_one_400(self) -> None:
        for name, wire in MALFORMED_REQUESTS.items():
            with self.subTest(name):
                response = b''.join(self._send_request(wire))
                self.assertTrue(response.startswith(b'HTTP/1.1 400 '), response)
                self.assertEqual(response.count(b'HTTP/1.1'), 1)
                self.assertIn(b'connection: close', response.lower())

    def test_valid_heads_are_accepted(self) -> None:
        for name, wire in VALID_REQUESTS.items():
            with self.subTest(name):
                first = next(self._send_request(wire))
                self.assertTrue(first.startswith(b'HTTP/1.1 200 '), first)

    def _send_request(self, wire: bytes) -> Iterator[bytes]:
        address = ('127.0.0.1', self._port)
        with socket.create_connection(address, timeout=5) as connection:
            connection.sendall(wire)
            while received := connection.recv(4096):
                yield received
