"""Tests of the configuration in random histories of four VMs and a faulty log.

Guards against a revision that decreases on a VM, and against two VMs with
different documents at the same revision. The histories mix publishing, VM
restarts, peer exchange, snapshots, expired records, outages, lost responses
and a log that loses its latest records or all of them.
"""

from __future__ import annotations

import unittest
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any

from result import Err, Ok, Result

from turmericpost.configlog.follower import ConfigurationFollower
from turmericpost.configlog.publisher import RETURN_HOLD_S, Publisher
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
from turmericpost_core.fleet.store_position import StorePosition, new_position

HISTORY_COUNT = 1000

_VM_COUNT = 4
_STEPS_PER_HISTORY = 40
_START_UTC = datetime(2026, 12, 4, tzinfo=UTC)


def _run(step: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never suspends and return its result."""
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
    """In-memory log that simulates outages, lost responses and lost records.

    A store that states its ``era`` answers a read past the end with the
    earliest offset. One that states none answers it with its end.
    """

    def __init__(self, era: int | None = None) -> None:
        self.era = era
        self.earliest_offset = 0
        self.records: list[bytes] = []
        self.is_down = False
        self.loses_response = False

    async def append(
        self, stream: str, record: bytes
    ) -> Result[StorePosition, StoreError]:
        if self.is_down:
            return Err(StoreError(StoreErrorKind.NOT_SENT, 'down'))
        self.records.append(record)
        if self.loses_response:
            self.loses_response = False
            return Err(StoreError(StoreErrorKind.NO_RESPONSE, 'lost'))
        offset = self.earliest_offset + len(self.records) - 1
        return Ok(new_position(self.era, offset))

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_s: float,
    ) -> Result[LogBatch, StoreError]:
        if self.is_down:
            return Err(StoreError(StoreErrorKind.NOT_SENT, 'down'))
        end = self.earliest_offset + len(self.records)
        is_past_end = self.era is not None and from_offset > end
        if from_offset < self.earliest_offset or is_past_end:
            kind = StoreErrorKind.EXPIRED
            earliest = self.earliest_offset
            return Err(StoreError(kind, 'expired', earliest, self.era))
        log_records = tuple(
            LogRecord(offset, self.records[offset - self.earliest_offset])
            for offset in range(from_offset, end)
        )
        return Ok(LogBatch(log_records, end, self.era))

    def expire(self, kept_count: int) -> None:
        dropped = max(0, len(self.records) - kept_count)
        self.records = self.records[dropped:]
        self.earliest_offset += dropped

    def lose_last(self, lost_count: int) -> None:
        self.records = self.records[: max(0, len(self.records) - lost_count)]
        self._begin_era()

    def lose_all(self) -> None:
        self.records.clear()
        self.earliest_offset = 0
        self._begin_era()

    def _begin_era(self) -> None:
        if self.era is not None:
            self.era += 1


class _Vm:
    def __init__(self, log: _FaultyLog, clock: _Clock) -> None:
        self.reported_revisions: list[int] = []
        self.follower = ConfigurationFollower(
            None,
            log,  # type: ignore[arg-type]
            'stream',
            lambda current: self.reported_revisions.append(current.revision),
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


class _RandomHistory:
    def __init__(self, seed: int, era: int | None = None) -> None:
        self.random = Random(seed)
        self.log = _FaultyLog(era)
        self.clock = _Clock()
        self.vms = [_Vm(self.log, self.clock) for _ in range(_VM_COUNT)]
        self.documents: dict[int, Document] = {}
        self.highest_revision = 0
        self.accepted_documents: dict[int, Document] = {}
        self.violations: list[str] = []
        self._published_count = 0
        if era is not None:
            self._read_all_vms()
        self._publish(self.vms[0])

    def run(self) -> None:
        steps = (
            (self._publish, 6),
            (self._read, 8),
            (self._receive_from_random_peer, 6),
            (self._snapshot, 3),
            (self._restart, 2),
            (self._expire, 1),
            (self._toggle_outage, 2),
            (self._lose_response, 1),
            (self._lose_records, 1),
        )
        actions, weights = zip(*steps, strict=True)
        for _ in range(_STEPS_PER_HISTORY):
            action = self.random.choices(actions, weights)[0]
            action(self.random.choice(self.vms))
            self._check_invariants()
        self._converge()

    def _publish(self, vm: _Vm) -> None:
        vm.read()
        if vm.revision == 0 and self.highest_revision:
            return
        self._published_count += 1
        document = _document(self._published_count)
        base_revision = max(0, vm.revision - (self.random.randrange(5) == 0))
        publish_result = _run(
            vm.publisher.publish(document, base_revision, 'amal')
        )
        if publish_result.is_err():
            return
        change = publish_result.unwrap()
        if change.verdict is ChangeVerdict.ACCEPTED:
            self.accepted_documents[change.revision] = document

    def _read(self, vm: _Vm) -> None:
        vm.read()

    def _receive_from_random_peer(self, vm: _Vm) -> None:
        other = self.random.choice(self.vms)
        self._send_configuration(other, vm)

    def _send_configuration(self, sender: _Vm, receiver: _Vm) -> None:
        receiver.follower.adopt(sender.follower.configuration)
        if receiver.follower.has_gap:
            _run(sender.snapshots.write(1))

    def _snapshot(self, vm: _Vm) -> None:
        _run(vm.snapshots.write_if_due())

    def _restart(self, vm: _Vm) -> None:
        """Restart a VM if another VM can supply the newest revision."""
        others = [peer for peer in self.vms if peer is not vm]
        if max(peer.revision for peer in others) < self.highest_revision:
            return
        if all(peer.follower.has_gap for peer in others):
            return
        vm_index = self.vms.index(vm)
        self.vms[vm_index] = _Vm(self.log, self.clock)
        newest = max(others, key=lambda peer: peer.revision)
        self._send_configuration(newest, self.vms[vm_index])
        if self.log.era is not None:
            self.vms[vm_index].read()

    def _expire(self, _vm: _Vm) -> None:
        self.log.expire(self.random.randrange(6))

    def _toggle_outage(self, _vm: _Vm) -> None:
        self.log.is_down = not self.log.is_down

    def _lose_response(self, _vm: _Vm) -> None:
        self.log.loses_response = True

    def _lose_records(self, vm: _Vm) -> None:
        """Remove records that every VM has read.

        Then let the VMs detect the loss. Of a store that states its era, the
        records may be lost before all VMs have read them.
        """
        self.log.is_down = False
        is_unread = self.log.era is not None and self.random.randrange(2)
        if not is_unread:
            self._read_all_vms()
        if self.random.randrange(2):
            self.log.lose_all()
        else:
            self.log.lose_last(self.random.randrange(1, 4))
        if is_unread:
            self._publish(vm)
            self._check_invariants()
        self._read_all_vms()
        self.clock.now_s += RETURN_HOLD_S

    def _read_all_vms(self) -> None:
        for vm in self.vms:
            vm.read()
            self._receive_from_all_peers(vm)

    def _check_invariants(self) -> None:
        for vm in self.vms:
            if sorted(vm.reported_revisions) != vm.reported_revisions:
                self.violations.append(
                    f'revision decreased: {vm.reported_revisions}'
                )
            current = vm.follower.configuration
            if current.document is not None:
                known_document = self.documents.setdefault(
                    current.revision, current.document
                )
                if known_document != current.document:
                    self.violations.append(
                        f'documents differ at revision {current.revision}'
                    )
            self.highest_revision = max(self.highest_revision, current.revision)

    def _converge(self) -> None:
        self.log.is_down = False
        self.log.loses_response = False
        for _ in range(4):
            for vm in self.vms:
                vm.read()
                self._receive_from_all_peers(vm)
        self._check_invariants()
        if {vm.revision for vm in self.vms} != {self.highest_revision}:
            self.violations.append('revisions differ at the end')
        if self.log.era is not None:
            self._publish_last()
        for revision, document in self.accepted_documents.items():
            if self.documents.get(revision, document) != document:
                self.violations.append(f'accepted {revision} is not in force')

    def _publish_last(self) -> None:
        """Publish a change that all VMs read from the log alone."""
        if all(vm.follower.has_gap for vm in self.vms):
            return
        self.clock.now_s += RETURN_HOLD_S
        expected_revision = self.highest_revision + 1
        publisher = next(vm for vm in self.vms if not vm.follower.has_gap)
        document = _document(self._published_count + 1)
        _run(publisher.publisher.publish(document, publisher.revision, 'amal'))
        for vm in self.vms:
            vm.read()
        if {vm.revision for vm in self.vms} != {expected_revision}:
            self.violations.append('a change is not in force on all VMs')

    def _receive_from_all_peers(self, vm: _Vm) -> None:
        for other in self.vms:
            self._send_configuration(other, vm)


class ConfigurationFaultsTest(unittest.TestCase):
    def test_revisions_neither_decrease_nor_diverge(self) -> None:
        self._assert_histories_hold(era=None)

    # Guards against the same when the store states its era and answers a read
    # past its end like one of expired records.
    def test_the_same_in_a_store_that_states_its_era(self) -> None:
        self._assert_histories_hold(era=1)

    def _assert_histories_hold(self, era: int | None) -> None:
        violations_by_seed = {}
        total_revisions = 0
        for seed in range(HISTORY_COUNT):
            history = _RandomHistory(seed, era)
            history.run()
            total_revisions += history.highest_revision
            if history.violations:
                violations_by_seed[seed] = history.violations[:2]
        self.assertEqual(violations_by_seed, {})
        self.assertGreater(total_revisions, HISTORY_COUNT)


if __name__ == '__main__':
    unittest.main()
