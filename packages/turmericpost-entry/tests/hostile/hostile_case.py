"""Test case with one VM process, a sound server and a crowd."""

from __future__ import annotations

import os
import resource
import unittest
from collections.abc import Awaitable, Callable
from hashlib import sha256
from pathlib import Path
from tempfile import TemporaryDirectory
from types import MappingProxyType

from twisted.internet.protocol import Factory, Protocol

from tests.gateway.fleet_harness import CallerHostClient, Fleet, route
from tests.hostile.crowd import Attack, Crowd
from tests.soak.vm_process import (
    INTERNAL_PORT,
    PORTS,
    VmProcess,
    VmSettings,
)
from turmericpost.http1.serial_http_client import HttpRequest
from turmericpost.platform.settings_file import METRICS_PORT

MEMORY_MB = 96
"""Memory of the machine in these tests, the bound of the process."""

DESCRIPTORS = 500
"""Descriptors of the machine in these tests."""

FILE_DESCRIPTORS = 200
"""Descriptors that are reserved for files; sockets may use the others."""

WAITING = (
    b'GET /wait/x HTTP/1.1\r\nHost: a.example\r\n'
    b'X-Request-Id: odd\r\nX-Deadline-Ms: 8000\r\n\r\n'
)
"""A request that gets no response from its backend server."""

SENT_BYTES = 1_000_000
"""Size of what a connection sends that is to be closed before."""

_ALL_PORTS = MappingProxyType(
    {**PORTS, 'Internal': INTERNAL_PORT, 'Metrics': METRICS_PORT}
)
_NETWORK_NUMBER = os.getpid() % 250
_HOST = f'127.91.{_NETWORK_NUMBER}.11'
_READY_TIMEOUT_S = 30
_CROWD_TIMEOUT_S = 60
_ORDINARY_TIMEOUT_S = 30
_RUN_TIMEOUT_S = 180
_SETTLE_S = 1.5
_SAMPLE_S = 0.05


class HostileCase(unittest.TestCase):
    """Starts a VM process with small limits and lets a crowd attack it."""

    extra_routes = 0
    """Number of further routes, which make the configuration large."""

    def setUp(self) -> None:
        self._ordinary_status = 0
        self._peak_descriptors = 0
        self._peak_unread_mb = float(0)
        self._open_count = 0
        self._complete_count = 0
        self._crowd: Crowd | None = None

    def attack(self, port: str, attack: Attack) -> None:
        """Attack a port with a crowd, whose open connections remain."""
        self.setUp()
        self.check_during(
            lambda fleet, vm: self._run_crowd(fleet, vm, port, attack)
        )
        if attack.must_be_closed:
            self.assertEqual(self._open_count, 0, 'connections left open')
        if attack.must_be_cut:
            self.assertEqual(self._complete_count, 0, 'all was received')

    def check_during(
        self, actions: Callable[[Fleet, VmProcess], Awaitable[None]]
    ) -> None:
        """Run actions; check the process, its bounds and a usual request."""
        fleet = _new_fleet(self.extra_routes)
        with TemporaryDirectory() as folder:
            vm = _new_vm(fleet, Path(folder))
            try:
                fleet.run(
                    lambda: self._play(fleet, vm, actions), _RUN_TIMEOUT_S
                )
                has_ended = vm.has_ended
                memory_mb = 0 if has_ended else vm.peak_memory_mb
            finally:
                vm.close()
        self.assertFalse(has_ended, 'the process has ended')
        self.assertEqual(self._ordinary_status, 200)
        self.assertLess(memory_mb + self._peak_unread_mb, MEMORY_MB)
        self.assertLessEqual(
            self._peak_descriptors, DESCRIPTORS - FILE_DESCRIPTORS
        )

    async def _play(
        self,
        fleet: Fleet,
        vm: VmProcess,
        actions: Callable[[Fleet, VmProcess], Awaitable[None]],
    ) -> None:
        vm.start()
        resource.prlimit(
            vm.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)
        )
        await self._request_until_served(fleet, vm, _READY_TIMEOUT_S)
        self.assertEqual(self._ordinary_status, 200, 'before the attack')
        self._ordinary_status = 0
        await actions(fleet, vm)
        await self._request_until_served(fleet, vm, _ORDINARY_TIMEOUT_S)
        if self._crowd is not None:
            self._complete_count = self._crowd.complete_count
            self._crowd.leave()

    async def _run_crowd(
        self, fleet: Fleet, vm: VmProcess, port: str, attack: Attack
    ) -> None:
        address = (vm.settings.host, _ALL_PORTS[port])
        crowd = Crowd(fleet.reactor, address, attack)
        self._crowd = crowd
        crowd.begin()
        end_s = fleet.reactor.seconds() + _CROWD_TIMEOUT_S
        while not (crowd.has_ended or fleet.reactor.seconds() > end_s):
            await self._sample(fleet, vm)
        settled_s = fleet.reactor.seconds() + _SETTLE_S
        while fleet.reactor.seconds() < settled_s:
            await self._sample(fleet, vm)
        if not vm.has_ended:
            self._open_count = vm.connection_count(_ALL_PORTS[port])

    async def _sample(self, fleet: Fleet, vm: VmProcess) -> None:
        await fleet.pause(_SAMPLE_S)
        if not vm.has_ended:
            self._peak_descriptors = max(
                self._peak_descriptors, vm.descriptor_count
            )
            self._peak_unread_mb = max(self._peak_unread_mb, vm.unread_mb)

    async def _request_until_served(
        self, fleet: Fleet, vm: VmProcess, timeout_s: float
    ) -> None:
        """Send the usual request again until it is served, as callers do."""
        end_s = fleet.reactor.seconds() + timeout_s
        while fleet.reactor.seconds() < end_s and not vm.has_ended:
            self._ordinary_status = await _call(fleet, vm)
            if self._ordinary_status == 200:
                return
            await self._sample(fleet, vm)


def _new_fleet(extra_routes: int) -> Fleet:
    """Return a store and servers: a sound one, and a silent one."""
    fleet = Fleet(vms=0)
    fleet.add_backend('sound')
    _add_silent_server(fleet)
    fleet.configure(
        1,
        route('/a/'),
        route('/wait/', Service='silent', TimeoutMs=8000),
        *map(_numbered_route, range(extra_routes)),
    )
    return fleet


def _numbered_route(number: int) -> dict[str, object]:
    path = sha256(str(number).encode()).hexdigest()
    return route(f'/{path}/')


def _add_silent_server(fleet: Fleet) -> None:
    """Register a server that accepts requests and never responds."""
    factory = Factory.forProtocol(Protocol)
    factory.noisy = False
    fleet.add_server('i-silent', 'silent', factory, DESCRIPTORS)


async def _call(fleet: Fleet, vm: VmProcess) -> int:
    """Return the status of the response to a call, 0 if there is none."""
    headers = (
        (b'host', b'a.example'),
        (b'x-request-id', b'usual'),
        (b'x-deadline-ms', b'1500'),
    )
    client = CallerHostClient(fleet.reactor, *vm.caller_address, 1)
    response = await client.send(HttpRequest('GET', b'/a/x', b'', headers), 5)
    client.close()
    return response.unwrap().status if response.is_ok() else 0


def _new_vm(fleet: Fleet, folder: Path) -> VmProcess:
    settings = VmSettings(
        'vm0',
        _HOST,
        'nasr',
        'cairo',
        _HOST,
        fleet.store_port,
        limits={'MemoryMb': MEMORY_MB, 'MaxFds': DESCRIPTORS},
    )
    return VmProcess(fleet.reactor, settings, folder)
