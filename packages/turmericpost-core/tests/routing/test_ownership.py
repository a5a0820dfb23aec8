"""Ownership: even, stable, and independent of the order of VMs."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.samples import backend, document
from turmericpost_core.config.document import Limits
from turmericpost_core.membership.vm_records import VmIdentity, VmRecord
from turmericpost_core.routing.ownership import assign_owners


def _vm(number: int) -> VmRecord:
    region = 'cairo' if number % 2 else 'alexandria'
    name = f'10.1.0.{number}:1'
    return VmRecord(VmIdentity(name, 'host', 80, f'{region}-a', region), 1)


def _assigned_owners(
    backends: int, owners: int, vms: list[VmRecord]
) -> dict[str, str]:
    sample_document = document(
        *(backend(number) for number in range(1, backends + 1)),
        limits=Limits(owners_per_service=owners),
    )
    return dict(assign_owners(sample_document, vms).backend_owners)


class OwnershipTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.integers(1, 30),
        st.integers(1, 6),
        st.lists(st.integers(0, 40), unique=True, min_size=1, max_size=19),
    )
    def test_each_backend_server_has_one_owner_and_shares_are_even(
        self,
        backends: int,
        owners: int,
        numbers: list[int],
    ) -> None:
        vms = [_vm(number) for number in numbers]
        assigned_owners = _assigned_owners(backends, owners, vms)
        self.assertEqual(len(assigned_owners), backends)
        self.assertEqual(
            assigned_owners, _assigned_owners(backends, owners, vms[::-1])
        )
        in_region = [one for one in numbers if one % 2] or numbers
        expected_owners = min(owners, len(in_region))
        max_owned = max(Counter(assigned_owners.values()).values())
        self.assertLessEqual(max_owned, -(-backends // expected_owners))

    def test_owners_are_in_the_region_of_their_servers(self) -> None:
        vms = [_vm(number) for number in range(8)]
        assigned_ownership = assign_owners(document(), vms)
        regions = {vm.identity.name: vm.identity.region for vm in vms}
        for one in document().backend_servers:
            owner = assigned_ownership.owner_of(one)
            expected_region = (
                'cairo' if one.failure_domain == 'cairo-a' else 'alexandria'
            )
            self.assertEqual(regions[owner or ''], expected_region)

    def test_owners_stay_the_same_when_a_vm_without_servers_leaves(
        self,
    ) -> None:
        vms = [_vm(number) for number in range(1, 39, 2)]
        initial_owners = _assigned_owners(13, 4, vms)
        idle = [
            vm for vm in vms if vm.identity.name not in initial_owners.values()
        ]
        remaining = [vm for vm in vms if vm is not idle[0]]
        self.assertEqual(initial_owners, _assigned_owners(13, 4, remaining))


if __name__ == '__main__':
    unittest.main()
