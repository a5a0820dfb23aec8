"""Seeded simulations in which one way to newer state is broken for good.

Six VMs in two failure domains get their state by pushes, by fetches inside the
domain and from the other one, and by reads of the store. One of these ways is
broken at one VM, at the VMs that read the store, or at all. Beside it, VMs are
restarted, paused, or exchange nothing with others for a while.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from tests.fleet.test_state import config
from turmericpost_core.fleet.state import (
    FleetState,
    KnownVersions,
    OperatorChange,
)
from turmericpost_core.fleet.state_lag import PartLag, StatedVersion
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.membership.catch_up import CatchUp
from turmericpost_core.membership.store_read_schedule import (
    is_reader,
    new_read_schedule,
)

VMS = 6
DOMAINS = 2
STEP_S = 0.05
DURATION_S = 16.0
CONFIG_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
HEARTBEAT_S = 0.25
DIGEST_S = 1.0
FAR_DELAY_S = 0.3
LOST_AFTER_S = 1.1
SETTLED_S = 3.0
PUBLISH_PROBABILITY = 0.04
NEVER_S = float('-inf')


class Way(Enum):
    """Ways to newer state; an encoder breaks all but the reads at once."""

    PUSH = 'push'
    FETCH = 'fetch'
    FAR_FETCH = 'far-fetch'
    READ = 'read'
    HAND_ON = 'hand-on'


class Scope(Enum):
    """VMs at which a way is broken."""

    ONE = 'one'
    READERS = 'readers'
    ALL = 'all'


@dataclass(frozen=True)
class Disturbance:
    """A time in which a VM is off: restarted, paused or cut off."""

    vm: int
    begin_s: float
    end_s: float
    is_restart: bool


@dataclass
class SimulatedVm:
    """A VM; ``heard`` maps others to their read age and when it was stated."""

    name: str
    catch_up: CatchUp
    state: FleetState = field(default_factory=FleetState)
    lag: PartLag = field(default_factory=PartLag)
    last_read_s: float = NEVER_S
    next_read_s: float = 0
    heartbeat_s: float = NEVER_S
    digest_s: float = NEVER_S
    heard: dict[int, tuple[float, float]] = field(default_factory=dict)
    far_fetches: list[tuple[float, int]] = field(default_factory=list)


class BrokenWaySimulation:
    """One run; ``late`` lists versions not in force in time, and where."""

    def __init__(self, seed: int, way: Way, scope: Scope) -> None:
        self.late: list[tuple[int, int]] = []
        self.checked = 0
        self._random = Random(f'{seed} {way} {scope}')
        self._way = way
        self._scope = scope
        self._broken_vm = self._random.randrange(VMS)
        self._now_s = float(0)
        self._schedule = new_read_schedule(DRAIN_BOUND_S, CONFIG_BOUND_S)
        self._vms = [self._new_vm(vm) for vm in range(VMS)]
        self._published_s = [float(0)]
        self._records = [OperatorChange(0, config(1))]
        self._disturbances = [self._disturb() for _ in range(3)]

    def run(self) -> BrokenWaySimulation:
        """Play the whole run."""
        for step in range(int(DURATION_S / STEP_S)):
            self._now_s = step * STEP_S
            if self._random.random() < PUBLISH_PROBABILITY:
                self._publish()
            for vm in range(VMS):
                self._step(vm)
            self._check()
        return self

    def _new_vm(self, vm: int) -> SimulatedVm:
        name = f'vm{vm}'
        return SimulatedVm(name, CatchUp(name, self._schedule))

    def _disturb(self) -> Disturbance:
        begin_s = self._random.uniform(0, DURATION_S)
        return Disturbance(
            self._random.randrange(VMS),
            begin_s,
            begin_s + self._random.uniform(0.3, 3),
            self._random.choice((True, False)),
        )

    def _publish(self) -> None:
        offset = len(self._records)
        self._records.append(OperatorChange(offset, config(offset + 1)))
        self._published_s.append(self._now_s)

    def _is_off(self, vm: int) -> bool:
        return any(
            one.vm == vm and one.begin_s <= self._now_s < one.end_s
            for one in self._disturbances
        )

    def _is_broken(self, way: Way, vm: int) -> bool:
        """Return whether a way is broken at the VM that offers or uses it."""
        is_hand_on = self._way is Way.HAND_ON and way is not Way.READ
        if way is not self._way and not is_hand_on:
            return False
        if self._scope is Scope.ONE:
            return vm == self._broken_vm
        return self._scope is Scope.ALL or self._is_reader(vm)

    def _is_reader(self, vm: int) -> bool:
        one = self._vms[vm]
        if one.catch_up.reads_on(self._now_s):
            return True
        near = [
            other
            for other in range(VMS)
            if other == vm or self._hears(vm, other)
        ]
        ages_s = {
            str(other): age_s + self._now_s - at_s
            for other, (age_s, at_s) in one.heard.items()
        }
        ranked = tuple(str(other) for other in near if _is_near(vm, other))
        return is_reader(ranked, str(vm), ages_s, self._schedule)

    def _hears(self, vm: int, other: int) -> bool:
        _, at_s = self._vms[vm].heard.get(other, (0, NEVER_S))
        return self._now_s - at_s < LOST_AFTER_S

    def _step(self, vm: int) -> None:
        one = self._vms[vm]
        if self._is_off(vm):
            if any(
                off.is_restart and off.vm == vm for off in self._disturbances
            ):
                self._vms[vm] = self._new_vm(vm)
            return
        must_read = one.catch_up.must_read(one.lag.since_s, self._now_s)
        if self._now_s >= one.next_read_s:
            if must_read or self._is_reader(vm):
                self._read(vm, one)
        for fetch_s, other in tuple(one.far_fetches):
            if self._now_s >= fetch_s:
                one.far_fetches.remove((fetch_s, other))
                self._fetch(vm, other, Way.FAR_FETCH)
        self._send(vm, one)

    def _read(self, vm: int, one: SimulatedVm) -> None:
        """Read the store, whose operator records come without a pause."""
        if self._is_broken(Way.READ, vm):
            one.next_read_s = self._now_s + self._schedule.period_s
            return
        one.last_read_s = self._now_s
        one.lag.record_read(self._now_s)
        before = one.state.operator_offset
        one.state.apply_operator_records(
            self._records[before:], StorePosition(len(self._records))
        )
        if one.state.operator_offset > before:
            self._push(vm)

    def _push(self, vm: int) -> None:
        """Push to the domain, and send heartbeats at once."""
        if self._is_broken(Way.PUSH, vm) and self._way is Way.HAND_ON:
            self._vms[vm].catch_up.hand_on_failed(self._now_s)
        update = self._vms[vm].state.update_since(KnownVersions())
        for other in range(VMS):
            if other == vm or not _is_near(vm, other) or self._is_off(other):
                continue
            if not self._is_broken(Way.PUSH, vm):
                self._vms[other].state.apply_update(update)
        self._vms[vm].heartbeat_s = NEVER_S

    def _send(self, vm: int, one: SimulatedVm) -> None:
        if self._now_s - one.heartbeat_s >= HEARTBEAT_S:
            one.heartbeat_s = self._now_s
            self._state_version(vm, is_near=True)
        is_first = not any(
            other < vm and _is_near(vm, other) and self._hears(vm, other)
            for other in range(VMS)
        )
        if is_first and self._now_s - one.digest_s >= DIGEST_S:
            one.digest_s = self._now_s
            self._state_version(vm, is_near=False)

    def _state_version(self, vm: int, *, is_near: bool) -> None:
        age_s = self._now_s - self._vms[vm].last_read_s
        for other in range(VMS):
            if other == vm or self._is_off(other):
                continue
            if _is_near(vm, other) == is_near:
                if is_near:
                    self._vms[other].heard[vm] = (age_s, self._now_s)
                self._hear(other, vm)

    def _hear(self, vm: int, sender: int) -> None:
        one = self._vms[vm]
        version = self._vms[sender].state.operator_offset
        one.lag.record_own(one.state.operator_offset)
        if version <= one.state.operator_offset:
            return
        one.lag.record_statement(
            StatedVersion(version, f'vm{sender}', self._now_s)
        )
        if _is_near(vm, sender):
            self._fetch(vm, sender, Way.FETCH)
        elif not one.far_fetches:
            one.far_fetches.append((self._now_s + FAR_DELAY_S, sender))

    def _fetch(self, vm: int, sender: int, way: Way) -> None:
        one = self._vms[vm]
        is_failing = self._is_broken(way, sender) or self._is_off(sender)
        if not is_failing:
            update = self._vms[sender].state.update_since(one.state.versions)
            one.state.apply_update(update)
            one.lag.record_own(one.state.operator_offset)

    def _check(self) -> None:
        """Check the newest version that must be in force now."""
        due = [
            version
            for version, at_s in enumerate(self._published_s, 1)
            if at_s <= self._now_s - CONFIG_BOUND_S
        ]
        for vm in range(VMS):
            if not due or not self._is_calm(vm):
                continue
            self.checked += 1
            known = self._vms[vm].state.config
            if known is None or known.version < due[-1]:
                self.late.append((vm, due[-1]))

    def _is_calm(self, vm: int) -> bool:
        """Return whether no VM was off lately; it may have been the reader."""
        return self._now_s > SETTLED_S and not any(
            off.begin_s < self._now_s < off.end_s + SETTLED_S
            for off in self._disturbances
            if off.vm == vm or _is_near(off.vm, vm)
        )


def _is_near(vm: int, other: int) -> bool:
    return vm % DOMAINS == other % DOMAINS
