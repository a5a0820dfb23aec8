"""VM processes and a server that states that it leaves, or asks for pauses.

Four servers of 16 slots, four VMs and 120 calls a second; by hand for longer:
``python -m tests.soak.test_statements SECONDS``.
"""

from __future__ import annotations

import sys
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from twisted.internet.defer import Deferred, gatherResults

from tests.gateway.fleet_harness import (
    DOMAINS,
    DRAIN_S,
    CallerHostClient,
    Fleet,
    route,
)
from tests.soak.vm_process import VmProcess, VmSettings
from turmericpost.http1.serial_http_client import HttpRequest
from turmericpost_standins.platform_backend import Statement

_NETWORK = '127.90.2'
_VMS = 4
_SERVERS = 4
_SLOTS = 16
_SERVICE_TIME_S = 0.2
_CALLS_PER_S = 120
_PAUSE_S = 3.0
_SLACK_S = 0.5
_MAX_IN_PAUSE = 2
_START_S = 4.0
_QUIET_S = 1.0
_RUN_S = 7.0
_MIN_SERVED_SHARE = 0.99


@dataclass(frozen=True)
class Call:
    """A call that was sent to a VM, and the status of its response."""

    vm: int
    sent_s: float
    status: int


class StatementRun:
    """One run: calls at all VMs while server ``b0`` states something."""

    def __init__(self, run_s: float) -> None:
        self.calls: dict[str, Call] = {}
        self.fleet = Fleet(vms=0)
        self._run_s = run_s
        self._vms: list[VmProcess] = []
        for number in range(_SERVERS):
            self.fleet.add_backend(
                f'b{number}', slots=_SLOTS, service_time_s=_SERVICE_TIME_S
            )
        self.server = self.fleet.backends['b0']
        self.fleet.configure(1, route('/a/', RouteType='non_idempotent'))

    @property
    def first_stated_s(self) -> float:
        """Time of the first statement."""
        return self.server.statements[0].stated_s

    def play(self, begin: Callable[[], None]) -> None:
        """Send calls, and begin the statements after a moment."""
        with TemporaryDirectory() as folder:
            for number in range(_VMS):
                self._vms.append(self._new_vm(number, Path(folder)))
            self.fleet.run(
                lambda: self._call_all(begin), self._run_s + 4 * _START_S
            )

    def late_after_leaving(self) -> int:
        """Return how many calls reached the server too late for their VM."""
        told_s: dict[int, float] = {}
        for statement in self._delivered():
            vm = self.calls[statement.request_id].vm
            told_s.setdefault(vm, statement.stated_s)
        return sum(
            call.sent_s > told_s.get(call.vm, float('inf')) + DRAIN_S
            for call in self._arrived_calls()
        )

    def most_in_a_pause(self) -> int:
        """Return the most requests of one VM in one of its pauses."""
        most = 0
        for statement in self._delivered():
            vm = self.calls[statement.request_id].vm
            begin_s = statement.stated_s + _SLACK_S
            end_s = statement.stated_s + (statement.pause_s or 0)
            within = sum(
                begin_s < arrival.arrived_s < end_s
                and self.calls[arrival.request_id].vm == vm
                for arrival in self.server.arrivals
                if arrival.request_id in self.calls
            )
            most = max(most, within)
        return most

    def served_share(self) -> float:
        """Return the share of calls with a response from a second after."""
        begin_s = self.first_stated_s + _QUIET_S
        statuses = Counter(
            call.status for call in self.calls.values() if call.sent_s > begin_s
        )
        return statuses[200] / max(statuses.total(), 1)

    def _delivered(self) -> list[Statement]:
        return [
            statement
            for statement in self.server.statements
            if statement.request_id in self.calls
        ]

    def _arrived_calls(self) -> list[Call]:
        return [
            self.calls[arrival.request_id]
            for arrival in self.server.arrivals
            if arrival.request_id in self.calls
        ]

    async def _call_all(self, begin: Callable[[], None]) -> None:
        for vm in self._vms:
            vm.start()
        try:
            await self.fleet.pause(_START_S)
            self.fleet.reactor.callLater(1, begin)
            end_s = self.fleet.reactor.seconds() + self._run_s
            pending: list[Deferred[None]] = []
            while self.fleet.reactor.seconds() < end_s:
                pending.append(self._call(len(pending)))
                await self.fleet.pause(1 / _CALLS_PER_S)
            await gatherResults(pending)
        finally:
            for vm in self._vms:
                vm.close()

    def _call(self, number: int) -> Deferred[None]:
        vm = number % _VMS
        request_id = f'id{number}'
        sent_s = self.fleet.reactor.seconds()

        async def exchange() -> None:
            headers = (
                (b'host', b'a.example'),
                (b'x-request-id', request_id.encode()),
                (b'x-deadline-ms', b'1500'),
            )
            address = self._vms[vm].caller_address
            client = CallerHostClient(self.fleet.reactor, *address, 1)
            self.calls[request_id] = Call(vm, sent_s, 0)
            request = HttpRequest('GET', b'/a/x', b'', headers)
            response = await client.send(request, 3)
            client.close()
            if response.is_ok():
                status = response.unwrap().status
                self.calls[request_id] = Call(vm, sent_s, status)

        return Deferred.fromCoroutine(exchange())

    def _new_vm(self, number: int, folder: Path) -> VmProcess:
        domain = list(DOMAINS)[number % len(DOMAINS)]
        last = number + 11
        settings = VmSettings(
            f'vm{number}',
            f'{_NETWORK}.{last}',
            domain,
            DOMAINS[domain],
            f'{_NETWORK}.11',
            self.fleet.store_port,
        )
        return VmProcess(self.fleet.reactor, settings, folder)


def leaving_run(run_s: float) -> StatementRun:
    """Return a run in which a server leaves; its registration says ready."""
    run = StatementRun(run_s)
    faults = run.server.faults
    run.play(lambda: setattr(faults, 'states_leaving', True))
    return run


def paused_run(run_s: float) -> StatementRun:
    """Return a run in which a server rejects all, and asks for pauses."""
    run = StatementRun(run_s)
    faults = run.server.faults
    run.play(lambda: setattr(faults, 'pause_s', _PAUSE_S))
    return run


class StatementsTest(unittest.TestCase):
    # Guards against a server that leaves and still gets requests, since its
    # registration says that it is ready.
    def test_server_that_states_that_it_leaves_gets_no_late_requests(
        self,
    ) -> None:
        run = leaving_run(_RUN_S)
        self.assertEqual(run.late_after_leaving(), 0)
        self.assertGreaterEqual(run.served_share(), _MIN_SERVED_SHARE)

    # Guards against a server that rejects quickly, looks free and draws load.
    def test_server_that_asks_for_pauses_gets_them(self) -> None:
        run = paused_run(_RUN_S)
        self.assertLessEqual(run.most_in_a_pause(), _MAX_IN_PAUSE)
        self.assertGreaterEqual(run.served_share(), _MIN_SERVED_SHARE)


if __name__ == '__main__':
    seconds = float(sys.argv[1])
    leaving = leaving_run(seconds)
    sys.stdout.write(
        f'leaving: {leaving.late_after_leaving()} late, '
        f'{leaving.served_share():.4f} served\n'
    )
    paused = paused_run(seconds)
    sys.stdout.write(
        f'pauses: {paused.most_in_a_pause()} at most in one, '
        f'{paused.served_share():.4f} served\n'
    )
