"""Publishing changes after the store returned from a copy."""

from __future__ import annotations

import unittest
from typing import Any

from tests.configlog.era_log import (
    EraLog,
    LogVm,
    SetClock,
    document_with,
    run_to_end,
)
from turmericpost.configlog.publisher import PublishErrorKind
from turmericpost_core.config.apply_records import ChangeVerdict

_HOLD_S = 15


class PublishAfterReturnTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = SetClock()
        self.log = EraLog()
        self.first = LogVm(self.log, self.clock)
        self.second = LogVm(self.log, self.clock)
        for port in (1, 2):
            self.first.publish(port)
        self.second.read()

    def _lose_third_revision(self) -> None:
        """Lose a revision that only the first VM has read."""
        published = self.first.publish(3)
        self.assertIs(published.unwrap().verdict, ChangeVerdict.ACCEPTED)
        self.log.return_without_last(1)

    def _assert_not_accepted(self, published: Any) -> None:
        self.assertTrue(published.is_err(), published)
        kind = published.unwrap_err().kind
        self.assertIs(kind, PublishErrorKind.NOT_ACCEPTED)

    # Guards against two documents under one number: that of a confirmed change
    # which was lost, and that of a change which took its number.
    def test_lost_revision_gives_no_number_away(self) -> None:
        self._lose_third_revision()
        self._assert_not_accepted(self.second.publish(41))
        self.first.read()
        run_to_end(self.first.snapshots.write_if_due())
        self.clock.now_s += _HOLD_S
        published = self.second.publish(41, base_revision=2)
        self.assertIs(published.unwrap().verdict, ChangeVerdict.CONFLICT)
        self.first.read()
        for vm in (self.first, self.second):
            self.assertEqual(vm.revision, 3)
            document = vm.follower.configuration.document
            self.assertEqual(document, document_with(3))

    # Guards against verdicts on what this VM read last instead of on the log.
    def test_log_is_read_before_a_change_is_published(self) -> None:
        self.first.publish(3)
        published = self.second.publish(41, base_revision=3)
        self.assertIs(published.unwrap().verdict, ChangeVerdict.ACCEPTED)

    def test_changes_are_accepted_after_the_hold(self) -> None:
        self._lose_third_revision()
        for vm in (self.first, self.second):
            self._assert_not_accepted(vm.publish(41))
        run_to_end(self.first.snapshots.write_if_due())
        self.clock.now_s += _HOLD_S
        self.second.read()
        published = self.second.publish(42)
        self.assertIs(published.unwrap().verdict, ChangeVerdict.ACCEPTED)
        self.assertEqual(published.unwrap().revision, 4)
        self.first.read()
        self.assertEqual(self.first.revision, 4)

    # Guards against a VM that starts while the store is away, and then can't
    # tell that the log has lost revisions.
    def test_vm_that_could_not_read_at_its_start_waits(self) -> None:
        for earliest in (0, 1):
            with self.subTest(earliest=earliest):
                self.log.is_away = True
                started = LogVm(self.log, self.clock)
                started.read()
                self.log.is_away = False
                self.log.expire_before(earliest)
                started.read()
                self._assert_not_accepted(started.publish(41))

    # Guards against a change that is confirmed in an era whose log was not
    # read: lost revisions may have the number that it got.
    def test_append_that_tells_of_the_return_is_unsettled(self) -> None:
        self.first.publish(3)
        append = self.log.append

        async def return_then_append(stream: str, record: bytes) -> Any:
            self.log.return_without_last(1)
            return await append(stream, record)

        self.log.append = return_then_append  # type: ignore[method-assign]
        published = self.second.publish(41, base_revision=3)
        self.assertTrue(published.is_err(), published)
        kind = published.unwrap_err().kind
        self.assertIs(kind, PublishErrorKind.UNSETTLED)


if __name__ == '__main__':
    unittest.main()
