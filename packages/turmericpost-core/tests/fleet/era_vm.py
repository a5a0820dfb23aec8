"""Simulated VM that reads the store and hears of the state of other VMs.

It follows the store reader and the state sync of the product, without their
transport.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from tests.fleet.era_store import StoreAnswer, StoredRecord, Topic
from turmericpost_core.fleet.backends import Backend, Registration
from turmericpost_core.fleet.directory import UpdateOutcome
from turmericpost_core.fleet.operator_config import OperatorConfig
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

CONFIG_KEY = 'config'
LOST_AFTER_S = 1.1
OPERATOR_PAUSE_S = 0.2
LISTING_PAUSE_S = 0.1
NEVER_S = float('-inf')
SCHEDULE = new_read_schedule(2, 2)


@dataclass(frozen=True)
class Statement:
    """What a VM states in a heartbeat, and when it was received."""

    vm: EraVm
    read_age_s: float
    received_s: float


@dataclass
class EraVm:
    """A VM, from its start to its end.

    ``reads`` are the reads that have not been answered yet, ``source`` is
    where its last change came from.
    """

    name: str
    failure_domain: str
    state: FleetState = field(default_factory=FleetState)
    era: int | None = None
    source: str = ''
    statements: dict[str, Statement] = field(default_factory=dict)
    stated_configs: dict[str, int] = field(default_factory=dict)
    reads: dict[Topic, tuple[StoreAnswer, float]] = field(default_factory=dict)
    next_read_s: dict[Topic, float] = field(default_factory=dict)
    last_read_s: float = NEVER_S
    _needs_listing: set[Topic] = field(default_factory=lambda: set(Topic))
    _failures: int = 0
    _failed_s: float = NEVER_S

    def usable(self) -> dict[str, Backend]:
        """Return the servers that may be used, also in evacuated domains."""
        return {
            known.backend_id: known
            for known in self.state.directory.in_use()
            if not known.is_draining
        }

    def is_reader(self, now_s: float) -> bool:
        near = {
            name: stated
            for name, stated in self.statements.items()
            if stated.vm.failure_domain == self.failure_domain
            and now_s - stated.received_s < LOST_AFTER_S
        }
        ages_s = {
            name: stated.read_age_s + now_s - stated.received_s
            for name, stated in near.items()
        }
        ranked = tuple(sorted((self.name, *near)))
        return is_reader(ranked, self.name, ages_s, SCHEDULE)

    def read_begin(self, topic: Topic) -> StorePosition | None:
        """Return where the next read begins, ``None`` for a listing."""
        position = self.state.directory.next_offset
        if topic is Topic.OPERATOR:
            position = self.state.operator_offset
        is_unread = topic in self._needs_listing or not position
        return (
            None if is_unread or self._is_of_other_era(position) else position
        )

    def era_stated(self, era: int | None) -> None:
        if era is not None and (self.era is None or era > self.era):
            self.era = era

    def read_failed(self, topic: Topic, now_s: float) -> None:
        """Record that a read got no response."""
        pause_s = OPERATOR_PAUSE_S
        if topic is Topic.SERVERS:
            self._failures += 1
            self._failed_s = now_s
            pause_s = retry_pause_s(self._failures, SCHEDULE)
        self.next_read_s[topic] = now_s + pause_s

    def read_answered(self, answer: StoreAnswer, now_s: float) -> None:
        """Apply a response as the store reader does."""
        topic = answer.topic
        self.era_stated(answer.era)
        self.next_read_s[topic] = now_s + OPERATOR_PAUSE_S
        begin = answer.begin
        is_other = begin is not None and not begin.is_of_era(answer.era)
        if is_other and topic is Topic.SERVERS:
            self._store_reached(now_s)
        if is_other or answer.records is None:
            self.next_read_s[topic] = now_s + LISTING_PAUSE_S
            self._needs_listing.add(topic)
            return
        if topic is Topic.SERVERS:
            self.next_read_s[topic] = now_s + SCHEDULE.period_s
            self._apply_servers(answer, now_s)
        else:
            self._apply_operator(answer)

    def hear(self, other: EraVm, now_s: float) -> None:
        """Hear a heartbeat of another VM; fetch its state if it is newer."""
        read_age_s = now_s - other.last_read_s
        self.statements[other.name] = Statement(other, read_age_s, now_s)
        if other.failure_domain == self.failure_domain:
            self._peer_has_read(other.last_read_s)
        held = other.state.held_config
        if held is not None:
            self.stated_configs[other.name] = held
        directory, stated = self.state.directory, other.state.directory
        if self._is_newer(other):
            self._fetch(other)
        elif stated.version == directory.version and directory.is_settled:
            directory.read_by_peer(stated.resume_offset)

    def _is_newer(self, other: EraVm) -> bool:
        if other.state.operator_offset > self.state.operator_offset:
            return True
        own = self.state.versions.config or 0
        if self.stated_configs.get(other.name, 0) > own:
            return True
        stated = other.state.directory
        return self.state.directory.lacks(stated.version, stated.resume_offset)

    def _fetch(self, other: EraVm) -> None:
        self.source = 'update'
        update = other.state.update_since(self.state.versions)
        if self.state.apply_update(update) is UpdateOutcome.MISMATCH:
            self.state.apply_update(other.state.update_since(KnownVersions()))

    def _peer_has_read(self, read_s: float) -> None:
        if self._failures > 1 and read_s > self._failed_s:
            self._failures = 0
            self.state.directory.start_reregistration_grace(read_s)

    def _store_reached(self, now_s: float) -> None:
        if self._failures > 1:
            self.state.directory.start_reregistration_grace(now_s)
        self._failures = 0

    def _apply_servers(self, answer: StoreAnswer, now_s: float) -> None:
        directory = self.state.directory
        self._store_reached(now_s)
        if answer.begin is not None and directory.next_offset < answer.begin:
            return
        self._needs_listing.discard(Topic.SERVERS)
        self.source = 'read'
        records = tuple(
            Registration(position, record.key, record.entry)
            for position, record in answer.records or ()
            if record.entry is None or isinstance(record.entry, Backend)
        )
        if answer.begin is None:
            directory.resync(records, answer.end, now_s)
        else:
            directory.apply_records(records, now_s)
            directory.next_offset = max(directory.next_offset, answer.end)
        self.last_read_s = answer.begun_s
        directory.expire(answer.begun_s)

    def _apply_operator(self, answer: StoreAnswer) -> None:
        self._needs_listing.discard(Topic.OPERATOR)
        changes = [
            _operator_change(position, record)
            for position, record in answer.records or ()
        ]
        if answer.begin is None:
            self.state.resync_operator(changes, answer.end)
        else:
            self.state.apply_operator_records(changes, answer.end)

    def _is_of_other_era(self, position: StorePosition) -> bool:
        return self.era is not None and not position.is_of_era(self.era)


def _operator_change(
    position: StorePosition, record: StoredRecord
) -> OperatorChange:
    if isinstance(record.entry, OperatorConfig):
        return OperatorChange(position, record.entry)
    return OperatorChange(
        position,
        evacuated_domain=record.key,
        is_evacuated=record.entry is not None,
    )
