"""Days on which the servers of a failure domain turn cold beside a fault.

Counted are the requests that arrive at a cold server within a second. By hand:
``python -m tests.soak.cold_servers SCENARIO --help``.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from types import MappingProxyType

from tests.gateway.fleet_harness import Fleet, route
from tests.soak.cold_arrivals import (
    COLD_PER_S,
    MAX_COLD_ARRIVALS,
    Permits,
    WorstSecond,
    worst_second,
)
from tests.soak.cold_callers import SteadyCallers
from tests.soak.vm_process import CHECK_INTERVAL_S, VmProcess, VmSettings
from turmericpost.http1.serial_http_client import HttpRequest, SerialHttpClient
from turmericpost_core.membership.ring import rendezvous_owners
from turmericpost_standins.platform_backend import (
    PlatformBackend,
    PlatformBackendSpec,
)
from turmericpost_standins.platform_server import PlatformServer

COLD_S = 3.0
_SLOTS = 3
_COLD_SLOWNESS_PERCENT = 200
_MAX_COLD_PER_S = 20
_MAX_START_S = 90.0
_BEFORE_S = 2.0
_AFTER_S = 2.0
_READY_CHECK_S = 0.3
_READY_PORT = 18542
_CONTROL_PORT = 18544
_OK = 200
_MS_PER_S = 1000
_LIMITS = MappingProxyType(
    {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 67108864,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    }
)


@dataclass(frozen=True)
class ServiceSize:
    """Work of a service and its servers in each failure domain."""

    name: str
    work_s: float
    objective_ms: int
    deadline_ms: int
    servers: int


SERVICES = (
    ServiceSize('quick', 0.22, 600, 3000, 18),
    ServiceSize('usual', 0.29, 800, 4000, 10),
    ServiceSize('long', 0.55, 1500, 6000, 20),
)


@dataclass(frozen=True)
class ColdDay:
    """What happens on a day.

    ``vms`` lists the VMs of each failure domain; the fault strikes the first
    one. ``calls_per_s`` are sent to all VMs, for the first ``services``. The
    fault is played ``rounds`` times. With ``servers`` every service has so
    many servers in each domain. Requests and probes need ``delay_ms``.
    """

    scenario: str
    seed: int = 1
    vms: tuple[int, ...] = (35, 3, 3)
    calls_per_s: float = 85
    services: int = 1
    servers: int | None = None
    rounds: int = 1
    round_s: float = 8
    delay_ms: float = 0

    @property
    def sizes(self) -> tuple[ServiceSize, ...]:
        """The services that are called."""
        return SERVICES[: self.services]


@dataclass
class Findings:
    """What was seen: the worst second of each round, and the responses.

    ``lags_s`` lists how late timers of this process ran, which also delays the
    servers.
    """

    seconds: list[WorstSecond] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    crashes: int = 0
    lags_s: list[float] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    @property
    def usual_lag_s(self) -> float:
        """The lag that nine in ten timers did not exceed."""
        return sorted(self.lags_s)[len(self.lags_s) * 9 // 10]

    @property
    def worst(self) -> WorstSecond:
        """The worst second of all rounds."""
        return max(self.seconds, key=lambda second: second.count)


class ColdRun:
    """One run of a day."""

    def __init__(self, day: ColdDay) -> None:
        self.findings = Findings()
        self.day = day
        self.random = Random(day.seed)
        self.fleet = Fleet(vms=0)
        self.reactor = self.fleet.reactor
        self.servers: list[PlatformServer] = []
        self.vms: list[VmProcess] = []
        self._dark: set[VmProcess] = set()
        self._network = _own_network()
        self._round_bounds_s: list[tuple[float, float]] = []
        self._notes: list[str] = []
        for domain in _domain_regions(len(day.vms)):
            for size in day.sizes:
                self._add_servers(size, domain)
        self._configure()
        self.callers = SteadyCallers(
            self.fleet,
            self.random,
            lambda: self.vms,
            [f'/{size.name}/' for size in day.sizes],
        )

    @property
    def struck_vms(self) -> list[VmProcess]:
        """The VMs of the domain that the fault strikes."""
        return self.vms[: self.day.vms[0]]

    @property
    def struck_servers(self) -> list[PlatformServer]:
        """The servers of the domain that the fault strikes."""
        return [
            server
            for server in self.servers
            if server.backend.spec.failure_domain == _domain_name(0)
        ]

    def run(self, folder: Path) -> Findings:
        """Play the day; the logs of the VMs go to a folder."""
        numbers = iter(range(sum(self.day.vms)))
        for domain, count in enumerate(self.day.vms):
            for _ in range(count):
                number = next(numbers)
                self.vms.append(self._new_vm(number, domain, folder))
        played_s = self.day.rounds * self.day.round_s
        self.fleet.run(
            self._steps, _MAX_START_S + _BEFORE_S + played_s + 2 * _AFTER_S
        )
        permits = Permits(folder)
        for bounds_s in self._round_bounds_s:
            self.findings.seconds.append(self._worst_of(bounds_s, permits))
        self.findings.statuses = self.callers.statuses
        self.findings.crashes = sum(
            len(server.crashes_s) for server in self.servers
        )
        self.findings.notes = self._notes
        return self.findings

    def note(self, what: str) -> None:
        """Keep what was done and when."""
        now_s = self.reactor.seconds()
        self._notes.append(f'{now_s:.3f} {what}')

    def later(self, pause_s: float, action: Callable[[], object]) -> None:
        """Do something after a while."""
        self.reactor.callLater(pause_s, action)

    def turn_cold(self) -> None:
        """Let the servers of the domain turn cold, which nothing announces."""
        self.note('servers turn cold')
        for server in self.struck_servers:
            server.backend.turn_cold(COLD_S)

    def power_off(self, *, with_servers: bool) -> None:
        """End the VMs of the domain, and its servers too if wanted."""
        self.note('power off')
        for vm in self.struck_vms:
            self._dark.add(vm)
            vm.close()
        for server in self.struck_servers if with_servers else ():
            server.power_off()

    def power_on_servers(self) -> None:
        """Start the servers of the domain, which state that they are cold."""
        self.note('servers return')
        for server in self.struck_servers:
            server.power_on()
            self.fleet.register(server.backend.spec.backend_id)

    def power_on_vms(self) -> None:
        """Start the VMs of the domain again."""
        self.note('VMs return')
        for vm in self.struck_vms:
            self._dark.discard(vm)
            vm.start()

    def leaders(self) -> list[VmProcess]:
        """Return the VMs of the domain that are its brokers in calm."""
        by_name = {vm.settings.name: vm for vm in self.struck_vms}
        names = {
            rendezvous_owners(
                f'{size.name}@{_domain_name(0)}', list(by_name), 1
            )[0]
            for size in self.day.sizes
        }
        return [by_name[name] for name in sorted(names)]

    async def _steps(self) -> None:
        for vm in self.vms:
            vm.start()
        try:
            await self._play()
        finally:
            for ending in self.vms:
                ending.close()

    async def _play(self) -> None:
        self._check_processes()
        await self._await_ready()
        self.callers.start(self.day.calls_per_s)
        await self.fleet.pause(_BEFORE_S)
        for _ in range(self.day.rounds):
            begun_s = self.reactor.seconds()
            SCENARIOS[self.day.scenario](self)
            await self.fleet.pause(self.day.round_s)
            self._round_bounds_s.append((begun_s, self.reactor.seconds()))
        self.callers.is_finished = True
        await self.fleet.pause(_AFTER_S)

    async def _await_ready(self) -> None:
        """Wait until every VM has its configuration."""
        begun_s = self.reactor.seconds()
        for vm in self.vms:
            while not await self._is_ready(vm):
                await self.fleet.pause(_READY_CHECK_S)
        spent_s = self.reactor.seconds() - begun_s
        self.note(f'seconds until all are ready: {spent_s:.1f}')

    async def _is_ready(self, vm: VmProcess) -> bool:
        host, _port = vm.caller_address
        client = SerialHttpClient(self.reactor, host, _READY_PORT, 1)
        response = await client.send(HttpRequest('GET', b'/-/ready'), 2)
        client.close()
        return response.is_ok() and response.unwrap().status == _OK

    def _check_processes(self) -> None:
        for vm in self.vms:
            if vm not in self._dark:
                vm.check()
        due_s = self.reactor.seconds() + CHECK_INTERVAL_S
        self.reactor.callLater(CHECK_INTERVAL_S, self._check_at, due_s)

    def _check_at(self, due_s: float) -> None:
        self.findings.lags_s.append(self.reactor.seconds() - due_s)
        self._check_processes()

    def _worst_of(
        self, bounds_s: tuple[float, float], permits: Permits
    ) -> WorstSecond:
        begun_s, ended_s = bounds_s
        seconds = [
            worst_second(
                server.backend.spec.backend_id,
                [
                    arrival
                    for arrival in server.backend.cold_arrivals
                    if begun_s <= arrival.arrived_s < ended_s
                ],
                permits,
            )
            for server in self.servers
        ]
        return max(seconds, key=lambda second: second.count)

    def _add_servers(self, size: ServiceSize, domain: str) -> None:
        for number in range(self.day.servers or size.servers):
            backend_id = f'{domain}-{size.name}-{number}'
            backend = PlatformBackend(
                self.reactor,
                PlatformBackendSpec(
                    backend_id,
                    size.name,
                    domain,
                    slots=_SLOTS,
                    service_time_s=size.work_s,
                    cold_slowness_percent=_COLD_SLOWNESS_PERCENT,
                    max_cold_per_s=_MAX_COLD_PER_S,
                    network_delay_s=self.day.delay_ms / _MS_PER_S,
                ),
            )
            server = PlatformServer(self.reactor, backend, cold_s=COLD_S)
            server.open()
            self.servers.append(server)
            self.fleet.backends[backend_id] = backend
            self.fleet.addresses[backend_id] = f'127.0.0.1:{server.port}'
            self.fleet.register(backend_id)

    def _configure(self) -> None:
        config = {
            'Version': 1,
            'Routes': [
                route(
                    f'/{size.name}/',
                    Service=size.name,
                    TimeoutMs=size.deadline_ms,
                    SloLatencyMs=size.objective_ms,
                )
                for size in self.day.sizes
            ],
            'Services': [
                {
                    'Name': size.name,
                    'HealthCheckPath': '/health',
                    'MaxConnections': 260,
                    'WarmupS': COLD_S,
                    'WarmupPerS': COLD_PER_S,
                }
                for size in self.day.sizes
            ],
            'Limits': dict(_LIMITS),
        }
        record = json.dumps(config).encode()
        self.fleet.store.put_keyed('keyed.op', 'config', record)

    def _new_vm(self, number: int, domain: int, folder: Path) -> VmProcess:
        regions = _domain_regions(len(self.day.vms))
        name = _domain_name(domain)
        settings = VmSettings(
            f'vm{number}',
            _host(self._network, number),
            name,
            regions[name],
            self._seed_hosts(),
            self.fleet.store_port,
            regions,
        )
        return VmProcess(self.reactor, settings, folder)

    def _seed_hosts(self) -> str:
        """Return the first VM of each domain, as the settings list seeds."""
        counts = self.day.vms
        hosts = [
            _host(self._network, sum(counts[:domain]))
            for domain, _ in enumerate(counts)
        ]
        return f':{_CONTROL_PORT},'.join(hosts)


def _herd(run: ColdRun) -> None:
    """Kill all VMs of the domain while its servers turn cold."""
    run.note('herd is killed')
    for vm in run.struck_vms:
        vm.kill()
    run.later(run.random.uniform(0, 3), run.turn_cold)


def _domain_returns(run: ColdRun) -> None:
    """Let the domain lose power; its VMs return after its servers."""
    run.power_off(with_servers=True)
    servers_s = run.random.uniform(5.2, 7)
    run.later(servers_s, run.power_on_servers)
    run.later(servers_s + run.random.uniform(1, 3), run.power_on_vms)


def _vms_gone(run: ColdRun) -> None:
    """Let the domain lose its VMs; its servers turn cold before they return."""
    run.power_off(with_servers=False)
    cold_s = run.random.uniform(4.5, 7)
    run.later(cold_s, run.turn_cold)
    run.later(cold_s + run.random.uniform(1, 3), run.power_on_vms)


def _servers_alone(run: ColdRun) -> None:
    """Let the domain lose power; its servers return, and lose it again."""
    run.power_off(with_servers=True)
    run.later(run.random.uniform(0.8, 1.2), run.power_on_servers)


def _paused_leader(run: ColdRun) -> None:
    """Pause the brokers several times while the servers are cold."""
    run.later(run.random.uniform(0, 0.5), run.turn_cold)
    begin_s = float(0)
    while begin_s < COLD_S:
        pause_s = run.random.uniform(0.2, 1.2)
        for vm in run.leaders():
            run.later(begin_s, partial(vm.pause, pause_s))
        begin_s += pause_s + run.random.uniform(0.1, 0.6)


def _slow_vms(run: ColdRun) -> None:
    """Pause all VMs of the domain again and again while servers are cold."""
    run.later(run.random.uniform(0, 1), run.turn_cold)
    for vm in run.struck_vms:
        begin_s = run.random.uniform(0, 0.5)
        while begin_s < COLD_S + 1:
            pause_s = run.random.uniform(0.1, 0.4)
            run.later(begin_s, partial(vm.pause, pause_s))
            begin_s += pause_s + run.random.uniform(0.05, 0.4)


def _rolling(run: ColdRun) -> None:
    """Stop the VMs of the domain one after the other."""
    run.later(run.random.uniform(0, 3), run.turn_cold)
    for number, vm in enumerate(run.struck_vms):
        run.later(number * 0.15, vm.terminate)


def _unannounced(run: ColdRun) -> None:
    """Let the servers turn cold in calm."""
    run.later(run.random.uniform(0, 1), run.turn_cold)


SCENARIOS: Mapping[str, Callable[[ColdRun], None]] = MappingProxyType(
    {
        'herd': _herd,
        'domain-returns': _domain_returns,
        'vms-gone': _vms_gone,
        'servers-alone': _servers_alone,
        'paused-leader': _paused_leader,
        'slow-vms': _slow_vms,
        'rolling': _rolling,
        'unannounced': _unannounced,
    }
)


def _domain_name(domain: int) -> str:
    return f'd{domain}'


def _domain_regions(domains: int) -> dict[str, str]:
    """Return the region of each domain; two domains share one."""
    regions: dict[str, str] = {}
    for domain in range(domains):
        region = domain // 2
        regions[_domain_name(domain)] = f'r{region}'
    return regions


def _host(network: str, number: int) -> str:
    last = number + 11
    return f'{network}.{last}'


def _own_network() -> str:
    """Return the first parts of loopback addresses of this process."""
    high, low = divmod(os.getpid() % 50_000, 250)
    return '.'.join(('127', str(high + 1), str(low)))


def play(day: ColdDay, folder: Path | None = None) -> Findings:
    """Play a day; the logs of the VMs go to ``folder`` if it is given."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return ColdRun(day).run(folder)
    with TemporaryDirectory() as temporary:
        return ColdRun(day).run(Path(temporary))


def report(day: ColdDay, findings: Findings) -> Iterator[str]:
    """Yield the lines about a day."""
    counts = [second.count for second in findings.seconds]
    broken = sum(second.is_too_many for second in findings.seconds)
    yield (
        f'{day.scenario} seed {day.seed} VMs {day.vms}: {counts} arrivals in '
        f'the worst second of each round, {MAX_COLD_ARRIVALS:.2f} allowed, '
        f'{broken} broken; {dict(findings.statuses)}, '
        f'{findings.crashes} crashes, lag {findings.usual_lag_s:.3f} s, at most '
        f'{max(findings.lags_s):.3f} s'
    )
    for second in findings.seconds:
        yield (
            f'  {second.count} at {second.backend_id} from '
            f'{second.begun_s:.3f}: sent by {dict(second.requesters)}, '
            f'granted by {dict(second.granters)}, of these outside the domain: '
            f'{_count_outside(day, second)}'
        )
    for note in findings.notes:
        yield f'  {note}'


def _count_outside(day: ColdDay, second: WorstSecond) -> int:
    """Return how many brokers are no VMs of the domain of the fault."""
    return sum(
        int(name.removeprefix('vm')) >= day.vms[0] for name in second.granters
    )


def _read_day(arguments: Sequence[str]) -> tuple[ColdDay, Path | None]:
    parser = argparse.ArgumentParser()
    parser.add_argument('scenario', choices=sorted(SCENARIOS))
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--vms', default='35,3,3')
    parser.add_argument('--calls-per-s', type=float, default=85)
    parser.add_argument('--services', type=int, default=1)
    parser.add_argument('--servers', type=int, default=None)
    parser.add_argument('--rounds', type=int, default=1)
    parser.add_argument('--round-s', type=float, default=8)
    parser.add_argument('--delay-ms', type=float, default=0)
    parser.add_argument('--folder', type=Path, default=None)
    fields = dict(parser.parse_args(arguments).__dict__)
    folder = fields.pop('folder')
    vms = tuple(int(count) for count in fields.pop('vms').split(','))
    return ColdDay(vms=vms, **fields), folder


def main() -> int:
    """Play one day and print what was seen; 1 means too many arrivals."""
    day, folder = _read_day(sys.argv[1:])
    findings = play(day, folder)
    for line in report(day, findings):
        sys.stdout.write(f'{line}\n')
    return int(findings.worst.is_too_many)


if __name__ == '__main__':
    sys.exit(main())
