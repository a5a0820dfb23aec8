"""Membership gossip: convergence, detection of losses, refutation."""

from __future__ import annotations

import unittest
from collections import deque
from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.samples import document
from turmericpost_core.membership.owner_selection import (
    AddressRequest,
    choose_owner_vms,
)
from turmericpost_core.membership.ring import rendezvous_owners, ring_successors
from turmericpost_core.membership.view import (
    MembershipSettings,
    MembershipView,
)
from turmericpost_core.membership.vm_records import (
    VmIdentity,
    VmRecord,
    VmState,
    merge,
)
from turmericpost_core.routing.ownership import assign_owners

_HEARTBEAT_S = 0.4
_SETTINGS = MembershipSettings()


def _record(number: int, incarnation: int = 1) -> VmRecord:
    region = 'cairo' if number % 2 else 'alexandria'
    identity = VmIdentity(
        f'10.0.0.{number}:1', '10.0.0.1', number, f'{region}-a', region
    )
    return VmRecord(identity, incarnation)


class _Cluster:
    """Simulated VMs that exchange heartbeats without message loss."""

    def __init__(self, size: int) -> None:
        self.now_s = float(0)
        self.views = {
            record.identity.name: MembershipView(record, _SETTINGS)
            for record in map(_record, range(size))
        }
        for view in self.views.values():
            view.record_vm_list(self.views, ())
        self.silent: set[str] = set()
        self.streams: dict[str, set[str]] = {}

    def heartbeat_round(self) -> None:
        self.now_s += _HEARTBEAT_S
        for name, view in self.views.items():
            if name not in self.silent:
                self._send_from(name, view)

    def count_disagreeing(self) -> int:
        """Count running VMs that do not see exactly the running VMs as live."""
        running = self.views.keys() - self.silent
        return sum(
            {record.identity.name for record in self.views[name].live()}
            != running
            for name in running
        )

    def _send_from(self, name: str, view: MembershipView) -> None:
        view.monitor(view.neighbours(), self.now_s)
        if view.mark_silent_lost(self.now_s):
            self._gossip(name)
        partners = {*view.neighbours(), *view.listed_but_absent()[:1]}
        self._open_streams(name, view, partners - self.streams.get(name, set()))
        self.streams[name] = partners - self.silent
        self._gossip(name)

    def _gossip(self, first: str) -> None:
        """Send a heartbeat; each VM whose view it changes sends one in turn."""
        senders = deque((first,))
        while senders:
            name = senders.popleft()
            records = self.views[name].next_records()
            for partner in self._partners(name):
                view = self.views[partner]
                if view.record_heartbeat(name, records, self.now_s):
                    senders.append(partner)
            self.views[name].heartbeat_sent()

    def _partners(self, name: str) -> set[str]:
        connecting = {
            one for one, targets in self.streams.items() if name in targets
        }
        return (self.streams.get(name, set()) | connecting) - self.silent

    def _open_streams(
        self,
        name: str,
        view: MembershipView,
        partners: set[str],
    ) -> None:
        """Open streams to VMs; both ends first send all their records."""
        for partner in partners - self.silent:
            other = self.views[partner]
            other.record_heartbeat(name, view.all_records(), self.now_s)
            view.record_heartbeat(partner, other.all_records(), self.now_s)


class ViewTest(unittest.TestCase):
    def test_views_converge_before_and_after_a_loss(self) -> None:
        for size in (3, 19, 100):
            with self.subTest(size=size):
                cluster = _Cluster(size)
                for _ in range(40):
                    cluster.heartbeat_round()
                self.assertEqual(cluster.count_disagreeing(), 0)
                lost = next(iter(cluster.views))
                cluster.silent.add(lost)
                for _ in range(5):
                    cluster.heartbeat_round()
                self.assertEqual(cluster.count_disagreeing(), 0)

    def test_paused_vm_refutes_its_loss(self) -> None:
        cluster = _Cluster(5)
        for _ in range(10):
            cluster.heartbeat_round()
        paused = next(iter(cluster.views))
        cluster.silent.add(paused)
        for _ in range(6):
            cluster.heartbeat_round()
        cluster.silent.clear()
        for _ in range(10):
            cluster.heartbeat_round()
        self.assertEqual(cluster.count_disagreeing(), 0)

    def test_heartbeat_size_does_not_grow_with_the_number_of_vms(self) -> None:
        view = MembershipView(_record(0), _SETTINGS)
        records = [_record(number) for number in range(1, 300)]
        view.record_heartbeat('10.0.0.1:1', records, 0)
        self.assertEqual(len(view.live()), 300)
        self.assertLessEqual(
            len(view.next_records()), _SETTINGS.records_per_heartbeat + 2
        )
        self.assertEqual(len(view.neighbours()), _SETTINGS.neighbours)

    def test_vm_listed_as_leaving_accepts_no_calls(self) -> None:
        view = MembershipView(_record(0), _SETTINGS)
        view.record_heartbeat('10.0.0.1:1', (_record(1),), 0)
        view.record_vm_list(('10.0.0.1:1',), ('10.0.0.1:1',))
        self.assertEqual(view.live(), (view.own,))
        self.assertEqual(len(view.known()), 2)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.builds(
                lambda incarnation, refutation, state, revision: replace(
                    _record(1, incarnation),
                    refutation=refutation,
                    state=state,
                    revision=revision,
                ),
                st.integers(0, 3),
                st.integers(0, 3),
                st.sampled_from(VmState),
                st.integers(0, 3),
            ),
            min_size=3,
            max_size=3,
        ),
    )
    def test_merge_does_not_depend_on_order(
        self, records: list[VmRecord]
    ) -> None:
        one, two, three = records
        self.assertEqual(merge(one, two).precedence, merge(two, one).precedence)
        self.assertEqual(
            merge(merge(one, two), three).precedence,
            merge(one, merge(two, three)).precedence,
        )


class OwnersTest(unittest.TestCase):
    def test_only_subjects_of_a_removed_vm_change_owners(self) -> None:
        names = [f'vm-{number}' for number in range(19)]
        for number in range(95):
            before = rendezvous_owners(f'service-{number}', names, 2)
            after = rendezvous_owners(f'service-{number}', names[1:], 2)
            if names[0] not in before:
                self.assertEqual(before, after)

    def test_ring_successors_exclude_the_vm_itself(self) -> None:
        names = [f'vm-{number}' for number in range(5)]
        successors_by_name = {
            one: ring_successors(one, names, 3) for one in names
        }
        for one, successors in successors_by_name.items():
            self.assertEqual(len(set(successors) - {one}), 3)

    def test_owner_vms_are_in_the_home_regions(self) -> None:
        live = [_record(number) for number in range(8)]
        ownership = assign_owners(document(), live)
        home = frozenset(('cairo',))
        restricted, unrestricted = (
            choose_owner_vms(
                AddressRequest('pressroom', regions, 'alexandria'),
                live,
                ownership,
                Random(1),
            )
            for regions in (home, None)
        )
        self.assertEqual({one.identity.region for one in restricted}, {'cairo'})
        self.assertEqual(
            {one.identity.region for one in unrestricted}, {'alexandria'}
        )


if __name__ == '__main__':
    unittest.main()
