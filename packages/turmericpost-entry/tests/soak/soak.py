"""A soak of entry VM processes: faults in series and overlapping, from a seed.

The store and the backend servers are stand-ins in this process, so what they
ran is known. The VMs are processes of their own.
"""

from __future__ import annotations

import os
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from tests.gateway.fleet_harness import (
    DOMAINS,
    CallerHostClient,
    Fleet,
    route,
)
from tests.soak.callers import Caller, SentRequest
from tests.soak.checks import (
    LIMIT_PER_S,
    Run,
    check_added_route,
    check_configs,
    check_rate_limit,
    check_recovery,
    check_request,
    check_servers,
)
from tests.soak.drills import Drills, WrittenStore
from tests.soak.foreign_records import foreign_record
from tests.soak.statement_checks import check_statements
from tests.soak.vm_process import CHECK_INTERVAL_S, VmProcess, VmSettings
from turmericpost.http1.serial_http_client import HttpRequest

CHAOS_S = 14.0
CALM_S = 9.0
LAST_S = 2.0
_LIMIT_LEARNED_S = 3.0
_START_S = 4.0
_LAST_RETURN_S = 12.0
_STALE_ADDRESS_S = 3.0
_MAX_ACTION_PAUSE_S = 0.9
_DRAIN_S = 2.3
_SETTLED_S = 3.0
_CONFIG_S = 2.0
_PROBE_PAUSE_S = 0.3
_FOREIGN_RECORDS = 6
_PAUSES_S = 2.5
_ROUTES = (route('/a/'), route('/order/', RouteType='non_idempotent'))
_PASSING_ROUTES = tuple(route(f'/passing{number}/') for number in range(4))
_ADDED_ROUTE = route('/added/')


@dataclass(frozen=True)
class SoakSize:
    """Number of VMs and callers; the servers are in proportion.

    ``drills`` is how often the store returns from a copy.
    """

    vms: int = 4
    callers: int = 8
    drills: int = 3


class Soak:
    """One run; ``violations`` lists the promises that were broken."""

    def __init__(self, seed: int, size: SoakSize) -> None:
        self.violations: list[str] = []
        self.actions: list[str] = []
        self.callers: list[Caller] = []
        self._random = Random(seed)
        self._content_random = Random(f'content of {seed}')
        self._size = size
        self._fleet = Fleet(vms=0, store_type=WrittenStore)
        self.drills = Drills(
            Random(f'drills of {seed}'), self._fleet, self._configure
        )
        self._reactor = self._fleet.reactor
        self._version = 1
        self._left: set[str] = set()
        self._limited = ''
        self._evacuated = False
        self._foreign_records = 0
        self._added_statuses: list[tuple[str, int]] = []
        self._vms: list[VmProcess] = []
        self._network = _own_network()
        for number in range(2 * size.vms):
            self._fleet.add_backend(f'b{number}', self._domain(number))
        self._fleet.configure(self._version, *_ROUTES)

    def run(self, folder: Path) -> None:
        """Start the processes, inject faults, and check what was promised."""
        for number in range(self._size.vms):
            self._vms.append(self._new_vm(number, folder))
        for number in range(self._size.callers):
            self.callers.append(
                Caller(
                    self._reactor, self._random, f'c{number}', self._addresses
                )
            )
        self._fleet.run(self._steps, CHAOS_S + CALM_S + 3 * _START_S)
        self._check_all()

    @property
    def requests(self) -> list[SentRequest]:
        """All requests of all callers."""
        return [one for caller in self.callers for one in caller.requests]

    async def _steps(self) -> None:
        for vm in self._vms:
            vm.start()
        try:
            await self._inject_faults()
        finally:
            for vm in self._vms:
                vm.close()

    async def _inject_faults(self) -> None:
        self._check_processes()
        await self._fleet.pause(_START_S)
        for caller in self.callers:
            caller.connect()
        self._schedule_contents()
        end_s = self._reactor.seconds() + CHAOS_S
        while self._reactor.seconds() < end_s:
            action = self._random.choice(_ACTIONS)
            self.actions.append(action.__name__.strip('_'))
            action(self)
            await self._fleet.pause(
                self._random.uniform(0, _MAX_ACTION_PAUSE_S)
            )
        self._limit_backend()
        await self._stay_calm()
        for calling in self.callers:
            calling.is_finished = True
        self._end_s = self._reactor.seconds()
        await self._fleet.pause(_DRAIN_S)

    def _schedule_contents(self) -> None:
        """Schedule drills, odd registrations, and what servers state."""
        self.drills.schedule(self._size.drills, _LAST_RETURN_S)
        actions = (
            *_STATEMENTS,
            *((Soak._add_foreign_record,) * _FOREIGN_RECORDS),
        )
        for action in actions:
            at_s = self._content_random.uniform(0, CHAOS_S)
            self._reactor.callLater(at_s, action, self)

    async def _stay_calm(self) -> None:
        """Add a route, and call it at all VMs from the bound on."""
        end_s = self._reactor.seconds() + CALM_S
        await self._fleet.pause(_SETTLED_S)
        self._publish(_ADDED_ROUTE)
        await self._fleet.pause(_CONFIG_S)
        while self._reactor.seconds() < end_s:
            await self._call_added_route()
            await self._fleet.pause(_PROBE_PAUSE_S)

    def _check_processes(self) -> None:
        for vm in self._vms:
            vm.check()
        self._reactor.callLater(CHECK_INTERVAL_S, self._check_processes)

    def _domain(self, number: int) -> str:
        return list(DOMAINS)[number % len(DOMAINS)]

    def _new_vm(self, number: int, folder: Path) -> VmProcess:
        domain = self._domain(number)
        last = number + 11
        settings = VmSettings(
            f'vm{number}',
            f'{self._network}.{last}',
            domain,
            DOMAINS[domain],
            f'{self._network}.11',
            self._fleet.store_port,
        )
        return VmProcess(self._reactor, settings, folder)

    def _addresses(self) -> list[VmProcess]:
        """Return the VMs that callers use, also by addresses a little old."""
        now_s = self._reactor.seconds()
        return [
            vm
            for vm in self._vms
            if vm.is_running
            and (
                vm.stop_begun_s is None
                or now_s - vm.stop_begun_s < _STALE_ADDRESS_S
            )
        ]

    def _terminate(self) -> None:
        self._random.choice(self._vms).terminate()

    def _kill(self) -> None:
        self._random.choice(self._vms).kill()

    def _pause(self) -> None:
        vm = self._random.choice(self._vms)
        vm.pause(self._random.uniform(0.3, 2.5))

    def _reload(self) -> None:
        self._random.choice(self._vms).reload()

    def _publish(self, *added: dict[str, object]) -> None:
        self._configure(self._content_random, *added)

    def _configure(self, random: Random, *added: dict[str, object]) -> None:
        """Publish a version; routes without callers come and go."""
        self._version += 1
        count = random.randrange(len(_PASSING_ROUTES))
        passing = random.sample(_PASSING_ROUTES, count)
        self._fleet.configure(self._version, *_ROUTES, *passing, *added)

    def _add_foreign_record(self) -> None:
        self._foreign_records += 1
        self._fleet.store.put_keyed(
            'keyed.servers',
            f'x-{self._foreign_records}',
            foreign_record(self._content_random),
        )

    def _state_pause(self) -> None:
        """Let a server reject everything and ask for pauses for a while."""
        names = self._remaining_backends()
        faults = self._fleet.backends[self._content_random.choice(names)].faults
        faults.pause_s = self._content_random.choice((0.7, 1.5, 3.0))
        self._reactor.callLater(_PAUSES_S, setattr, faults, 'pause_s', None)

    def _state_leaving(self) -> None:
        """Let a server leave that is still registered as ready."""
        names = self._remaining_backends()
        name = self._content_random.choice(names)
        self._fleet.backends[name].faults.states_leaving = True

    async def _call_added_route(self) -> None:
        """Call the last route that was added at each VM that is settled."""
        headers = (
            (b'host', b'a.example'),
            (b'x-request-id', b'added'),
            (b'x-deadline-ms', b'1500'),
        )
        request = HttpRequest('GET', b'/added/x', b'', headers)
        for vm in self._vms:
            if not vm.is_settled(self._reactor.seconds() - _SETTLED_S):
                continue
            client = CallerHostClient(self._reactor, *vm.caller_address, 1)
            response = await client.send(request, 2)
            client.close()
            if response.is_ok():
                status = response.unwrap().status
                self._added_statuses.append((vm.settings.name, status))

    def _evacuate(self) -> None:
        self._evacuated = not self._evacuated
        text = b'{}' if self._evacuated else b''
        self._fleet.store.put_keyed('keyed.op', 'evacuate/smouha', text)

    def _disturb_store(self) -> None:
        faults = self._fleet.store.faults
        fault = self._random.choice(('is_down', 'is_busy', 'is_silent'))
        setattr(faults, fault, True)
        self._reactor.callLater(
            self._random.uniform(0.2, 2), setattr, faults, fault, False
        )

    def _forget(self) -> None:
        self._fleet.store.compact('keyed.servers')

    def _disturb_backend(self) -> None:
        backend = self._random.choice(list(self._fleet.backends.values()))
        fault = self._random.choice(
            (
                'lose_answers',
                'double_answers',
                'unframed_answers',
                'cut_answers',
                'repeat_answers',
                'shed_requests',
            )
        )
        setattr(backend.faults, fault, self._random.randrange(1, 4))
        if fault == 'shed_requests':
            backend.faults.repeat_answers = backend.faults.shed_requests

    def _slow_backend(self) -> None:
        faults = self._random.choice(list(self._fleet.backends.values())).faults
        faults.slowness_percent = 800
        self._reactor.callLater(1, setattr, faults, 'slowness_percent', 100)

    def _limit_backend(self) -> None:
        """Let a server in use state a rate limit: a fraction of its load."""
        self._limited = self._random.choice(
            [
                name
                for name in self._remaining_backends()
                if name not in self._evacuated_names
            ]
        )
        faults = self._fleet.backends[self._limited].faults
        faults.requests_per_s = LIMIT_PER_S
        self._limited_s = self._reactor.seconds()

    @property
    def _evacuated_names(self) -> set[str]:
        """The servers in the evacuated failure domain, if there is one."""
        return {
            name
            for name, backend in self._fleet.backends.items()
            if self._evacuated and backend.spec.failure_domain == 'smouha'
        }

    def _remaining_backends(self) -> list[str]:
        return sorted(self._fleet.backends.keys() - self._left)

    def _remove_backend(self) -> None:
        """Let a server leave; one more comes in its place."""
        leaving = self._random.choice(self._remaining_backends())
        self._left.add(leaving)
        self._fleet.backends[leaving].faults.is_draining = True
        self._fleet.register(leaving)
        self._reactor.callLater(_DRAIN_S, self._fleet.unregister, leaving)
        number = len(self._fleet.backends)
        domain = self._fleet.backends[leaving].spec.failure_domain
        self._fleet.add_backend(f'b{number}', domain)

    def _check_all(self) -> None:
        runs = self._runs_by_request()
        for vm in self._vms:
            self.violations.extend(vm.faults)
            self.violations.extend(
                check_configs(vm.settings.name, vm.log_lines())
            )
        for request in self.requests:
            request_runs = runs.pop(request.request_id, [])
            self.violations.extend(check_request(request, request_runs))
            if request.sent_s > self._end_s - LAST_S:
                self.violations.extend(
                    check_servers(
                        request, request_runs, self._left, self._evacuated_names
                    )
                )
        runs.pop('added', None)
        self.violations.extend(f'{stray} was never sent' for stray in runs)
        self.violations.extend(check_added_route(self._added_statuses))
        requests = {one.request_id: one for one in self.requests}
        for backend in self._fleet.backends.values():
            self.violations.extend(
                check_statements(backend.statements, backend.arrivals, requests)
            )
        self._check_end()

    def _runs_by_request(self) -> dict[str, list[Run]]:
        runs = defaultdict(list)
        for name, backend in self._fleet.backends.items():
            for run in backend.runs:
                runs[run.request_id].append(Run(name, run.body, run.begun_s))
        return dict(runs)

    def _check_end(self) -> None:
        """Check the time after the last fault."""
        last_s = (self._end_s - LAST_S, self._end_s - LAST_S / 2)
        last = [
            request
            for request in self.requests
            if last_s[0] < request.sent_s < last_s[1]
        ]
        self.violations.extend(check_recovery(last))
        limited_runs = self._fleet.backends[self._limited].runs
        known_s = self._limited_s + _LIMIT_LEARNED_S
        times_s = [run.begun_s for run in limited_runs if run.begun_s > known_s]
        self.violations.extend(check_rate_limit(times_s))


_ACTIONS: tuple[Callable[[Soak], None], ...] = (
    Soak._terminate,
    Soak._terminate,
    Soak._kill,
    Soak._pause,
    Soak._reload,
    Soak._publish,
    Soak._evacuate,
    Soak._disturb_store,
    Soak._forget,
    Soak._disturb_backend,
    Soak._disturb_backend,
    Soak._slow_backend,
    Soak._remove_backend,
)


_STATEMENTS: tuple[Callable[[Soak], None], ...] = (
    Soak._state_leaving,
    Soak._state_pause,
    Soak._state_pause,
    Soak._state_pause,
)


def _own_network() -> str:
    """Return the first parts of loopback addresses of this process."""
    high, low = divmod(os.getpid() % 50_000, 250)
    return '.'.join(('127', str(high + 1), str(low)))


def run_soak(seed: int, size: SoakSize, folder: Path | None = None) -> Soak:
    """Run a soak; the logs of the VMs go to ``folder`` if it is given."""
    soak = Soak(seed, size)
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        soak.run(folder)
        return soak
    with TemporaryDirectory() as temporary:
        soak.run(Path(temporary))
    return soak
