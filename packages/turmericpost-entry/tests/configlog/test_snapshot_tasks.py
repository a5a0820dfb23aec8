"""Which VMs write snapshots of the configuration."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.configlog.era_log import EraLog, LogVm, SetClock
from tests.harness import vm_record
from turmericpost.configlog.tasks import PlatformTasks
from turmericpost_core.membership.ring import rendezvous_owners

_CHECKS_S = 2


class SnapshotTasksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = Clock()
        self.log = EraLog()
        self.vm = LogVm(self.log, SetClock())
        for port in (1, 2, 3):
            self.vm.publish(port)

    def _run_checks(self, own_index: int, count: int) -> list[bytes]:
        """Return the records that a VM adds within some checks.

        The VM with index 0 is the one that writes periodic snapshots.
        """
        names = sorted(vm_record(number).identity.name for number in (1, 2))
        selected = rendezvous_owners('snapshots', names, 1)[0]
        names.sort(key=lambda name: name != selected)
        view = SimpleNamespace(live=lambda: (vm_record(1), vm_record(2)))
        clients: Any = SimpleNamespace(
            follower=self.vm.follower, snapshots=self.vm.snapshots
        )
        settings: Any = None
        tasks = PlatformTasks(
            self.reactor, settings, clients, names[own_index], lambda: view
        )
        before = len(self.log.records)
        Deferred.fromCoroutine(tasks._write_periodic_snapshots())
        self.reactor.pump([_CHECKS_S] * count)
        return self.log.records[before:]

    # Guards against a revision that stays lost: the VM that writes snapshots
    # may not have it and then writes one of the revision before.
    def test_vm_with_a_lost_revision_writes_it(self) -> None:
        self.log.return_without_last(1)
        self.vm.read()
        self.assertEqual(len(self._run_checks(own_index=1, count=2)), 1)

    def test_selected_vm_writes_at_the_first_check(self) -> None:
        self.log.return_without_last(1)
        self.vm.read()
        self.assertEqual(len(self._run_checks(own_index=1, count=1)), 0)
        self.assertEqual(len(self._run_checks(own_index=0, count=1)), 1)

    def test_other_vms_write_none_while_nothing_is_lost(self) -> None:
        self.assertEqual(len(self._run_checks(own_index=1, count=9)), 0)


if __name__ == '__main__':
    unittest.main()
