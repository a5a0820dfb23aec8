"""Callers that send calls at a steady rate to VMs that accept connections."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from random import Random

from twisted.internet.defer import Deferred
from xxhash import xxh32_intdigest

from tests.gateway.fleet_harness import CallerHostClient, Fleet
from tests.soak.vm_process import VmProcess
from turmericpost.gateway.ingress import CALLS_PER_LOG_SAMPLE
from turmericpost.http1.serial_http_client import HttpRequest

_CONNECT_S = 1.0
_GIVE_UP_S = 5.0
_RETRY_PAUSE_S = 0.1
_MAX_TRIES = 30
_MAX_IN_FLIGHT = 1500


class SteadyCallers:
    """Sends calls until stopped; a call waits for a VM that lets it connect.

    ``vms`` returns the VMs to choose from. Request ids begin with the name of
    the VM, and are such that the VM logs the call. Connections are kept.
    """

    def __init__(
        self,
        fleet: Fleet,
        random: Random,
        vms: Callable[[], Sequence[VmProcess]],
        paths: Sequence[str],
    ) -> None:
        self.statuses: Counter[int] = Counter()
        self.calls_per_s = 1.0
        self.is_finished = False
        self._fleet = fleet
        self._random = random
        self._vms = vms
        self._paths = paths
        self._idle_clients: defaultdict[str, list[CallerHostClient]] = (
            defaultdict(list)
        )
        self._in_flight = 0
        self._number = 0

    def start(self, calls_per_s: float) -> None:
        """Begin to send calls."""
        self.calls_per_s = calls_per_s
        self._send_next()

    def _send_next(self) -> None:
        if self.is_finished:
            return
        if self._in_flight < _MAX_IN_FLIGHT:
            Deferred.fromCoroutine(self._call(self._random.choice(self._paths)))
        pause_s = self._random.expovariate(self.calls_per_s)
        self._fleet.reactor.callLater(pause_s, self._send_next)

    async def _call(self, path: str) -> None:
        self._in_flight += 1
        begun_s = self._fleet.reactor.seconds()
        for _ in range(_MAX_TRIES):
            status = await self._try(self._random.choice(self._vms()), path)
            spent_s = self._fleet.reactor.seconds() - begun_s
            if status or self.is_finished or spent_s > _GIVE_UP_S:
                break
            await self._fleet.pause(_RETRY_PAUSE_S)
        self.statuses[status] += 1
        self._in_flight -= 1

    async def _try(self, vm: VmProcess, path: str) -> int:
        """Return the status of a response, 0 if there is none."""
        if not vm.is_running:
            return 0
        headers = (
            (b'host', b'a.example'),
            (b'x-request-id', self._new_id(vm).encode()),
            (b'x-deadline-ms', b'3000'),
        )
        idle = self._idle_clients[vm.settings.name]
        client = idle.pop() if idle else self._new_client(vm)
        request = HttpRequest('GET', f'{path}x'.encode(), b'', headers)
        response = await client.send(request, _GIVE_UP_S)
        if response.is_err():
            client.close()
            return 0
        idle.append(client)
        return response.unwrap().status

    def _new_client(self, vm: VmProcess) -> CallerHostClient:
        return CallerHostClient(
            self._fleet.reactor, *vm.caller_address, _CONNECT_S
        )

    def _new_id(self, vm: VmProcess) -> str:
        while True:
            self._number += 1
            request_id = '.'.join((vm.settings.name, str(self._number)))
            if not xxh32_intdigest(request_id.encode()) % CALLS_PER_LOG_SAMPLE:
                return request_id
