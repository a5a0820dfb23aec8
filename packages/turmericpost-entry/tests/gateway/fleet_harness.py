"""Harness with entry VMs, a store and backend servers on one reactor.

All use loopback addresses. Every VM has its own address in 127.0.0.0/8 and
uses the same ports, as on the platform.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.internet.task import deferLater
from twisted.internet.tcp import Port, Server
from twisted.python.failure import Failure
from twisted.web.server import Site

from turmericpost.gateway.node import GatewayNode
from turmericpost.gateway.settings import GatewaySettings, OperatingBounds
from turmericpost.http1.serial_http_client import (
    HttpRequest,
    HttpResponse,
    SerialHttpClient,
)
from turmericpost.platform.call_headers import PlatformCallCodec
from turmericpost.platform.store_client import StoreClient
from turmericpost_standins.platform import ReservedPort
from turmericpost_standins.platform_backend import (
    PlatformBackend,
    PlatformBackendSpec,
)
from turmericpost_standins.store.service import StoreService

DOMAINS = {'nasr': 'cairo', 'smouha': 'alex'}
DRAIN_S = 2.0
_OPERATING_BOUNDS = OperatingBounds(DRAIN_S, 6, 2, 5, 0.2, 64, 10)
_LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 67108864,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15000,
}


def route(path: str, **changes: object) -> dict[str, object]:
    return {
        'Name': path,
        'Host': 'a.example',
        'PathPrefix': path,
        'RouteType': 'idempotent',
        'TimeoutMs': 1500,
        'SloLatencyMs': 800,
        'Priority': 1,
        'Service': 'press',
        'MaxAttempts': 2,
        'AllowedRegions': [],
        **changes,
    }


class Fleet:
    """A store, entry VMs and backend servers in two failure domains."""

    def __init__(
        self, vms: int = 2, store_type: type[StoreService] = StoreService
    ) -> None:
        self.reactor = EPollReactor()
        self.store = store_type(self.reactor)
        self.backends: dict[str, PlatformBackend] = {}
        self.nodes: list[GatewayNode] = []
        self.addresses: dict[str, str] = {}
        self._reserved_ports = [ReservedPort() for _ in range(5)]
        self._ports = [reserved.number for reserved in self._reserved_ports]
        self._requests = 0
        self.store_port = self._listen(self.store)
        for number in range(vms):
            self.nodes.append(self._new_node(number))

    def add_backend(
        self,
        backend_id: str,
        domain: str = 'nasr',
        service: str = 'press',
        **size: Any,
    ) -> PlatformBackend:
        backend_server = PlatformBackend(
            self.reactor,
            PlatformBackendSpec(backend_id, service, domain, **size),
        )
        self.backends[backend_id] = backend_server
        port = self._listen(backend_server)
        self.addresses[backend_id] = f'127.0.0.1:{port}'
        self.register(backend_id)
        return backend_server

    def add_server(
        self, backend_id: str, service: str, factory: Any, slots: int = 3
    ) -> None:
        """Listen with a protocol factory and register it as a server."""
        listening = self.reactor.listenTCP(0, factory, interface='127.0.0.1')
        port = listening.getHost().port
        entry = {
            'Service': service,
            'Address': f'127.0.0.1:{port}',
            'Zone': 'nasr',
            'Version': 'v1',
            'Slots': slots,
            'State': 'ready',
            'WarmupLeftMs': 0,
            'Seq': 1,
            'born': 1,
        }
        self.store.put_keyed(
            'keyed.servers', backend_id, json.dumps(entry).encode()
        )

    def register(self, backend_id: str) -> None:
        entry = self.backends[backend_id].encode_registration(
            self.addresses[backend_id]
        )
        self.store.put_keyed('keyed.servers', backend_id, entry)

    def unregister(self, backend_id: str) -> None:
        self.store.put_keyed('keyed.servers', backend_id, b'')

    def configure(self, version: int, *routes: dict[str, object]) -> None:
        names = {str(entry['Service']) for entry in routes}
        config = {
            'Version': version,
            'Routes': routes,
            'Services': [
                {
                    'Name': name,
                    'HealthCheckPath': '/health',
                    'MaxConnections': 260,
                    'WarmupS': 3,
                    'WarmupPerS': 3,
                }
                for name in sorted(names)
            ],
            'Limits': _LIMITS,
        }
        self.store.put_keyed('keyed.op', 'config', json.dumps(config).encode())

    async def call(
        self,
        vm: int = 0,
        path: str = '/a/x',
        method: str = 'GET',
        body: bytes = b'',
    ) -> HttpResponse | None:
        """Send a call to a VM and return its response.

        Returns ``None`` if the connection failed.
        """
        self._requests += 1
        headers = (
            (b'host', b'a.example'),
            (b'x-request-id', b'id%d' % self._requests),
            (b'x-deadline-ms', b'1500'),
        )
        client = CallerHostClient(self.reactor, _host(vm), self._ports[0], 1)
        request = HttpRequest(method, path.encode(), body, headers)
        response = await client.send(request, 5)
        client.close()
        return response.unwrap_or(None)

    async def query_endpoint(self, vm: int, target: str) -> HttpResponse | None:
        """Send a GET request to the endpoints of a VM.

        Returns ``None`` if the connection failed.
        """
        client = SerialHttpClient(self.reactor, _host(vm), self._ports[1], 1)
        response = await client.send(HttpRequest('GET', target.encode()), 1)
        client.close()
        return response.unwrap_or(None)

    def connect_caller(self, vm: int, caller: Protocol) -> None:
        """Connect a protocol to the caller port of a VM."""
        factory = ClientFactory.forProtocol(lambda: caller)
        factory.noisy = False
        factory.clientConnectionFailed = lambda _connector, reason: (
            caller.connectionLost(reason)
        )
        self.reactor.connectTCP(_host(vm), self._ports[0], factory, timeout=1)

    def open_connection(self, vm: int) -> socket.socket:
        """Return a blocking socket that is connected to a VM's caller port."""
        return socket.create_connection((_host(vm), self._ports[0]), 1)

    def end_process(self, vm: int) -> None:
        """Close all sockets of a VM at once, as the end of its process does."""
        for descriptor in self._descriptors(vm):
            if isinstance(descriptor, Port):
                descriptor.stopListening()
            else:
                descriptor.abortConnection()

    def limit_send_buffers(self, vm: int, size_bytes: int) -> None:
        """Limit the send buffers of connections that a VM accepts later."""
        for descriptor in self._descriptors(vm):
            if isinstance(descriptor, Port):
                descriptor.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes
                )

    async def pause(self, pause_s: float) -> None:
        await deferLater(self.reactor, pause_s)

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Wait until a condition is true; return false on a timeout."""
        end_s = self.reactor.seconds() + timeout_s
        while self.reactor.seconds() < end_s:
            if condition():
                return True
            await self.pause(0.02)
        return condition()

    async def ready(self) -> None:
        """Wait until every VM is ready and knows every backend server."""
        count = len(self.backends)
        assert await self.wait_until(
            lambda: all(
                node.is_ready and len(node.state.directory.backends) == count
                for node in self.nodes
            ),
            8,
        )

    def run(
        self, steps: Callable[[], Awaitable[Any]], timeout_s: float = 40
    ) -> Any:
        """Start the VMs, run a coroutine, and return what it returns."""
        ended: list[Any] = []

        def end(outcome: Any) -> None:
            ended.append(outcome)
            self.reactor.stop()

        def begin() -> None:
            for node in self.nodes:
                node.start().unwrap()
            Deferred.fromCoroutine(steps()).addBoth(end)

        self.reactor.callWhenRunning(begin)
        self.reactor.callLater(timeout_s, self.reactor.stop)
        self.reactor.run(installSignalHandlers=False)
        for reserved in self._reserved_ports:
            reserved.release()
        if ended and isinstance(ended[0], Failure):
            ended[0].raiseException()
        return ended[0]

    def _descriptors(self, vm: int) -> list[Port | Server]:
        return [
            descriptor
            for descriptor in self.reactor.getReaders()
            if isinstance(descriptor, Port | Server)
            and descriptor.getHost().host == _host(vm)
        ]

    def _new_node(self, number: int) -> GatewayNode:
        host = _host(number)
        domain = list(DOMAINS)[number % len(DOMAINS)]
        callers, readiness, directory, metrics, peers = self._ports
        settings = GatewaySettings(
            name=f'vm{number}',
            host=host,
            failure_domain=domain,
            region=DOMAINS[domain],
            domain_regions=DOMAINS,
            callers=(host, callers),
            readiness=(host, readiness),
            directory=(host, directory),
            metrics=(host, metrics),
            peer_port=peers,
            seed_hosts=(_host(0),),
            store=('127.0.0.1', self.store_port),
            operating_bounds=_OPERATING_BOUNDS,
        )
        store = StoreClient(self.reactor, settings.store)
        return GatewayNode(self.reactor, settings, store, PlatformCallCodec())

    def _listen(self, resource: Any) -> int:
        site = Site(resource, reactor=self.reactor)
        site.noisy = False
        port = self.reactor.listenTCP(0, site, interface='127.0.0.1')
        return int(port.getHost().port)


class CallerHostClient(SerialHttpClient):
    """A client that keeps the host field given by the request."""

    def _wire(self, request: HttpRequest) -> bytes:
        wire = super()._wire(request)
        request_line, _, rest = wire.partition(b'\r\n')
        return request_line + b'\r\n' + rest.partition(b'\r\n')[2]


def _host(number: int) -> str:
    last = number + 11
    return f'127.0.0.{last}'
