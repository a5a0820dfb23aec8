"""Plays by processes on which the store returns from a copy some seconds old.

By hand: ``python -m tests.soak.store_drill FORM [SEED] [VMS] [FOLDER]``, with the
forms of ``drill_forms``; the logs of the VMs go to the folder. VMs are asked
all the time for what the newest version added and dropped; what was seen is
judged afterwards.
"""

from __future__ import annotations

import json
import os
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from tests.gateway.fleet_harness import CallerHostClient, Fleet, route
from tests.soak.drill_findings import (
    CATCH_UP_S,
    CONFIG_S,
    DEPARTURE_S,
    Findings,
    Probe,
    ServerUse,
    read_logs,
)
from tests.soak.drill_forms import LEAVES_LATER, LEFT_BEFORE, Play, Range
from tests.soak.vm_process import CHECK_INTERVAL_S, VmProcess, VmSettings
from turmericpost.http1.serial_http_client import HttpRequest
from turmericpost_standins.store.service import StoreService

_DOMAIN_REGIONS = {'nasr': 'cairo', 'giza': 'cairo', 'smouha': 'alex'}
_CHECK_IN_S = 1.5
_LOAD_PAUSE_S = 0.12
_PROBE_PAUSE_S = 0.3
_READY_S = 25.0
_RESTART_S = 6.0
_CALM_S: Range = (1.5, 2.5)
_NEXT_DRILL_PAUSE_S: Range = (0.1, 0.5)
_WRITTEN_AGAIN_S: Range = (0.5, 3.0)
_DRAINING_S = 2.2
_CHECKED_S = 3.0
_TIMEOUT_S = 80
_OLD_ROUTES = 12
_ID_RANGE = 0x100000000
_LOST_SHARE = 0.7
_OPERATOR_TOPIC = 'keyed.op'
_SERVERS_TOPIC = 'keyed.servers'
_OK = 200


class GatedStore(Resource):
    """The store as one VM reaches it; closes its connections while cut."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, store: StoreService) -> None:
        super().__init__()
        self.is_cut = False
        self._store = store

    def render(self, request: Request) -> Any:
        """Pass a request on, or close its connection."""
        if self.is_cut:
            request.transport.abortConnection()
            return NOT_DONE_YET
        return self._store.render(request)


class Platform:
    """Operator, servers and store; what they wrote since a copy is known."""

    def __init__(self, play: Play, findings: Findings) -> None:
        self.fleet = Fleet(vms=0)
        self.store = self.fleet.store
        self.random = Random(play.seed)
        self.version = self.random.randint(1, 20)
        self.is_away = False
        self.written: dict[tuple[str, str], bytes] = {}
        self.left_s: dict[str, float] = {}
        self.evacuated_s: dict[str, float] = {}
        self.domains = list(_DOMAIN_REGIONS)[: self.random.randint(2, 3)]
        self._findings = findings
        self._added: list[str] = []
        self._dropped = 0
        self._seq = 0
        if not play.form.states_era:
            self.store.era = None
        for number in range(self.random.randint(6, 9)):
            self.add_server(self.domains[number % len(self.domains)])
        self._put_config()

    @property
    def now_s(self) -> float:
        """The clock of the play."""
        return float(self.fleet.reactor.seconds())

    @property
    def dropped_path(self) -> str:
        """Path that the newest version dropped."""
        return f'/old{self._dropped}/x'

    def added_path(self, version: int) -> str:
        """Path that a version added."""
        return f'/added{version}/x'

    def later(self, delay_s: float, act: Callable[[], Any]) -> None:
        """Act after a delay, or once the store is back."""

        def act_if_back() -> None:
            if self.is_away:
                self.later(_PROBE_PAUSE_S, act)
            else:
                act()

        self.fleet.reactor.callLater(delay_s, act_if_back)

    def add_server(self, domain: str) -> str:
        """Start a server that checks in, and return its id."""
        number = self.random.randrange(_ID_RANGE)
        backend_id = '-'.join(('i', format(number, '08x')))
        self.fleet.add_backend(
            backend_id,
            domain,
            slots=self.random.randint(4, 24),
            service_time_s=self.random.uniform(0.005, 0.03),
        )
        self._write(_SERVERS_TOPIC, backend_id, self._entry(backend_id))
        first_s = self.random.uniform(0.1, _CHECK_IN_S)
        self.fleet.reactor.callLater(first_s, self._check_in, backend_id)
        return backend_id

    def leave(self, backend_id: str, draining_s: float) -> None:
        """Let a server drain, and remove it later.

        It serves on, and answers probes as before, so only its entry tells.
        """
        self.left_s.setdefault(backend_id, self.now_s)
        entry = self._entry(backend_id, 'draining')
        self._write(_SERVERS_TOPIC, backend_id, entry)
        self.later(draining_s, lambda: self._remove(backend_id))

    def evacuate(self, domain: str) -> None:
        """Evacuate a failure domain for good."""
        self.evacuated_s.setdefault(domain, self.now_s)
        self._write(_OPERATOR_TOPIC, f'evacuate/{domain}', b'{}')

    def publish(self) -> None:
        """Write a version that adds a route and drops one."""
        self.version += self.random.randint(1, 4)
        self._added.append(f'/added{self.version}/')
        self._dropped += 1
        self.publish_again()

    def publish_again(self) -> None:
        """Write the newest version, perhaps again."""
        self._put_config()
        self._findings.confirmed_s[self.version] = self.now_s

    def fill(self, records: int) -> None:
        """Write records that change nothing."""
        for _ in range(records):
            self.store.put_keyed(_OPERATOR_TOPIC, 'evacuate/none', b'')

    def write_again(self) -> None:
        """Write late what was lost, in another order."""
        lost = list(self.written.items())
        self.random.shuffle(lost)
        delays_s = sorted(self.random.uniform(*_WRITTEN_AGAIN_S) for _ in lost)
        for delay_s, (place, record) in zip(delays_s, lost, strict=True):
            self.later(delay_s, partial(self._write, *place, record))

    def _put_config(self) -> None:
        kept = [
            route(f'/old{number}/')
            for number in range(self._dropped + 1, _OLD_ROUTES + 1)
        ]
        added = [route(path) for path in self._added]
        self.fleet.configure(self.version, route('/a/'), *kept, *added)

    def _check_in(self, backend_id: str) -> None:
        if backend_id in self.left_s:
            return
        if not self.is_away:
            entry = self._entry(backend_id)
            self.store.put_keyed(_SERVERS_TOPIC, backend_id, entry)
        self.fleet.reactor.callLater(_CHECK_IN_S, self._check_in, backend_id)

    def _remove(self, backend_id: str) -> None:
        self._write(_SERVERS_TOPIC, backend_id, b'')

    def _entry(self, backend_id: str, state: str = 'ready') -> bytes:
        self._seq += 1
        entry = json.loads(
            self.fleet.backends[backend_id].encode_registration(
                self.fleet.addresses[backend_id]
            )
        )
        return json.dumps({**entry, 'State': state, 'Seq': self._seq}).encode()

    def _write(self, topic: str, key: str, record: bytes) -> None:
        self.written[topic, key] = record
        self.store.put_keyed(topic, key, record)


class StoreDrillRun:
    """One play of a drill."""

    def __init__(self, play: Play, folder: Path) -> None:
        self.findings = Findings()
        self._form = play.form
        self._folder = folder
        self._platform = Platform(play, self.findings)
        self._fleet = self._platform.fleet
        self._reactor = self._fleet.reactor
        self._random = self._platform.random
        self._is_over = False
        self._last_tick_s = float('inf')
        self._new_server = ''
        self._gate = GatedStore(self._platform.store)
        gate_port = self._reactor.listenTCP(
            0, Site(self._gate, reactor=self._reactor), interface='127.0.0.1'
        )
        self._cut_number = self._random.randrange(play.vms)
        self._vms = [
            self._new_vm(number, gate_port.getHost().port)
            for number in range(play.vms)
        ]

    def run(self) -> Findings:
        """Play the drill and return what was seen."""
        self._fleet.run(self._steps, _TIMEOUT_S)
        domains = {
            vm.settings.name: vm.settings.failure_domain for vm in self._vms
        }
        read_logs(self.findings, self._folder, domains)
        return self.findings

    async def _steps(self) -> None:
        for vm in self._vms:
            vm.start()
        try:
            await self._play()
        finally:
            self._is_over = True
            for ending in self._vms:
                ending.close()

    async def _play(self) -> None:
        await self._all_serve()
        self._start_repeated_steps()
        await self._pause(_CALM_S)
        await self._fleet.wait_until(self._are_servers_used, _READY_S)
        leaver = self._pick_leaver()
        for number in range(self._form.returns):
            if number:
                await self._pause(_NEXT_DRILL_PAUSE_S)
            await self._drill('' if number else leaver)
        await self._fleet.pause(
            max(self._last_due_s() - self._platform.now_s, 0) + _CHECKED_S
        )
        self._record_uses()

    async def _all_serve(self) -> None:
        """Wait until each VM serves the first version."""
        serving: set[str] = set()
        end_s = self._platform.now_s + _READY_S
        while len(serving) < len(self._vms):
            assert self._platform.now_s < end_s, sorted(serving)
            for vm in self._vms:
                if await self._call(vm, '/a/x') == _OK:
                    serving.add(vm.settings.name)
            await self._fleet.pause(_PROBE_PAUSE_S)

    def _start_repeated_steps(self) -> None:
        self._repeat(CHECK_INTERVAL_S, VmProcess.check)
        self._measure_stall()
        self._repeat(_LOAD_PAUSE_S, self._load)
        self._repeat(_PROBE_PAUSE_S, self._probe)

    def _are_servers_used(self) -> bool:
        return all(backend.runs for backend in self._fleet.backends.values())

    async def _drill(self, leaver: str) -> None:
        """Make a copy, let the store return from it, and write again."""
        platform = self._platform
        platform.written.clear()
        copy = platform.store.copy()
        age_s = self._random.uniform(*self._form.copy_age_s)
        self._write_what_is_lost(age_s, leaver)
        await self._fleet.pause(age_s)
        await self._be_away()
        if self._form.is_lossy:
            platform.store.restore(copy)
        platform.is_away = False
        setattr(platform.store.faults, self._form.away_fault, False)
        await self._write_after_return(leaver)

    async def _write_after_return(self, leaver: str) -> None:
        platform = self._platform
        self.findings.returned_s = platform.now_s
        if self._form.is_lossy:
            platform.write_again()
        if leaver and self._form.leaver == LEAVES_LATER:
            platform.leave(leaver, _DRAINING_S)
        if self._form.is_lossy:
            await self._pause(self._form.write_pause_s)
            platform.publish_again()
        await self._pause(self._form.write_pause_s)
        platform.publish()
        platform.fill(self._form.fillers)

    def _write_what_is_lost(self, age_s: float, leaver: str) -> None:
        platform = self._platform
        lost_s = age_s * _LOST_SHARE
        for _ in range(self._form.lost_versions):
            platform.later(self._random.uniform(0, lost_s), platform.publish)
        if leaver and self._form.leaver == LEFT_BEFORE:
            platform.leave(leaver, lost_s)
        if self._form.with_others:
            domain = platform.domains[-1]
            self._new_server = platform.add_server(platform.domains[0])
            platform.later(lost_s / 2, lambda: platform.evacuate(domain))

    async def _be_away(self) -> None:
        self._gate.is_cut = self._form.cuts_vm
        away_s = self._random.uniform(*self._form.away_s)
        if away_s:
            self._platform.is_away = True
            setattr(self._platform.store.faults, self._form.away_fault, True)
        if self._form.kills_vm:
            vm = self._vms[self._cut_number]
            vm.kill()
            name = vm.settings.name
            self.findings.started_s[name] = self._platform.now_s + _RESTART_S
        await self._fleet.pause(away_s)

    def _last_due_s(self) -> float:
        platform = self._platform
        confirmed_s = (
            *platform.left_s.values(),
            *platform.evacuated_s.values(),
        )
        return max(
            self.findings.returned_s + CATCH_UP_S,
            platform.now_s + CONFIG_S,
            *self.findings.started_s.values(),
            *(each_s + DEPARTURE_S for each_s in confirmed_s),
            self.findings.returned_s + _WRITTEN_AGAIN_S[1] + CONFIG_S,
        )

    def _pick_leaver(self) -> str:
        domain = self._platform.domains[0]
        return self._random.choice(
            [
                backend_id
                for backend_id, backend in self._fleet.backends.items()
                if backend.spec.failure_domain == domain
            ]
        )

    def _record_uses(self) -> None:
        platform = self._platform
        for backend_id, backend in self._fleet.backends.items():
            begun_s = tuple(run.begun_s for run in backend.runs)
            reasons = {
                'left': platform.left_s.get(backend_id),
                'evacuated': platform.evacuated_s.get(
                    backend.spec.failure_domain
                ),
            }
            for reason, confirmed_s in reasons.items():
                if confirmed_s is not None:
                    self.findings.uses.append(
                        ServerUse(backend_id, reason, confirmed_s, begun_s)
                    )
        if self._new_server:
            runs = self._fleet.backends[self._new_server].runs
            last_s = platform.now_s - _CHECKED_S
            self.findings.new_server_runs = sum(
                run.begun_s > last_s for run in runs
            )

    def _repeat(self, pause_s: float, act: Callable[[VmProcess], Any]) -> None:
        """Act on each VM again and again until the play is over."""
        if self._is_over:
            return
        for vm in self._vms:
            act(vm)
        self._reactor.callLater(pause_s, self._repeat, pause_s, act)

    def _measure_stall(self) -> None:
        """Measure for how long this process did not run.

        The servers and the store are part of it.
        """
        now_s = self._platform.now_s
        stall_s = now_s - self._last_tick_s - CHECK_INTERVAL_S
        self._last_tick_s = now_s
        self.findings.longest_stall_s = max(
            self.findings.longest_stall_s, stall_s
        )
        if not self._is_over:
            self._reactor.callLater(CHECK_INTERVAL_S, self._measure_stall)

    def _load(self, vm: VmProcess) -> None:
        Deferred.fromCoroutine(self._call(vm, '/a/x'))

    def _probe(self, vm: VmProcess) -> None:
        """Ask for what the newest version added and dropped."""
        platform = self._platform
        if platform.version in self.findings.confirmed_s:
            version = platform.version
            paths = (platform.added_path(version), platform.dropped_path)
            for path in paths:
                is_added = path == paths[0]
                Deferred.fromCoroutine(
                    self._record_probe(vm, path, version, is_added)
                )

    async def _record_probe(
        self, vm: VmProcess, path: str, version: int, is_added: bool
    ) -> None:
        sent_s = self._platform.now_s
        status = await self._call(vm, path)
        if not self._is_over:
            self.findings.probes.append(
                Probe(
                    vm.settings.name,
                    version,
                    is_added,
                    sent_s,
                    self._platform.now_s,
                    status,
                )
            )

    async def _call(self, vm: VmProcess, path: str) -> int:
        """Call a route on a VM; return the status, 0 without a response."""
        headers = (
            (b'host', b'a.example'),
            (b'x-request-id', b'drill'),
            (b'x-deadline-ms', b'1500'),
        )
        request = HttpRequest('GET', path.encode(), b'', headers)
        client = CallerHostClient(self._reactor, *vm.caller_address, 1)
        response = await client.send(request, 2)
        client.close()
        return int(response.unwrap().status) if response.is_ok() else 0

    async def _pause(self, pause_s: Range) -> None:
        await self._fleet.pause(self._random.uniform(*pause_s))

    def _new_vm(self, number: int, gate_port: int) -> VmProcess:
        domains = self._platform.domains
        domain = domains[number % len(domains)]
        network = _own_network()
        last = number + 11
        is_gated = number == self._cut_number
        settings = VmSettings(
            f'vm{number}',
            f'{network}.{last}',
            domain,
            _DOMAIN_REGIONS[domain],
            f'{network}.11',
            gate_port if is_gated else self._fleet.store_port,
            _DOMAIN_REGIONS,
        )
        return VmProcess(self._reactor, settings, self._folder)


def _own_network() -> str:
    """Return the first parts of loopback addresses of this process."""
    high, low = divmod(os.getpid() % 50_000, 250)
    return '.'.join(('127', str(high + 1), str(low)))


def play_drill(play: Play, folder: Path | None = None) -> Findings:
    """Play a drill; the logs of the VMs go to ``folder`` if it is given."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return StoreDrillRun(play, folder).run()
    with TemporaryDirectory() as temporary:
        return StoreDrillRun(play, Path(temporary)).run()


def _report_lines(play: Play, findings: Findings) -> Iterator[str]:
    """Yield what is printed about a play."""
    violations = findings.violations()
    uses = Counter(use.reason for use in findings.uses if use.begun_s)
    due = dict(findings.due_counts())
    count = len(violations)
    unserved = findings.unserved()
    unserved_count = len(unserved)
    yield f'{play}: {count} violations, {unserved_count} unserved'
    yield f'due {due}, servers used before {dict(uses)}'
    yield f'runs of the new server {findings.new_server_runs}'
    yield f'longest stall of this process {findings.longest_stall_s:.2f} s'
    yield f'lines {dict(findings.line_counts)}'
    yield from (*violations, *unserved)
    for place, vms_by_version in findings.conflicts.items():
        yield f'{place}: {vms_by_version}'
    for domain, vms_by_state in findings.last_states.items():
        yield f'at the end in {domain}: {vms_by_state}'


def main() -> None:
    """Play one drill and print what was seen; fail on a violation."""
    form_name = sys.argv[1]
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    vms = int(sys.argv[3]) if len(sys.argv) > 3 else 8
    folder = Path(sys.argv[4]) if len(sys.argv) > 4 else None
    play = Play(form_name, seed, vms)
    findings = play_drill(play, folder)
    sys.stdout.write('\n  '.join(_report_lines(play, findings)))
    sys.stdout.write('\n')
    sys.exit(bool(findings.violations() or findings.unserved()))


if __name__ == '__main__':
    main()
