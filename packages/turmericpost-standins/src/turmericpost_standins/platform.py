"""All stand-ins of one deployment on loopback, in one process."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any
from uuid import uuid4

from twisted.web.resource import Resource
from twisted.web.server import Site

from turmericpost_core.config.records import (
    ConfigurationRecord,
    RecordKind,
    encode_record,
)
from turmericpost_standins.backend import BackendSpec, BackendStandIn
from turmericpost_standins.deployments import Deployment
from turmericpost_standins.store.service import StoreService
from turmericpost_standins.vm_list import ListedVm, VmList

CONFIGURATION_STREAM = 'turmericpost-configuration'

_LOOPBACK = '127.0.0.1'


class StandInPlatform:
    """Store, VM list and backend servers of a deployment."""

    def __init__(self, reactor: Any, deployment: Deployment) -> None:
        self.store = StoreService(reactor)
        self.vm_list = VmList(reactor)
        self.backends: dict[str, list[BackendStandIn]] = {}
        self.backend_ports: dict[str, list[int]] = {}
        self.peer_port = 0
        self.store_address = ''
        self.vm_list_url = ''
        self._reactor = reactor
        self._deployment = deployment
        self._listening_ports: list[Any] = []
        self._reserved_ports: list[ReservedPort] = []

    def start(self) -> None:
        """Listen on a free loopback port for each stand-in."""
        self.store_address = f'{_LOOPBACK}:{self._listen(self.store)}'
        self.vm_list_url = self._url(self._listen(self.vm_list))
        for service in self._deployment.services:
            self.backends[service.name] = []
            self.backend_ports[service.name] = []
            for index in range(service.backend_count):
                spec = BackendSpec(
                    name=f'{service.name}-{index}',
                    slots=service.slots,
                    mean_service_ms=service.mean_service_ms,
                )
                backend = BackendStandIn(self._reactor, spec, seed=index)
                self.backends[service.name].append(backend)
                port = self._listen(backend)
                self.backend_ports[service.name].append(port)
        reserved = ReservedPort()
        self._reserved_ports.append(reserved)
        self.peer_port = reserved.number
        domain = self._deployment.failure_domains[0].name
        address = f'{_LOOPBACK}:{self.peer_port}'
        self.vm_list.set_vms((ListedVm(address, domain),))

    def publish(self, document: Mapping[str, Any]) -> None:
        """Append a document to the configuration stream as the first change."""
        record = ConfigurationRecord(
            kind=RecordKind.CHANGE,
            base_revision=0,
            change_id=uuid4().hex,
            author='stand-in',
            published_at_utc=datetime.now(UTC),
            document=dict(document),
        )
        self.store.append(CONFIGURATION_STREAM, encode_record(record))

    async def stop(self) -> None:
        """Close every port."""
        for port in self._listening_ports:
            await port.stopListening()
        for reserved in self._reserved_ports:
            reserved.release()

    def _listen(self, resource: Resource) -> int:
        site = Site(resource)
        site.noisy = False
        port = self._reactor.listenTCP(0, site, interface=_LOOPBACK)
        self._listening_ports.append(port)
        return int(port.getHost().port)

    def _url(self, port: int) -> str:
        return f'http://{_LOOPBACK}:{port}'


class ReservedPort:
    """A loopback port that is not assigned to any other socket.

    Until ``release`` is called, the system assigns it neither to a listening
    socket nor to a connection that asks for any free port. A process that is
    given the number can listen on it, since both sockets reuse the address and
    this one does not listen.
    """

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((_LOOPBACK, 0))
        self.number = int(self._socket.getsockname()[1])

    def release(self) -> None:
        """Let the system assign the port again."""
        self._socket.close()
