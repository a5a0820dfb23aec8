"""Seeded histories of VMs that learn from a store and from each other.

Five VMs of a failure domain read the store in turn. At times the store is
down, turns some VMs away, or VMs stand still or do not hear each other. The
operator publishes versions and servers begin to drain all the while.
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
from turmericpost_core.membership.store_read_schedule import (
    is_reader,
    new_read_schedule,
    retry_pause_s,
)

VMS = 5
SERVERS = 12
STEP_S = 0.05
LENGTH_S = 14
BEAT_STEPS = 5
READ_S = 0.05
DRAIN_S = 2.0
STABLE_S = 3.0
LOST_AFTER_S = 1.1
PUBLISH = 0.03
DRAIN = 0.03
NEVER_S = float('-inf')


@dataclass(frozen=True)
class Span:
    """A fault of one VM, or of the store."""

    kind: str
    vm: int
    begin_s: float
    end_s: float

    def touches(self, begin_s: float, end_s: float) -> bool:
        return self.begin_s < end_s and self.end_s > begin_s


@dataclass
class Member:
    """A VM: its state, and what it heard of the others."""

    state: FleetState = field(default_factory=FleetState)
    last_read_s: float = NEVER_S
    next_read_s: float = 0
    failures: int = 0
    record_heartbeat: dict[int, tuple[float, float]] = field(
        default_factory=dict
    )
    versions: list[int] = field(default_factory=list)
    drained_s: dict[str, float] = field(default_factory=dict)


class LearningHistory:
    """One history from one seed."""

    def __init__(self, seed: int) -> None:
        self.live_members = [Member() for _ in range(VMS)]
        self.drains_s: dict[str, float] = {}
        self._random = Random(seed)
        self.reads = 0
        self.updates = 0
        self.differing = 0
        self._now_s = float(0)
        self._schedule = new_read_schedule(DRAIN_S)
        self._servers: list[Registration] = [
            Registration(number, f'b{number}', backend(number))
            for number in range(SERVERS)
        ]
        self._operator = [OperatorChange(0, config(1))]
        self.spans = [self._span() for _ in range(5)]

    def play(self) -> LearningHistory:
        for step in range(int(LENGTH_S / STEP_S)):
            self._now_s = step * STEP_S
            self._publish()
            for vm in range(VMS):
                if not self._is('frozen', vm):
                    self._step(vm, is_beat=step % BEAT_STEPS == vm)
        return self

    def late_drains(self) -> list[tuple[int, str]]:
        """Return drains that a VM in touch learned of too late."""
        return [
            (vm, name)
            for name, at_s in self.drains_s.items()
            for vm in range(VMS)
            if self._in_touch(vm, at_s)
            and self.live_members[vm].drained_s.get(name, LENGTH_S)
            > at_s + DRAIN_S
        ]

    def reverted(self) -> bool:
        """Return whether any VM went back to an older version."""
        return any(
            member.versions != sorted(member.versions)
            for member in self.live_members
        )

    def _span(self) -> Span:
        kind = self._random.choice(('frozen', 'away', 'away', 'cut', 'down'))
        begin_s = self._random.uniform(0, LENGTH_S)
        length_s = self._random.uniform(0.5, 4)
        vm = self._random.randrange(VMS)
        return Span(kind, vm, begin_s, begin_s + length_s)

    def _is(self, kind: str, vm: int | None = None) -> bool:
        return any(
            span.kind == kind
            and vm in {None, span.vm}
            and span.begin_s <= self._now_s < span.end_s
            for span in self.spans
        )

    def _in_touch(self, vm: int, at_s: float) -> bool:
        """Return whether VM and store were sound around a moment."""
        if not STABLE_S < at_s < LENGTH_S - DRAIN_S:
            return False
        window = (at_s - STABLE_S, at_s + DRAIN_S)
        return not any(
            span.touches(*window)
            for span in self.spans
            if span.kind == 'down' or span.vm == vm
        )

    def _publish(self) -> None:
        if self._random.uniform(0, 1) < PUBLISH:
            offset = len(self._operator)
            change = OperatorChange(offset, config(offset + 1))
            self._operator.append(change)
        number = len(self.drains_s)
        if number < SERVERS and self._random.uniform(0, 1) < DRAIN:
            name = f'b{number}'
            self.drains_s[name] = self._now_s
            drained = backend(number, is_draining=True)
            offset = len(self._servers)
            self._servers.append(Registration(offset, name, drained))

    def _step(self, vm: int, *, is_beat: bool) -> None:
        member = self.live_members[vm]
        if member.next_read_s <= self._now_s and self._is_reader(vm):
            self._read(vm, member)
        if is_beat:
            self._tell(vm)
        self._note(member)

    def _is_reader(self, vm: int) -> bool:
        record_heartbeat = self.live_members[vm].record_heartbeat
        ages_s = {
            str(other): age_s + self._now_s - at_s
            for other, (age_s, at_s) in record_heartbeat.items()
        }
        live = [
            str(other)
            for other in range(VMS)
            if other == vm
            or self._now_s - record_heartbeat.get(other, (0, NEVER_S))[1]
            < LOST_AFTER_S
        ]
        return is_reader(tuple(live), str(vm), ages_s, self._schedule)

    def _read(self, vm: int, member: Member) -> None:
        if self._is('down') or self._is('away', vm):
            member.failures += 1
            pause_s = retry_pause_s(member.failures, self._schedule)
            member.next_read_s = self._now_s + pause_s
            return
        self.reads += 1
        member.failures = 0
        member.last_read_s = self._now_s
        member.next_read_s = self._now_s + self._schedule.period_s + READ_S
        directory = member.state.directory
        news = self._servers[directory.next_offset :]
        directory.fold(news, self._now_s)
        offset = member.state.operator_offset
        member.state.fold_operator(
            self._operator[offset:],
            len(self._operator),
        )

    def _tell(self, vm: int) -> None:
        """Send a heartbeat; who knows less takes what it lacks."""
        if self._is('cut', vm):
            return
        member = self.live_members[vm]
        age_s = self._now_s - member.last_read_s
        for other in range(VMS):
            deaf = self._is('cut', other) or self._is('frozen', other)
            if other != vm and not deaf:
                self.live_members[other].record_heartbeat[vm] = (
                    age_s,
                    self._now_s,
                )
                self._learn(self.live_members[other].state, member.state)

    def _learn(self, receiver: FleetState, sender: FleetState) -> None:
        update = sender.update_since(receiver.versions)
        self.updates += 1
        if receiver.apply_update(update) is UpdateOutcome.MISMATCH:
            self.differing += 1
            receiver.apply_update(sender.update_since(KnownVersions()))

    def _note(self, member: Member) -> None:
        if member.state.config is not None:
            member.versions.append(member.state.config.version)
        for name, known in member.state.directory.backends.items():
            if known.is_draining:
                member.drained_s.setdefault(name, self._now_s)
