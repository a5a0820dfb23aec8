"""Reading the configuration log after the store returned from a copy."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.defer import Deferred

from tests.configlog.era_log import (
    EraLog,
    LogVm,
    SetClock,
    document_with,
    run_to_end,
)
from turmericpost_core.config.apply_records import ChangeVerdict


class LogWentBackTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = SetClock()
        self.log = EraLog()
        self.writer = LogVm(self.log, self.clock)
        self.reader = LogVm(self.log, self.clock)

    def _publish(self, count: int) -> None:
        """Publish changes that both VMs read."""
        for port in range(1, count + 1):
            published = self.writer.publish(self.writer.revision + port)
            self.assertTrue(published.is_ok(), published)
        self.reader.read()
        self.assertEqual(self.reader.revision, self.writer.revision)

    def _start_vm(self) -> LogVm:
        vm = LogVm(self.log, self.clock)
        vm.read()
        return vm

    # Guards against records at offsets given out again that are never read.
    def test_records_at_reused_offsets_are_read(self) -> None:
        self._publish(3)
        self.writer.publish(40, base_revision=1)
        self.reader.read()
        self.log.return_without_last(1)
        other = self._start_vm()
        other.publish(41)
        self.assertEqual(other.revision, 4)
        self.reader.read()
        self.assertEqual(self.reader.revision, 4)
        self.assertEqual(
            self.reader.follower.configuration.document, document_with(41)
        )

    # Guards against a read past the end that counts as expired records: no
    # change was applied until a snapshot came.
    def test_read_past_the_end_is_no_gap(self) -> None:
        self._publish(3)
        self.log.return_without_last(1)
        self.reader.read()
        self.assertFalse(self.reader.follower.has_gap)
        self.assertEqual(self.reader.revision, 3)
        self.assertTrue(self.reader.follower.log_status.has_lost_records)

    # Guards against the same of a store that states no era.
    def test_read_past_the_end_without_era_is_no_gap(self) -> None:
        self.log.era = None
        self._publish(3)
        self.log.return_without_last(1)
        self.reader.read()
        self.assertFalse(self.reader.follower.has_gap)
        self.assertEqual(self.reader.revision, 3)
        self.assertTrue(self.reader.follower.log_status.has_lost_records)

    # Guards against a gap on all VMs at once, none of which then writes the
    # snapshot that ends it, since the log read again had expired records.
    def test_records_that_expired_after_being_read_are_no_gap(self) -> None:
        self._publish(4)
        self.log.expire_before(2)
        self.log.return_without_last(1)
        self.reader.read()
        self.assertFalse(self.reader.follower.has_gap)
        self.assertEqual(self.reader.revision, 4)

    # Guards against a gap that seems filled since its end was an offset of
    # the lost log, or one that never ends for the same reason.
    def test_gap_of_an_earlier_era_ends_in_a_complete_log(self) -> None:
        self._publish(4)
        lost_log = self.log.records
        self.log.records = lost_log[3:]
        self.log.earliest_offset = 3
        late = self._start_vm()
        self.assertTrue(late.follower.has_gap)
        self.log.records = lost_log
        self.log.earliest_offset = 0
        self.log.return_without_last(2)
        late.read()
        self.assertFalse(late.follower.has_gap)
        self.assertEqual(late.revision, 2)

    def test_records_that_expired_unread_are_a_gap(self) -> None:
        self._publish(4)
        self.log.expire_before(2)
        self.log.return_without_last(1)
        late = self._start_vm()
        self.assertTrue(late.follower.has_gap)

    # Guards against verdicts that turn round, since changes that left the
    # history are judged again by the revision in force.
    def test_changes_read_again_keep_their_verdicts(self) -> None:
        self._publish(130)
        self.log.return_without_last(1)
        self.reader.read()
        self.assertEqual(self.reader.revision, 130)
        history = self.reader.follower.configuration.history
        self.assertEqual(
            {change.verdict for change in history}, {ChangeVerdict.ACCEPTED}
        )
        self.assertEqual(history[-1].revision, 130)

    # Guards against a lost revision that is never in the log again.
    def test_snapshot_brings_the_lost_revision_back(self) -> None:
        self._publish(3)
        self.log.return_without_last(1)
        self.reader.read()
        self.clock.now_s += 1
        self._write_snapshot(self.reader)
        self.assertFalse(self.reader.follower.log_status.has_lost_records)
        self.assertEqual(self._start_vm().revision, 3)
        self.writer.read()
        self.assertFalse(self.writer.follower.log_status.has_lost_records)

    # Guards against a second return before the log was read again.
    def test_two_returns_in_a_row(self) -> None:
        self._publish(4)
        self.log.return_without_last(1)
        self.reader.read(1)
        self.log.return_without_last(1)
        self.reader.read()
        self.assertEqual(self.reader.revision, 4)
        self.assertFalse(self.reader.follower.has_gap)
        self.assertTrue(self.reader.follower.log_status.has_lost_records)
        self.assertEqual(self.reader.reported_revisions[-1], 4)

    # Guards against a snapshot written for an offset of the lost log, which
    # makes a reader pass over records that the snapshot does not include.
    def test_snapshot_of_a_lost_log_ends_no_gap(self) -> None:
        self._publish(8)
        self.log.return_without_last(5)
        self.log.expire_before(1)
        run_to_end(self.writer.snapshots.write(0))
        late = self._start_vm()
        self.assertTrue(late.follower.has_gap)

    # Guards against a read that began before the return and whose answer is
    # taken as following on what has been read since.
    def test_answer_to_an_earlier_read_is_left_out(self) -> None:
        self._publish(6)
        answers: list[Deferred[Any]] = []
        read = self.log.read

        def wait(*_: object) -> Deferred[Any]:
            answers.append(Deferred())
            return answers[-1]

        self.log.read = wait  # type: ignore[assignment]
        waiting = Deferred.fromCoroutine(self.reader.follower.read_once(0))
        self.log.read = read  # type: ignore[method-assign]
        self.log.return_without_last(3)
        self.reader.read(1)
        self.log.records.extend([b'not a record'] * 4)
        answers[0].callback(run_to_end(read('stream', 6, 0)))
        self.assertTrue(waiting.called)
        self.assertEqual(self.reader.follower.folded_offset, 0)

    def _write_snapshot(self, vm: LogVm) -> None:
        run_to_end(vm.snapshots.write_if_due())


if __name__ == '__main__':
    unittest.main()
