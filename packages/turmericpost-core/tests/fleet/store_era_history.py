"""Seeded histories of VMs whose store returns from a copy.

VMs of one to three failure domains read the store and hear of each other's
state. The operator publishes versions and evacuates domains; servers register,
drain, leave, start again and lapse during outages. Up to three times the store
returns from a copy; what the operator and the servers wrote is then written
again late. VMs are cut off, frozen or restarted meanwhile. In some histories
the store states no era and never returns from a copy.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import permutations
from random import Random

from tests.fleet.era_checks import EraChecks
from tests.fleet.era_store import SimulatedStore, Topic
from tests.fleet.era_vm import CONFIG_KEY, EraVm
from tests.fleet.test_state import config, route
from tests.grants.samples import backend
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.fleet.operator_config import OperatorConfig

STEP_S = 0.1
HEARTBEAT_STEPS = 3
FIRST_DRILL_S = 5.0
WRITES_END_S = 13.0
HOLD_ENDED_S = 20.0
COARSE_AFTER_S = 6.0
COARSE_STEP_S = 0.5
SERVERS = 8
LAPSE_S = 1.5
LINE = 300


@dataclass(frozen=True)
class Fault:
    """A VM is frozen, cut from the store (``away``) or from others (``cut``)."""

    kind: str
    vm: str
    begin_s: float
    end_s: float


@dataclass(frozen=True)
class Outage:
    """The store is away; it returns from a copy of an age, if there is one."""

    begin_s: float
    end_s: float
    copy_age_s: float | None


class StoreEraHistory:
    """One history, determined by its seed."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self.is_stated = self._happens(0.85)
        era = self._random.randrange(5) if self.is_stated else None
        self.store = SimulatedStore(era)
        domains = self._random.randint(1, 3)
        self.domains = [f'd{number}' for number in range(domains)]
        self.vms = {
            name: EraVm(name, self.domains[number % domains])
            for number, name in enumerate(
                f'vm{number}' for number in range(self._random.randint(3, 8))
            )
        }
        self.now_s = float(0)
        self.drill_ends_s: list[float] = []
        self.outages = self._draw_outages()
        self.faults = self._draw_faults()
        self.restarts = self._draw_restarts()
        writes_end = (self.outages[0].begin_s, WRITES_END_S)
        self._writes_end_s = self._random.choice(writes_end)
        self._late_versions_s = [
            outage.begin_s - self._random.uniform(0.1, 0.5)
            for outage in self.outages
            if self._happens(0.5)
        ]
        self.intended: dict[tuple[Topic, str], object] = {}
        self.disturbed_s = float(0)
        self._due: list[tuple[float, Topic, str]] = []
        self.checks = EraChecks(self)
        self._write_first()

    def run(self) -> StoreEraHistory:
        """Play the history until nothing is held any more."""
        step = 0
        while not self._has_ended():
            step += 1
            self._write()
            for outage in self.outages:
                if self.now_s - STEP_S < outage.end_s <= self.now_s:
                    self._return(outage)
            self._step_vms(step)
            self.checks.check_step()
            self.now_s += COARSE_STEP_S if self._is_quiet() else STEP_S
        self.checks.check_end()
        return self

    def has_fault(self, kind: str, vm: str) -> bool:
        return any(
            fault.kind == kind
            and fault.vm == vm
            and fault.begin_s <= self.now_s < fault.end_s
            for fault in self.faults
        )

    def is_away(self) -> bool:
        """Return whether the store is away."""
        return any(
            outage.begin_s <= self.now_s < outage.end_s
            for outage in self.outages
        )

    def due_s(self, topic: Topic, key: str) -> float:
        """Return when a lost record will be written again."""
        times_s = [at_s for at_s, *lost in self._due if lost == [topic, key]]
        return min(times_s, default=float('inf'))

    def is_live(self, known: Backend) -> bool:
        """Return whether a server runs, accepts calls and has not restarted."""
        server = self.intended.get((Topic.SERVERS, known.backend_id))
        return (
            isinstance(server, Backend)
            and not server.is_draining
            and server.started_ms == known.started_ms
        )

    def _has_ended(self) -> bool:
        return self._undisturbed_s() > HOLD_ENDED_S

    def _is_quiet(self) -> bool:
        return self._undisturbed_s() > COARSE_AFTER_S

    def _undisturbed_s(self) -> float:
        """Return for how long nothing has happened, 0 if something will."""
        last_s = max(
            (
                self.disturbed_s,
                *(outage.end_s for outage in self.outages),
                *(fault.end_s for fault in self.faults),
                *(at_s for at_s, _ in self.restarts),
            )
        )
        return 0 if self._due else max(self.now_s - last_s, 0)

    def _draw_outages(self) -> list[Outage]:
        outages: list[Outage] = []
        begin_s = FIRST_DRILL_S + self._random.uniform(0, 3)
        for _ in range(self._random.randint(1, 3)):
            end_s = begin_s + self._random.uniform(0.3, 3)
            is_drill = self.is_stated and self._happens(0.85)
            oldest_s = self._random.choice((0.8, 6))
            age_s = self._random.uniform(0.2, oldest_s) if is_drill else None
            outages.append(Outage(begin_s, end_s, age_s))
            begin_s = end_s + self._random.choice(
                (self._random.uniform(0.3, 4), self._random.uniform(5, 9))
            )
        return outages

    def _draw_faults(self) -> list[Fault]:
        faults = []
        for _ in range(self._random.randint(0, 5)):
            outage = self._random.choice(self.outages)
            begin_s = outage.begin_s + self._random.uniform(-3, 2)
            end_s = begin_s + self._random.uniform(0.3, 6)
            kind = self._random.choice(('frozen', 'away', 'cut'))
            vm = self._random.choice(list(self.vms))
            faults.append(Fault(kind, vm, begin_s, end_s))
        for outage in self.outages:
            if self._happens(0.4):
                faults.extend(self._draw_isolation(outage))
        return faults

    def _draw_isolation(self, outage: Outage) -> list[Fault]:
        """Cut a VM off before an outage; it reads the store before others."""
        vm = self._random.choice(list(self.vms))
        begin_s = outage.begin_s - self._random.uniform(0.5, 2)
        end_s = outage.end_s + self._random.uniform(0.3, 1.5)
        return [
            Fault('away', vm, begin_s, outage.end_s),
            Fault('cut', vm, begin_s, end_s),
        ]

    def _draw_restarts(self) -> list[tuple[float, str]]:
        return [
            (
                self._random.choice(self.outages).end_s
                + self._random.uniform(-3, 3),
                self._random.choice(list(self.vms)),
            )
            for _ in range(self._random.randint(0, 2))
        ]

    def _happens(self, probability: float) -> bool:
        return self._random.uniform(0, 1) < probability

    def _write_first(self) -> None:
        self._publish()
        for number in range(SERVERS - 2):
            self._start_server(number)

    def _write(self) -> None:
        """Write what is due, and at times something new."""
        if self.is_away():
            return
        due = [entry for entry in self._due if entry[0] <= self.now_s]
        self._due = [entry for entry in self._due if entry[0] > self.now_s]
        for _, topic, key in due:
            intended = self.intended.get((topic, key))
            if self.store.newest(topic).get(key) != intended:
                self._append(topic, key, intended)
        for at_s in self._late_versions_s:
            if self.now_s - STEP_S < at_s <= self.now_s:
                self._publish()
        if self.now_s < self._writes_end_s and self._happens(0.15):
            choices = (self._publish, self._evacuate, self._change_server)
            self._random.choices(choices, (2, 1, 4))[0]()

    def _append(self, topic: Topic, key: str, entry: object) -> None:
        self.intended[topic, key] = entry
        self.store.append(topic, key, entry, self.now_s)
        self.disturbed_s = self.now_s

    def _publish(self) -> None:
        newest = self.intended.get((Topic.OPERATOR, CONFIG_KEY))
        known = newest.version if isinstance(newest, OperatorConfig) else 0
        self._append(Topic.OPERATOR, CONFIG_KEY, self._next_config(known))

    def _next_config(self, known: int) -> OperatorConfig:
        version = known + self._random.randint(1, 9)
        shared = version % 4
        routes = (route('/a/'), route(f'/m{shared}/'), route(f'/{version}/'))
        return replace(config(version), routes=routes)

    def _evacuate(self) -> None:
        domain = self._random.choice(self.domains)
        is_evacuated = self.intended.get((Topic.OPERATOR, domain))
        self._append(Topic.OPERATOR, domain, None if is_evacuated else True)

    def _change_server(self) -> None:
        number = self._random.randrange(SERVERS)
        known = self.intended.get((Topic.SERVERS, f'b{number}'))
        if isinstance(known, Backend):
            changes = (self._restart, self._remove, self._lapse, self._drain)
            weights = (0, 1, 0, 0) if known.is_draining else (3, 2, 2, 3)
            self._random.choices(changes, weights)[0](known)
        else:
            self._start_server(number)

    def _restart(self, known: Backend) -> None:
        self._start_server(int(known.backend_id[1:]))

    def _remove(self, known: Backend) -> None:
        self._append(Topic.SERVERS, known.backend_id, None)

    def _drain(self, known: Backend) -> None:
        draining = replace(known, is_draining=True)
        self._append(Topic.SERVERS, known.backend_id, draining)

    def _start_server(self, number: int) -> None:
        server = backend(
            number,
            failure_domain=self._random.choice(self.domains),
            started_ms=1 + int(self.now_s * 1000),
        )
        self._append(Topic.SERVERS, server.backend_id, server)

    def _return(self, outage: Outage) -> None:
        """End an outage; some servers lapsed, and some records may be lost."""
        self.disturbed_s = self.now_s
        if outage.copy_age_s is not None:
            self.drill_ends_s.append(self.now_s)
            self.store.return_from_copy(outage.begin_s - outage.copy_age_s)
        for known in tuple(self.store.newest(Topic.SERVERS).values()):
            is_lapse = outage.end_s > outage.begin_s + LAPSE_S
            if isinstance(known, Backend) and is_lapse and self.is_live(known):
                if self._happens(0.3):
                    self._lapse(known)
        for topic, key in self.intended:
            is_lost = self.store.newest(topic).get(key) is None
            is_config = key == CONFIG_KEY
            if is_lost and not is_config and self._happens(0.25):
                self.intended[topic, key] = None
        if self._happens(0.3):
            newest = self.intended[Topic.OPERATOR, CONFIG_KEY]
            if isinstance(newest, OperatorConfig):
                newer = self._next_config(newest.version)
                self.intended[Topic.OPERATOR, CONFIG_KEY] = newer
        self._due.extend(
            (self.now_s + self._delay_s(topic, entry), topic, key)
            for (topic, key), entry in self.intended.items()
            if self.store.newest(topic).get(key) != entry
        )

    def _lapse(self, known: Backend) -> None:
        """Remove a server that runs; it registers again within two seconds."""
        self.store.append(Topic.SERVERS, known.backend_id, None, self.now_s)
        self.disturbed_s = self.now_s
        at_s = self.now_s + self._delay_s(Topic.SERVERS, known)
        self._due.append((at_s, Topic.SERVERS, known.backend_id))

    def _delay_s(self, topic: Topic, entry: object) -> float:
        """Return after which time a lost record is written again.

        Servers that run register again within two seconds; those that left are
        removed again after missed check-ins.
        """
        longest_s = 10.0
        if topic is Topic.SERVERS:
            longest_s = 1.9 if entry else 12.0
        return self._random.uniform(0, longest_s)

    def _step_vms(self, step: int) -> None:
        for at_s, restarted in self.restarts:
            if self.now_s - STEP_S < at_s <= self.now_s:
                domain = self.vms[restarted].failure_domain
                self.vms[restarted] = EraVm(restarted, domain)
                self.checks.forget(restarted)
                self.disturbed_s = self.now_s
        running = [
            vm
            for vm in self.vms.values()
            if not self.has_fault('frozen', vm.name)
        ]
        for vm in running:
            self._read(vm)
            vm.state.withhold(self.now_s)
            self.checks.observe(vm)
        if self._is_quiet() or step % HEARTBEAT_STEPS == 0:
            self._exchange(running)

    def _exchange(self, running: Iterable[EraVm]) -> None:
        """Let VMs that reach each other state their versions and fetch."""
        near = [vm for vm in running if not self.has_fault('cut', vm.name)]
        pairs = list(permutations(near, 2))
        self._random.shuffle(pairs)
        for receiver, sender in pairs:
            receiver.hear(sender, self.now_s)
            self.checks.observe(receiver)

    def _read(self, vm: EraVm) -> None:
        """Deliver answers that have arrived, and send reads that are due."""
        for topic in Topic:
            answer, arrives_s = vm.reads.get(topic, (None, 0))
            if answer is not None and arrives_s <= self.now_s:
                vm.reads.pop(topic)
                vm.read_answered(answer, self.now_s)
                self.checks.observe(vm)
            is_due = vm.next_read_s.get(topic, 0) <= self.now_s
            if topic not in vm.reads and is_due and vm.is_reader(self.now_s):
                self._begin_read(vm, topic)

    def _begin_read(self, vm: EraVm, topic: Topic) -> None:
        if self.is_away() or self.has_fault('away', vm.name):
            vm.read_failed(topic, self.now_s)
            return
        answer = self.store.read(topic, vm.read_begin(topic), self.now_s)
        latency_s = self._random.choice((0, 0, 0.1, 0.1, 0.2))
        if self.now_s < WRITES_END_S and self._happens(0.03):
            latency_s = self._random.uniform(0.5, 4)
            self.disturbed_s = max(self.disturbed_s, self.now_s + latency_s)
        vm.reads[topic] = (answer, self.now_s + latency_s)


def main() -> None:
    """Play histories: ``python -m`` with the first seed and their number."""
    first, number = map(int, sys.argv[1:])
    kept: Counter[str] = Counter()
    dropped: Counter[str] = Counter()
    drills = 0
    for seed in range(first, first + number):
        history = StoreEraHistory(seed).run()
        drills += len(history.drill_ends_s)
        kept.update(history.checks.kept)
        dropped.update(history.checks.dropped)
        for check, found in history.checks.found.items():
            first_found = found[0][:LINE]
            sys.stdout.write(f'{seed} {check} {len(found)} {first_found}\n')
    sys.stdout.write(f'{number} histories, {drills} drills\n')
    sys.stdout.write(f'lost servers that VMs knew, by source: {kept}\n')
    sys.stdout.write(f'not kept for the grace time: {dropped}\n')


if __name__ == '__main__':
    main()
