"""Checks of histories in which the store returns from a copy."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.fleet.era_store import Topic
from tests.fleet.era_vm import CONFIG_KEY, EraVm
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.fleet.changes import directory_digest
from turmericpost_core.fleet.operator_config import OperatorConfig

if TYPE_CHECKING:
    from tests.fleet.store_era_history import StoreEraHistory

CATCH_UP_S = 4.0
HOLD_S = 15.0
GRACE_S = 2.5
REREGISTRATION_S = 2.0
NEVER_S = float('-inf')


@dataclass(frozen=True)
class Left:
    """Start of a server that a VM saw leave, when, and until when it counts."""

    started_ms: int
    seen_s: float
    until_s: float = float('inf')


@dataclass
class Memory:
    """What a VM has known in its life.

    Times of ``evacuated`` and ``kept`` are ends of periods: of the hold of an
    evacuation, and of the grace of a server that the copy lacks.
    """

    config: int = 0
    era: int | None = None
    operator_era: int | None = None
    backends: dict[str, Backend] = field(default_factory=dict)
    usable: dict[str, Backend] = field(default_factory=dict)
    draining: dict[str, int] = field(default_factory=dict)
    removed: dict[str, Left] = field(default_factory=dict)
    held_removed: dict[str, Left] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    held_domains: dict[str, float] = field(default_factory=dict)
    kept: dict[str, tuple[int, float]] = field(default_factory=dict)


class EraChecks:
    """Checks of one history.

    ``found`` are violations by check. ``kept`` counts by the source of a VM's
    state the servers that the copy lacked and the VM knew, ``dropped`` those of
    them that it did not keep for the grace time.
    """

    def __init__(self, history: StoreEraHistory) -> None:
        self.found: defaultdict[str, list[str]] = defaultdict(list)
        self.kept: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        self._history = history
        self._digests: dict[str, tuple[object, int]] = {}
        self._memories: defaultdict[str, Memory] = defaultdict(Memory)

    def forget(self, vm_name: str) -> None:
        """Forget what a VM knew before it restarted."""
        self._memories.pop(vm_name, None)

    def observe(self, vm: EraVm) -> None:
        """Check a VM after each change, and remember what it knows."""
        memory = self._memories[vm.name]
        now_s = self._history.now_s
        version = vm.state.versions.config or 0
        if version < memory.config:
            self._report('config-back', vm, memory.config, version)
        memory.config = max(memory.config, version)
        self._observe_evacuations(vm, memory, now_s)
        self._observe_servers(vm, memory, now_s)

    def check_step(self) -> None:
        """Check all VMs after a step."""
        self._check_equal_versions()
        history = self._history
        ends_s = [fault.end_s for fault in history.faults]
        ends_s.extend(outage.end_s for outage in history.outages)
        passed_s = [end_s for end_s in ends_s if end_s <= history.now_s]
        begins_s = [fault.begin_s for fault in history.faults]
        begins_s.extend(outage.begin_s for outage in history.outages)
        is_faulty = len(passed_s) < len(
            [begin_s for begin_s in begins_s if begin_s <= history.now_s]
        )
        quiet_from_s = max((history.disturbed_s, *passed_s)) + CATCH_UP_S
        if not is_faulty and history.now_s > quiet_from_s:
            self._check_caught_up()

    def check_end(self) -> None:
        """Check that all VMs use what the operator and servers want."""
        history = self._history
        live = {
            server.backend_id
            for (topic, _), server in history.intended.items()
            if topic is Topic.SERVERS
            and isinstance(server, Backend)
            and history.is_live(server)
        }
        evacuated = set(history.store.newest(Topic.OPERATOR)) - {CONFIG_KEY}
        newest = history.intended[Topic.OPERATOR, CONFIG_KEY]
        for vm in history.vms.values():
            if set(vm.usable()) != live:
                self._report('end-servers', vm, live, set(vm.usable()))
            if vm.state.out_of_service != evacuated:
                domains = vm.state.out_of_service
                self._report('end-evacuated', vm, evacuated, domains)
            if vm.state.config != newest:
                self._report('end-config', vm, newest, vm.state.config)

    def _report(self, check: str, vm: EraVm, *details: object) -> None:
        now_s = round(self._history.now_s, 1)
        self.found[check].append(f'{now_s} {vm.name} {vm.source} {details}')

    def _observe_evacuations(
        self, vm: EraVm, memory: Memory, now_s: float
    ) -> None:
        operator_era = vm.state.operator_offset.era
        if operator_era != memory.operator_era:
            memory.held_domains.update(
                (domain, now_s + HOLD_S) for domain in memory.evacuated
            )
        memory.operator_era = operator_era
        intended = self._history.intended
        memory.held_domains = {
            domain: until_s
            for domain, until_s in memory.held_domains.items()
            if now_s < until_s and intended.get((Topic.OPERATOR, domain))
        }
        for domain in memory.held_domains.keys() - vm.state.out_of_service:
            self._report('evacuation-lost', vm, domain)
        memory.evacuated = vm.state.evacuated

    def _observe_servers(self, vm: EraVm, memory: Memory, now_s: float) -> None:
        directory = vm.state.directory
        backends = dict(directory.backends)
        usable = vm.usable()
        is_new_era = directory.era != memory.era
        if is_new_era and memory.backends:
            memory.held_removed.update(
                (name, Left(left.started_ms, left.seen_s, now_s + HOLD_S))
                for name, left in memory.removed.items()
            )
            memory.removed.clear()
            self._begin_grace(vm, memory, now_s)
        memory.era = directory.era
        for name, known in memory.backends.items():
            if name not in backends and not is_new_era:
                memory.draining.pop(name, None)
                memory.removed[name] = Left(known.started_ms, now_s)
        for name, known in backends.items():
            memory.removed.pop(name, None)
            if known.is_draining:
                memory.draining[name] = known.started_ms
        memory.backends = backends
        memory.usable = usable
        self._check_left(vm, memory, now_s)
        self._check_kept(vm, memory, now_s)

    def _begin_grace(self, vm: EraVm, memory: Memory, now_s: float) -> None:
        """Remember servers that the copy lacks and that register in time."""
        history = self._history
        stored = history.store.newest(Topic.SERVERS)
        for name, known in memory.usable.items():
            due_s = history.due_s(Topic.SERVERS, name)
            in_time_s = history.drill_ends_s[-1] + REREGISTRATION_S
            is_lost = name not in stored and due_s <= in_time_s
            if is_lost and history.is_live(known):
                memory.kept[name] = (known.started_ms, now_s + GRACE_S)
                self.kept[vm.source] += 1

    def _check_left(self, vm: EraVm, memory: Memory, now_s: float) -> None:
        store = self._history.store
        for name, used in memory.usable.items():
            started_ms = used.started_ms
            if started_ms <= memory.draining.get(name, NEVER_S):
                self._report('draining-used', vm, name)
            left = memory.held_removed.get(name)
            if left is None or started_ms > left.started_ms:
                continue
            registered_s = store.written_s(Topic.SERVERS, name)
            if now_s < left.until_s and registered_s < left.seen_s:
                self._report('removed-used', vm, name)

    def _check_kept(self, vm: EraVm, memory: Memory, now_s: float) -> None:
        for name, (started_ms, until_s) in tuple(memory.kept.items()):
            known = memory.usable.get(name)
            server = self._history.intended.get((Topic.SERVERS, name))
            is_same = (
                isinstance(server, Backend)
                and server.started_ms == started_ms
                and not server.is_draining
            )
            if now_s >= until_s or not is_same:
                memory.kept.pop(name)
            elif known is None or known.started_ms < started_ms:
                memory.kept.pop(name)
                self.dropped[vm.source] += 1
                self._report('live-dropped', vm, name)

    def _digest(self, vm: EraVm) -> int:
        """Return the digest of a VM's registry, computed after a change."""
        backends = vm.state.directory.backends
        known, digest = self._digests.get(vm.name, (None, 0))
        if known is not backends:
            digest = directory_digest(backends.values())
            self._digests[vm.name] = (backends, digest)
        return digest

    def _check_equal_versions(self) -> None:
        """Check that settled VMs of equal versions have equal entry."""
        servers: dict[object, int] = {}
        evacuations: dict[object, frozenset[str]] = {}
        configs: dict[object, object] = {}
        for vm in self._history.vms.values():
            state, directory = vm.state, vm.state.directory
            digest = self._digest(vm)
            if directory.is_settled:
                known = servers.setdefault(directory.version, digest)
                if known != digest:
                    self._report('equal-servers', vm, directory.version)
            offset = state.operator_offset
            domains = evacuations.setdefault(offset, state.evacuated)
            if domains != state.evacuated:
                self._report('equal-evacuated', vm, domains, state.evacuated)
            if state.config is not None:
                routes = frozenset(state.config.routes)
                if configs.setdefault(state.config.version, routes) != routes:
                    self._report('equal-config', vm, state.config.version)

    def _check_caught_up(self) -> None:
        """Check that all VMs have what any VM or the store has."""
        history = self._history
        stored = history.store.newest(Topic.SERVERS)
        stored_digest = directory_digest(
            server for server in stored.values() if isinstance(server, Backend)
        )
        stored_operator = history.store.newest(Topic.OPERATOR)
        versions = [
            stored_config.version
            for stored_config in stored_operator.values()
            if isinstance(stored_config, OperatorConfig)
        ]
        vms = history.vms.values()
        versions.extend(vm.state.versions.config or 0 for vm in vms)
        for vm in vms:
            directory = vm.state.directory
            if (vm.state.versions.config or 0) != max(versions):
                self._report('late-config', vm, vm.state.versions, versions)
            if self._digest(vm) != stored_digest:
                self._report('late-servers', vm, set(directory.backends))
            if not directory.is_settled:
                self._report('late-settled', vm, directory.version)
            domains = set(stored_operator) - {CONFIG_KEY}
            if vm.state.evacuated != domains:
                self._report('late-evacuated', vm, domains, vm.state.evacuated)
