"""Configuration under faults: no revision falls, equal revisions are equal.

Each history mixes publishing, crashes, restarts, expiry, outages, lost
answers, a log that comes back empty or behind, and peers that talk or do not.
"""

from __future__ import annotations

import unittest
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any

from result import Err, Ok, Result

from turmericpost.configlog.follower import ConfigurationFollower
from turmericpost.configlog.publisher import Publisher
from turmericpost.configlog.snapshots import SnapshotWriter
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost.store.record_log import LogBatch, LogRecord
from turmericpost_core.config.apply_records import ChangeVerdict
from turmericpost_core.config.document import (
    BackendServer,
    Document,
    FailureDomain,
    Service,
)

HISTORIES = 1000

_VMS = 4
_STEPS = 40
_START_UTC = datetime(2026, 12, 4, tzinfo=UTC)


def _run(step: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never has to wait."""
    try:
        step.send(None)
    except StopIteration as ended:
        return ended.value
    raise AssertionError('the coroutine waits')


class _Clock:
    def __init__(self) -> None:
        self.now_s = float(0)

    def monotonic_s(self) -> float:
        return self.now_s

    def utc_now(self) -> datetime:
        self.now_s += 1
        return _START_UTC + timedelta(seconds=self.now_s)


class _FaultyLog:
    """A stream that can be down, lose answers, expire, go back."""

    def __init__(self) -> None:
        self.earliest = 0
        self.records: list[bytes] = []
        self.is_down = False
        self.loses_answer = False

    async def append(
        self, stream: str, record: bytes
    ) -> Result[int, StoreError]:
        if self.is_down:
            return Err(StoreError(StoreErrorKind.NOT_SENT, 'down'))
        self.records.append(record)
        if self.loses_answer:
            self.loses_answer = False
            return Err(StoreError(StoreErrorKind.NO_RESPONSE, 'lost'))
        return Ok(self.earliest + len(self.records) - 1)

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_s: float,
    ) -> Result[LogBatch, StoreError]:
        if self.is_down:
            return Err(StoreError(StoreErrorKind.NOT_SENT, 'down'))
        if from_offset < self.earliest:
            kind = StoreErrorKind.EXPIRED
            return Err(StoreError(kind, 'expired', self.earliest))
        end = self.earliest + len(self.records)
        found = tuple(
            LogRecord(offset, self.records[offset - self.earliest])
            for offset in range(from_offset, end)
        )
        return Ok(LogBatch(found, end))

    def expire(self, kept: int) -> None:
        dropped = max(0, len(self.records) - kept)
        self.records = self.records[dropped:]
        self.earliest += dropped

    def lose_last(self, lost: int) -> None:
        self.records = self.records[: max(0, len(self.records) - lost)]

    def come_back_empty(self) -> None:
        self.records.clear()
        self.earliest = 0


class _Vm:
    def __init__(self, log: _FaultyLog, clock: _Clock) -> None:
        self.in_force: list[int] = []
        self.follower = ConfigurationFollower(
            None,
            log,  # type: ignore[arg-type]
            'stream',
            lambda found: self.in_force.append(found.revision),
        )
        self.snapshots = SnapshotWriter(
            log,  # type: ignore[arg-type]
            'stream',
            self.follower,
            clock,
            timedelta(seconds=15),
        )
        self.publisher = Publisher(
            log,  # type: ignore[arg-type]
            'stream',
            self.follower,
            clock,
            self.snapshots,
        )

    @property
    def revision(self) -> int:
        return self.follower.configuration.revision

    def read(self) -> None:
        for _ in range(3):
            _run(self.follower.read_once(0))


def _document(port: int) -> Document:
    return Document(
        failure_domains=(FailureDomain('cairo-a', 'cairo'),),
        services=(Service('pressroom', slots=3),),
        backend_servers=(
            BackendServer('10.0.0.1', port, 'pressroom', 'cairo-a'),
        ),
    )


class _History:
    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.log = _FaultyLog()
        self.clock = _Clock()
        self.vms = [_Vm(self.log, self.clock) for _ in range(_VMS)]
        self.documents: dict[int, Document] = {}
        self.highest = 0
        self.accepted: dict[int, Document] = {}
        self.faults: list[str] = []
        self._published = 0
        self._publish(self.vms[0])

    def run(self) -> None:
        steps = (
            (self._publish, 6),
            (self._read, 8),
            (self._gossip, 6),
            (self._snapshot, 3),
            (self._restart, 2),
            (self._expire, 1),
            (self._toggle_outage, 2),
            (self._lose_answer, 1),
            (self._go_back, 1),
        )
        actions, weights = zip(*steps, strict=True)
        for _ in range(_STEPS):
            action = self.random.choices(actions, weights)[0]
            action(self.random.choice(self.vms))
            self._check()
        self._settle()

    def _publish(self, vm: _Vm) -> None:
        vm.read()
        if vm.revision == 0 and self.highest:
            return
        self._published += 1
        document = _document(self._published)
        base = max(0, vm.revision - (self.random.randrange(5) == 0))
        judged = _run(vm.publisher.publish(document, base, 'amal'))
        if judged.is_err():
            return
        change = judged.unwrap()
        if change.verdict is ChangeVerdict.ACCEPTED:
            self.accepted[change.revision] = document

    def _read(self, vm: _Vm) -> None:
        vm.read()

    def _gossip(self, vm: _Vm) -> None:
        other = self.random.choice(self.vms)
        self._tell(other, vm)

    def _tell(self, one: _Vm, other: _Vm) -> None:
        other.follower.adopt(one.follower.configuration)
        if other.follower.has_gap:
            _run(one.snapshots.write(1))

    def _snapshot(self, vm: _Vm) -> None:
        _run(vm.snapshots.write_if_due())

    def _restart(self, vm: _Vm) -> None:
        """Replace a VM, unless it alone knows the newest revision."""
        others = [one for one in self.vms if one is not vm]
        if max(one.revision for one in others) < self.highest:
            return
        if all(one.follower.has_gap for one in others):
            return
        place = self.vms.index(vm)
        self.vms[place] = _Vm(self.log, self.clock)
        newest = max(others, key=lambda one: one.revision)
        self._tell(newest, self.vms[place])

    def _expire(self, _vm: _Vm) -> None:
        self.log.expire(self.random.randrange(6))

    def _toggle_outage(self, _vm: _Vm) -> None:
        self.log.is_down = not self.log.is_down

    def _lose_answer(self, _vm: _Vm) -> None:
        self.log.loses_answer = True

    def _go_back(self, vm: _Vm) -> None:
        """Lose records that every VM in service has read; they notice it."""
        self.log.is_down = False
        self._read_all()
        if self.random.randrange(2):
            self.log.come_back_empty()
        else:
            self.log.lose_last(self.random.randrange(1, 4))
        self._read_all()

    def _read_all(self) -> None:
        for vm in self.vms:
            vm.read()
            self._gossip_all(vm)

    def _check(self) -> None:
        for vm in self.vms:
            if sorted(vm.in_force) != vm.in_force:
                self.faults.append(f'fell: {vm.in_force}')
            found = vm.follower.configuration
            if found.document is not None:
                first = self.documents.setdefault(
                    found.revision, found.document
                )
                if first != found.document:
                    self.faults.append(f'diverged at {found.revision}')
            self.highest = max(self.highest, found.revision)

    def _settle(self) -> None:
        self.log.is_down = False
        self.log.loses_answer = False
        for _ in range(4):
            for vm in self.vms:
                vm.read()
                self._gossip_all(vm)
        self._check()
        if {vm.revision for vm in self.vms} != {self.highest}:
            self.faults.append('not settled')
        for revision, document in self.accepted.items():
            if self.documents.get(revision, document) != document:
                self.faults.append(f'accepted {revision} is not in force')

    def _gossip_all(self, vm: _Vm) -> None:
        for other in self.vms:
            self._tell(other, vm)


class HistoriesTest(unittest.TestCase):
    def test_no_history_reverts_or_diverges(self) -> None:
        bad = {}
        revisions = 0
        for seed in range(HISTORIES):
            history = _History(seed)
            history.run()
            revisions += history.highest
            if history.faults:
                bad[seed] = history.faults[:2]
        self.assertEqual(bad, {})
        self.assertGreater(revisions, HISTORIES)


if __name__ == '__main__':
    unittest.main()
