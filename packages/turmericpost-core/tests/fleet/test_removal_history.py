"""Seeded histories of removals: all VMs use what is registered in the end.

The last tests break the product code on purpose to show that the check fails.
"""

from __future__ import annotations

import unittest
from unittest.mock import PropertyMock, patch

from tests.fleet.removal_history import VMS, RemovalHistory
from turmericpost_core.fleet.directory import BackendDirectory

RUNS = 2000
RUNS_WITH_FAULT = 300


def wrong_vms(seed: int) -> list[int]:
    """Return the VMs that use other servers than those registered."""
    history = RemovalHistory(seed).run()
    registered_ids = history.registered_ids()
    return [vm for vm in range(VMS) if history.used_ids(vm) != registered_ids]


class RemovalHistoryTest(unittest.TestCase):
    # Guards against servers that have left, but are used for good, and servers
    # that live, but are not used, by the order in which VMs learn of removals.
    def test_all_vms_use_the_registered_servers_in_the_end(self) -> None:
        for seed in range(RUNS):
            self.assertEqual(wrong_vms(seed), [], seed)

    def test_check_detects_vms_that_trust_an_equal_version(self) -> None:
        always = PropertyMock(return_value=True)
        with patch.object(BackendDirectory, 'is_settled', always):
            found = [wrong_vms(seed) for seed in range(RUNS_WITH_FAULT)]
        self.assertTrue(any(found))
