"""Tests of a stand-in server that turns cold and crashes."""

from __future__ import annotations

import json
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.internet.task import deferLater

from turmericpost.http1.serial_http_client import (
    HttpRequest,
    HttpResponse,
    SerialHttpClient,
)
from turmericpost_standins.platform_backend import (
    PlatformBackend,
    PlatformBackendSpec,
)
from turmericpost_standins.platform_server import PlatformServer

_COLD_S = 0.4
_DOWN_S = 0.1
_MAX_COLD_PER_S = 3
_SERVICE_TIME_S = 0.03
_LEAST_COLD_TIME_S = 0.09


class PlatformServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = EPollReactor()
        self.backend = PlatformBackend(
            self.reactor,
            PlatformBackendSpec(
                'b0',
                'press',
                'nasr',
                service_time_s=_SERVICE_TIME_S,
                cold_slowness_percent=300,
                max_cold_per_s=_MAX_COLD_PER_S,
            ),
        )
        self.server = PlatformServer(
            self.reactor, self.backend, down_s=_DOWN_S, cold_s=_COLD_S
        )

    def run_steps(self, steps: Callable[[], Awaitable[Any]]) -> None:
        ended: list[Any] = []

        def begin() -> None:
            self.server.open()
            Deferred.fromCoroutine(steps()).addBoth(end)

        def end(outcome: Any) -> None:
            ended.append(outcome)
            self.reactor.stop()

        self.reactor.callWhenRunning(begin)
        self.reactor.callLater(5, self.reactor.stop)
        self.reactor.run(installSignalHandlers=False)
        self.assertEqual(ended, [None])

    async def send(
        self, path: str = '/a/x', expected: bytes = b'b0'
    ) -> HttpResponse | None:
        client = SerialHttpClient(
            self.reactor, '127.0.0.1', self.server.port, 1
        )
        headers = ((b'x-request-id', b'id'), (b'x-expect-instance', expected))
        request = HttpRequest('GET', path.encode(), b'', headers)
        response = await client.send(request, 1)
        client.close()
        return response.unwrap_or(None)

    async def pause(self, pause_s: float) -> None:
        await deferLater(self.reactor, pause_s)

    def test_only_requests_while_cold_are_counted(self) -> None:
        async def steps() -> None:
            await self.send()
            self.backend.turn_cold(_COLD_S)
            await self.send()
            await self.send('/health')
            await self.send(expected=b'b1')
            self.assertEqual(len(self.backend.cold_arrivals), 1)
            await self.pause(_COLD_S)
            await self.send()
            self.assertEqual(len(self.backend.cold_arrivals), 1)

        self.run_steps(steps)

    def test_work_takes_longer_while_cold(self) -> None:
        async def steps() -> None:
            self.backend.turn_cold(_COLD_S)
            begun_s = self.reactor.seconds()
            await self.send()
            spent_s = self.reactor.seconds() - begun_s
            self.assertGreaterEqual(spent_s, _LEAST_COLD_TIME_S)

        self.run_steps(steps)

    def test_turning_cold_is_no_new_start_and_is_told_by_probes(self) -> None:
        async def steps() -> None:
            before = json.loads(self.backend.encode_registration('address'))
            self.backend.turn_cold(_COLD_S)
            after = json.loads(self.backend.encode_registration('address'))
            self.assertEqual(before['born'], after['born'])
            probe = _Probe()
            factory = ClientFactory.forProtocol(lambda: probe)
            self.reactor.connectTCP('127.0.0.1', self.server.port, factory)
            await self.pause(_SERVICE_TIME_S)
            self.assertIn(b'x-warmup-ms: ', probe.received.lower())

        self.run_steps(steps)

    def test_restart_is_in_the_registration(self) -> None:
        async def steps() -> None:
            before = json.loads(self.backend.encode_registration('address'))
            self.backend.restart(_COLD_S)
            after = json.loads(self.backend.encode_registration('address'))
            self.assertGreater(after['born'], before['born'])
            self.assertGreater(after['WarmupLeftMs'], 0)
            await self.pause(0)

        self.run_steps(steps)

    def test_too_many_requests_while_cold_crash_the_server(self) -> None:
        async def steps() -> None:
            port = self.server.port
            self.backend.turn_cold(_COLD_S)
            pending = [
                Deferred.fromCoroutine(self.send())
                for _ in range(_MAX_COLD_PER_S + 1)
            ]
            for response in pending:
                self.assertIsNone(await response)
            self.assertEqual(len(self.server.crashes_s), 1)
            self.assertIsNone(await self.send())
            await self.pause(2 * _DOWN_S)
            self.assertIsNotNone(await self.send('/health'))
            self.assertEqual(self.server.port, port)
            self.assertGreater(self.backend.started_ms, 1)

        self.run_steps(steps)

    def test_fewer_requests_while_cold_crash_nothing(self) -> None:
        async def steps() -> None:
            self.backend.turn_cold(_COLD_S)
            for _ in range(_MAX_COLD_PER_S):
                await self.send()
            self.assertEqual(self.server.crashes_s, [])

        self.run_steps(steps)


class _Probe(Protocol):
    def __init__(self) -> None:
        self.received = b''

    def connectionMade(self) -> None:
        self.transport.write(b'GET /health HTTP/1.1\r\nHost: a\r\n\r\n')

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        self.received += data


if __name__ == '__main__':
    unittest.main()
