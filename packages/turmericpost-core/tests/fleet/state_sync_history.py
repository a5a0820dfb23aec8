"""Seeded simulations of VMs that get their state from the store and peers.

Five VMs of a failure domain share the reading of the store. Faults are an
outage of the store, a VM that cannot reach the store, a frozen VM and a VM
that exchanges no heartbeats. Meanwhile the operator publishes versions and
servers begin to drain.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from tests.fleet.test_state import config
from tests.grants.samples import backend
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.directory import UpdateOutcome
from turmericpost_core.fleet.state import (
    FleetState,
    KnownVersions,
    OperatorChange,
)
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.membership.store_read_schedule import (
    is_reader,
    new_read_schedule,
    retry_pause_s,
)

VMS = 5
SERVERS = 12
STEP_S = 0.05
DURATION_S = 14
HEARTBEAT_STEPS = 5
READ_DURATION_S = 0.05
DRAIN_BOUND_S = 2.0
CONFIG_BOUND_S = 2.0
FAULT_FREE_S = 3.0
LOST_AFTER_S = 1.1
PUBLISH_PROBABILITY = 0.03
DRAIN_PROBABILITY = 0.03
NEVER_S = float('-inf')


@dataclass(frozen=True)
class Fault:
    """A fault of one VM or of the store, and when it begins and ends.

    By ``kind``, the VM is ``frozen``, cannot reach the store (``away``) or
    exchanges no heartbeats (``cut``), or the store is ``down``.
    """

    kind: str
    vm: int
    begin_s: float
    end_s: float

    def overlaps(self, begin_s: float, end_s: float) -> bool:
        return self.begin_s < end_s and self.end_s > begin_s


@dataclass
class SimulatedVm:
    """A simulated VM: its state and the heartbeats it received.

    ``heartbeats`` maps other VMs to their read age and the arrival time.
    """

    state: FleetState = field(default_factory=FleetState)
    last_read_s: float = NEVER_S
    next_read_s: float = 0
    failures: int = 0
    heartbeats: dict[int, tuple[float, float]] = field(default_factory=dict)
    versions: list[int] = field(default_factory=list)
    drain_seen_s: dict[str, float] = field(default_factory=dict)


class StateSyncSimulation:
    """One simulation run, determined by its seed."""

    def __init__(self, seed: int) -> None:
        self.vms = [SimulatedVm() for _ in range(VMS)]
        self.drain_started_s: dict[str, float] = {}
        self._random = Random(seed)
        self.reads = 0
        self.updates = 0
        self.mismatches = 0
        self._now_s = float(0)
        self._schedule = new_read_schedule(DRAIN_BOUND_S, CONFIG_BOUND_S)
        self._servers: list[Registration] = [
            Registration(number, f'b{number}', backend(number))
            for number in range(SERVERS)
        ]
        self._operator = [OperatorChange(0, config(1))]
        self.faults = [self._random_fault() for _ in range(5)]

    def run(self) -> StateSyncSimulation:
        for step in range(int(DURATION_S / STEP_S)):
            self._now_s = step * STEP_S
            self._write_store()
            for vm in range(VMS):
                if not self._has_fault('frozen', vm):
                    self._step(
                        vm, is_heartbeat_due=step % HEARTBEAT_STEPS == vm
                    )
        return self

    def late_drains(self) -> list[tuple[int, str]]:
        """Return the drains that an unaffected VM learned of too late."""
        return [
            (vm, name)
            for name, at_s in self.drain_started_s.items()
            for vm in range(VMS)
            if self._is_unaffected(vm, at_s)
            and self.vms[vm].drain_seen_s.get(name, DURATION_S)
            > at_s + DRAIN_BOUND_S
        ]

    def has_reverted(self) -> bool:
        """Return whether any VM went back to an older version."""
        return any(
            simulated_vm.versions != sorted(simulated_vm.versions)
            for simulated_vm in self.vms
        )

    def _random_fault(self) -> Fault:
        kind = self._random.choice(('frozen', 'away', 'away', 'cut', 'down'))
        begin_s = self._random.uniform(0, DURATION_S)
        duration_s = self._random.uniform(0.5, 4)
        vm = self._random.randrange(VMS)
        return Fault(kind, vm, begin_s, begin_s + duration_s)

    def _has_fault(self, kind: str, vm: int | None = None) -> bool:
        return any(
            fault.kind == kind
            and vm in {None, fault.vm}
            and fault.begin_s <= self._now_s < fault.end_s
            for fault in self.faults
        )

    def _is_unaffected(self, vm: int, at_s: float) -> bool:
        """Return whether a VM must learn in time of a drain at ``at_s``.

        It need not if the VM or the store had a fault from ``FAULT_FREE_S``
        before that time until ``DRAIN_BOUND_S`` after it, or if this period
        is not entirely within the run.
        """
        if not FAULT_FREE_S < at_s < DURATION_S - DRAIN_BOUND_S:
            return False
        window = (at_s - FAULT_FREE_S, at_s + DRAIN_BOUND_S)
        return not any(
            fault.overlaps(*window)
            for fault in self.faults
            if fault.kind == 'down' or fault.vm == vm
        )

    def _write_store(self) -> None:
        if self._random.uniform(0, 1) < PUBLISH_PROBABILITY:
            offset = len(self._operator)
            change = OperatorChange(offset, config(offset + 1))
            self._operator.append(change)
        number = len(self.drain_started_s)
        if number < SERVERS and self._random.uniform(0, 1) < DRAIN_PROBABILITY:
            name = f'b{number}'
            self.drain_started_s[name] = self._now_s
            draining_server = backend(number, is_draining=True)
            offset = len(self._servers)
            self._servers.append(Registration(offset, name, draining_server))

    def _step(self, vm: int, *, is_heartbeat_due: bool) -> None:
        simulated_vm = self.vms[vm]
        if simulated_vm.next_read_s <= self._now_s and self._is_reader(vm):
            self._read(vm, simulated_vm)
        if is_heartbeat_due:
            self._send_heartbeat(vm)
        self._record_progress(simulated_vm)

    def _is_reader(self, vm: int) -> bool:
        heartbeats = self.vms[vm].heartbeats
        ages_s = {
            str(other): age_s + self._now_s - at_s
            for other, (age_s, at_s) in heartbeats.items()
        }
        live = [
            str(other)
            for other in range(VMS)
            if other == vm
            or self._now_s - heartbeats.get(other, (0, NEVER_S))[1]
            < LOST_AFTER_S
        ]
        return is_reader(tuple(live), str(vm), ages_s, self._schedule)

    def _read(self, vm: int, simulated_vm: SimulatedVm) -> None:
        if self._has_fault('down') or self._has_fault('away', vm):
            simulated_vm.failures += 1
            pause_s = retry_pause_s(simulated_vm.failures, self._schedule)
            simulated_vm.next_read_s = self._now_s + pause_s
            return
        self.reads += 1
        simulated_vm.failures = 0
        simulated_vm.last_read_s = self._now_s
        simulated_vm.next_read_s = (
            self._now_s + self._schedule.period_s + READ_DURATION_S
        )
        directory = simulated_vm.state.directory
        new_records = self._servers[directory.next_offset :]
        directory.apply_records(new_records, self._now_s)
        offset = simulated_vm.state.operator_offset
        simulated_vm.state.apply_operator_records(
            self._operator[offset:],
            StorePosition(len(self._operator)),
        )

    def _send_heartbeat(self, vm: int) -> None:
        """Send a heartbeat; receivers with older state fetch an update."""
        if self._has_fault('cut', vm):
            return
        simulated_vm = self.vms[vm]
        age_s = self._now_s - simulated_vm.last_read_s
        for other in range(VMS):
            is_unreachable = self._has_fault('cut', other) or self._has_fault(
                'frozen', other
            )
            if other != vm and not is_unreachable:
                self.vms[other].heartbeats[vm] = (
                    age_s,
                    self._now_s,
                )
                self._sync_state(self.vms[other].state, simulated_vm.state)

    def _sync_state(self, receiver: FleetState, sender: FleetState) -> None:
        update = sender.update_since(receiver.versions)
        self.updates += 1
        if receiver.apply_update(update) is UpdateOutcome.MISMATCH:
            self.mismatches += 1
            receiver.apply_update(sender.update_since(KnownVersions()))

    def _record_progress(self, simulated_vm: SimulatedVm) -> None:
        if simulated_vm.state.config is not None:
            simulated_vm.versions.append(simulated_vm.state.config.version)
        for name, known in simulated_vm.state.directory.backends.items():
            if known.is_draining:
                simulated_vm.drain_seen_s.setdefault(name, self._now_s)
