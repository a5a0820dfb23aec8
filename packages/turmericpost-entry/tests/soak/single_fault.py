"""Days by processes on which one fault stands alone, for good, in calm.

Versions come in uneven steps; each adds a route, and from the configuration
bound on after its confirmation each VM is asked for it. By hand:
``python -m tests.soak.single_fault FAULT SCOPE VMS SECONDS [FOLDER]``, with the
faults and scopes of ``faulty_vm``, ``none``, or a fault of the store: an
``odd`` or ``unreadable`` registration at the ``start`` or ``later``, or
``silence`` on the connections on which reads wait then.
"""

from __future__ import annotations

import json
import os
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from twisted.internet.defer import Deferred

from tests.gateway.fleet_harness import CallerHostClient, Fleet, route
from tests.platform.samples import ENTRY
from tests.soak.faulty_vm import (
    ALL_VMS,
    FAULT_VARIABLE,
    FAULTS,
    READERS,
)
from tests.soak.vm_process import VmProcess, VmSettings
from turmericpost.http1.serial_http_client import HttpRequest

NO_FAULT = 'none'
_DOMAIN_REGIONS = {'nasr': 'cairo', 'giza': 'cairo', 'smouha': 'alex'}
_START_S = 6.0
_FAULT_S = 3.0
_CONFIG_S = 2.0
_PROBE_PAUSE_S = 0.4
_MIN_STEP_S = 0.3
_MAX_STEP_S = 2.5
_MAX_VERSION_STEP = 5
_KEPT_ROUTES = 12
_SERVERS = 9
_UNREADABLE_DEPTH = 20_000
_SLOTS = 16


@dataclass(frozen=True)
class Day:
    """What happens on a day.

    ``scope`` names the VMs that have the fault: all, the readers, those of a
    failure domain, or the number of one.
    """

    fault: str
    scope: str = 'all'
    vms: int = 6
    length_s: float = 12
    seed: int = 1


@dataclass
class Findings:
    """What was seen.

    ``statuses`` counts the responses to calls of added routes by VM and
    status. ``operations`` counts the calls to the store.
    """

    statuses: dict[str, Counter[int]] = field(default_factory=dict)
    operations: Counter[str] = field(default_factory=Counter)
    log_lines: int = 0
    log_names: Counter[str] = field(default_factory=Counter)

    @property
    def total(self) -> Counter[int]:
        """Responses of all VMs by status."""
        return sum(self.statuses.values(), Counter())


class SingleFaultRun:
    """One run of a day."""

    def __init__(self, day: Day) -> None:
        self.findings = Findings()
        self._day = day
        self._random = Random(day.seed)
        self._fleet = Fleet(vms=0)
        self._reactor = self._fleet.reactor
        self._version = 1
        self._added: list[str] = []
        self._asked = ''
        self._vms: list[VmProcess] = []
        self._network = _own_network()
        if day.scope == 'start':
            self._disturb_store()
        for number in range(_SERVERS):
            self._fleet.add_backend(
                f'b{number}', _domain(number), slots=_SLOTS, service_time_s=0.01
            )
        self._fleet.configure(self._version, route('/a/'))

    def run(self, folder: Path) -> Findings:
        """Play the day; the logs of the VMs go to a folder."""
        for number in range(self._day.vms):
            self._vms.append(self._new_vm(number, folder))
        self._fleet.run(
            self._steps, self._day.length_s + 2 * _START_S + 2 * _CONFIG_S
        )
        for log in folder.glob('*.log'):
            for line in log.read_text(encoding='utf-8').splitlines():
                self._count_line(line)
        return self.findings

    def _count_line(self, line: str) -> None:
        try:
            name = json.loads(line)['name']
        except (ValueError, KeyError):
            name = 'no-event'
        self.findings.log_lines += 1
        self.findings.log_names[name] += 1

    async def _steps(self) -> None:
        for vm in self._vms:
            vm.start()
        try:
            await self._play()
        finally:
            for ending in self._vms:
                ending.close()

    async def _play(self) -> None:
        await self._fleet.pause(_START_S)
        if self._day.scope == 'later':
            self._disturb_store()
        before = Counter(self._fleet.store.received_operations)
        end_s = self._reactor.seconds() + self._day.length_s
        self._publish(end_s)
        while self._reactor.seconds() < end_s:
            for vm in self._vms if self._asked else ():
                Deferred.fromCoroutine(self._call(vm, self._asked))
            await self._fleet.pause(_PROBE_PAUSE_S)
        after = Counter(self._fleet.store.received_operations)
        self.findings.operations = after - before
        await self._fleet.pause(_CONFIG_S)

    def _publish(self, end_s: float) -> None:
        """Publish a version with one more route, and later the next one."""
        now_s = self._reactor.seconds()
        if now_s + _CONFIG_S >= end_s:
            return
        self._version += self._random.randint(1, _MAX_VERSION_STEP)
        path = f'/added{self._version}/'
        self._added.append(path)
        kept = [route(added) for added in self._added[-_KEPT_ROUTES:]]
        self._fleet.configure(self._version, route('/a/'), *kept)
        self._reactor.callLater(_CONFIG_S, self._ask_for, path)
        step_s = self._random.uniform(_MIN_STEP_S, _MAX_STEP_S)
        self._reactor.callLater(step_s, self._publish, end_s)

    def _ask_for(self, path: str) -> None:
        """Ask for a route until a newer one can be asked for."""
        self._asked = path

    async def _call(self, vm: VmProcess, path: str) -> None:
        headers = (
            (b'host', b'a.example'),
            (b'x-request-id', b'added'),
            (b'x-deadline-ms', b'1500'),
        )
        request = HttpRequest('GET', f'{path}x'.encode(), b'', headers)
        client = CallerHostClient(self._reactor, *vm.caller_address, 1)
        response = await client.send(request, 2)
        client.close()
        status = response.unwrap().status if response.is_ok() else 0
        counter = self.findings.statuses.setdefault(vm.settings.name, Counter())
        counter[status] += 1

    def _disturb_store(self) -> None:
        if self._day.fault == 'silence':
            self._fleet.store.silence_waiting_reads()
            return
        odd = {**ENTRY, 'Service': '\ud800press', 'born': 10**12}
        entry = json.dumps(odd).encode()
        if self._day.fault == 'unreadable':
            entry = b'[' * _UNREADABLE_DEPTH
        self._fleet.store.put_keyed('keyed.servers', 'i-5d637a8a', entry)

    def _new_vm(self, number: int, folder: Path) -> VmProcess:
        domain = _domain(number)
        last = number + 11
        settings = VmSettings(
            f'vm{number}',
            f'{self._network}.{last}',
            domain,
            _DOMAIN_REGIONS[domain],
            f'{self._network}.11',
            self._fleet.store_port,
            _DOMAIN_REGIONS,
        )
        if self._day.fault not in FAULTS:
            return VmProcess(self._reactor, settings, folder)
        return VmProcess(
            self._reactor,
            settings,
            folder,
            module='tests.soak.faulty_vm',
            variables=self._fault_variables(number),
        )

    def _fault_variables(self, number: int) -> dict[str, str]:
        scope = self._day.scope
        places = (str(number), _domain(number))
        if scope not in {ALL_VMS, READERS, *places}:
            return {}
        if scope in places:
            scope = ALL_VMS
        words = (self._day.fault, scope, str(_FAULT_S))
        return {FAULT_VARIABLE: ' '.join(words)}


def _domain(number: int) -> str:
    names = list(_DOMAIN_REGIONS)
    return names[number % len(names)]


def _own_network() -> str:
    """Return the first parts of loopback addresses of this process."""
    high, low = divmod(os.getpid() % 50_000, 250)
    return '.'.join(('127', str(high + 1), str(low)))


def play(day: Day, folder: Path | None = None) -> Findings:
    """Play a day; the logs of the VMs go to ``folder`` if it is given."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return SingleFaultRun(day).run(folder)
    with TemporaryDirectory() as temporary:
        return SingleFaultRun(day).run(Path(temporary))


def main() -> None:
    """Play one day and print what was seen."""
    fault, scope, vms, length_s = sys.argv[1:5]
    folder = Path(sys.argv[5]) if len(sys.argv) > 5 else None
    day = Day(fault, scope, int(vms), float(length_s))
    findings = play(day, folder)
    for name, counts in sorted(findings.statuses.items()):
        sys.stdout.write(f'{name}: {dict(counts)}\n')
    sys.stdout.write(
        f'{day}: {dict(findings.total)}, store {dict(findings.operations)}, '
        f'{findings.log_lines} log lines {dict(findings.log_names)}\n'
    )


if __name__ == '__main__':
    main()
