"""Domain view, digests, selection of the store reader, address choice."""

from __future__ import annotations

import unittest
from math import ceil

from tests.fleet.test_state import route
from turmericpost_core.membership.address_choice import (
    allowed_regions,
    choose_vms,
)
from turmericpost_core.membership.domain_view import (
    FORGET_AFTER_S,
    MAX_DIGEST_AGE_S,
    MAX_RANKED_DIGEST_AGE_S,
    OLD_RANKED_VMS,
    SETTLED_S,
    DomainDigest,
    DomainView,
    Vm,
    VmReadiness,
)
from turmericpost_core.membership.heartbeat_period import (
    heartbeat_period_s,
    lost_after_s,
)
from turmericpost_core.membership.store_read_schedule import (
    is_reader,
    new_read_schedule,
    retry_pause_s,
)

_DIGEST_PERIOD_S = 1.0
_LONG_S = FORGET_AFTER_S + 1
_REGIONS = {'nasr': 'cairo', 'giza': 'cairo', 'smouha': 'alex'}


def vm(name: str, domain: str = 'nasr', started_ms: int = 1) -> Vm:
    return Vm(name, name, 7540, f'{name}:80', domain, 'r', started_ms)


def view() -> DomainView:
    own_view = DomainView(vm('own'))
    own_view.own_readiness = VmReadiness.READY
    return own_view


def _digest_gap_s(vms: int) -> float:
    """Return the longest time between digests when their sender is lost.

    Digests leave with the first heartbeat that is a digest period later.
    """
    period_s = heartbeat_period_s(vms)
    interval_s = ceil(_DIGEST_PERIOD_S / period_s) * period_s
    return interval_s + lost_after_s(vms) + period_s


class DomainViewTest(unittest.TestCase):
    def test_silent_vm_is_lost_until_its_next_heartbeat(self) -> None:
        own_view = view()
        own_view.record_heartbeat(vm('a'), VmReadiness.READY, 0)
        self.assertEqual(own_view.update_liveness(0)[0], {'a'})
        self.assertEqual(
            own_view.update_liveness(lost_after_s(2) + 0.1)[1], {'a'}
        )
        self.assertEqual(
            own_view.ready('nasr', lost_after_s(2) + 0.1), (own_view.own,)
        )
        own_view.record_heartbeat(vm('a'), VmReadiness.READY, 5)
        self.assertEqual(own_view.update_liveness(5)[0], {'a'})

    def test_heartbeat_rate_is_bounded_in_large_domains(self) -> None:
        """Load pattern: all VMs of a large domain exchange heartbeats.

        Such domains have 35 or 77 VMs.
        """
        for vms in (20, 35, 60):
            heartbeats_per_s = vms / heartbeat_period_s(vms)
            self.assertAlmostEqual(heartbeats_per_s, 48, msg=vms)
        self.assertLess(2 / heartbeat_period_s(2), 48)

    def test_vm_of_a_large_domain_may_miss_four_heartbeats(self) -> None:
        own_view = view()
        names = [str(number) for number in range(34)]
        for name in names:
            own_view.record_heartbeat(vm(name), VmReadiness.READY, 0)
        own_view.update_liveness(0)
        four_periods_s = 4 * heartbeat_period_s(35)
        self.assertEqual(
            own_view.update_liveness(four_periods_s)[1], frozenset()
        )
        self.assertEqual(
            own_view.update_liveness(four_periods_s * 2)[1], set(names)
        )

    def test_leaving_vm_is_not_ready_and_ranks_last(self) -> None:
        own_view = view()
        own_view.record_heartbeat(vm('a'), VmReadiness.LEAVING, 0)
        own_view.record_heartbeat(vm('b'), VmReadiness.READY, 0)
        names = {peer_vm.name for peer_vm in own_view.ready('nasr', 0)}
        self.assertEqual(names, {'own', 'b'})
        self.assertEqual(own_view.ranked('s', 'nasr', 0)[-1].name, 'a')

    def test_heartbeat_of_an_older_incarnation_is_ignored(self) -> None:
        own_view = view()
        own_view.record_heartbeat(vm('a', started_ms=9), VmReadiness.READY, 0)
        own_view.record_heartbeat(vm('a', started_ms=1), VmReadiness.LEAVING, 0)
        self.assertEqual(len(own_view.ready('nasr', 0)), 2)

    def test_reported_vm_gets_heartbeats_but_is_not_live(self) -> None:
        own_view = view()
        own_view.add_known_vms([vm('a')], 0)
        self.assertEqual(
            [peer_vm.name for peer_vm in own_view.heartbeat_targets('nasr')],
            ['a'],
        )
        self.assertEqual(len(own_view.live_members(0)), 1)

    # Guards against a VM that is cut off, forgets its domain and counts as the
    # whole of it.
    def test_vm_in_a_minority_keeps_the_others(self) -> None:
        own_view = self._view_after_long_silence(heard=1, silent=3)
        self.assertEqual(own_view.heartbeat_vm_count, 5)
        self.assertEqual(own_view.live_share(SETTLED_S, _LONG_S), 0.4)

    def test_vm_in_a_majority_forgets_silent_ones(self) -> None:
        own_view = self._view_after_long_silence(heard=2, silent=2)
        self.assertEqual(own_view.heartbeat_vm_count, 3)
        self.assertEqual(own_view.live_share(SETTLED_S, _LONG_S), 1)

    # Guards against a domain that was made smaller and does not use its servers.
    def test_vms_that_left_as_planned_are_forgotten_by_a_minority(self) -> None:
        own_view = self._view_after_long_silence(
            heard=1, silent=3, readiness=VmReadiness.LEAVING
        )
        self.assertEqual(own_view.heartbeat_vm_count, 2)

    def test_vms_that_were_only_reported_are_forgotten(self) -> None:
        own_view = view()
        own_view.add_known_vms([vm('a'), vm('b')], 0)
        own_view.update_liveness(_LONG_S)
        self.assertEqual(own_view.heartbeat_vm_count, 1)

    def _view_after_long_silence(
        self,
        heard: int,
        silent: int,
        readiness: VmReadiness = VmReadiness.READY,
    ) -> DomainView:
        own_view = view()
        for number in range(silent):
            own_view.record_heartbeat(vm(f'silent{number}'), readiness, 0)
        for number in range(heard):
            own_view.record_heartbeat(
                vm(f'heard{number}'), VmReadiness.READY, _LONG_S
            )
        own_view.update_liveness(_LONG_S)
        return own_view

    def test_old_digest_is_not_used(self) -> None:
        own_view = view()
        digest = DomainDigest('giza', 0, ((vm('g'), VmReadiness.READY),))
        own_view.record_digest(digest)
        self.assertEqual(own_view.ranked('s', 'giza', 1)[0].name, 'g')
        late_s = MAX_DIGEST_AGE_S + 1
        self.assertEqual(own_view.ready('giza', late_s), ())
        late_s = MAX_RANKED_DIGEST_AGE_S + 1
        self.assertEqual(own_view.ranked('s', 'giza', late_s), (own_view.own,))

    # Guards against VMs of all other domains that broker the pools of a large
    # domain themselves until its next digest sender takes over.
    def test_old_digest_still_ranks_until_the_next_sender_takes_over(
        self,
    ) -> None:
        own_view = view()
        own_view.record_digest(
            DomainDigest('giza', 0, ((vm('g'), VmReadiness.READY),))
        )
        for vms in (5, 20, 35, 38, 47, 60, 77):
            next_digest_s = _digest_gap_s(vms)
            ranked = own_view.ranked('s', 'giza', next_digest_s)
            self.assertEqual([one.name for one in ranked], ['g'], vms)

    # Guards against calls that go down the ranks of a domain that is lost.
    def test_old_digest_ranks_the_first_vms_only(self) -> None:
        own_view = view()
        members = tuple((vm(f'g{one}'), VmReadiness.READY) for one in range(9))
        own_view.record_digest(DomainDigest('giza', 0, members))
        ranked = own_view.ranked('s', 'giza', MAX_DIGEST_AGE_S)
        late = own_view.ranked('s', 'giza', MAX_DIGEST_AGE_S + 1)
        self.assertEqual(len(ranked), len(members))
        self.assertEqual(late, ranked[:OLD_RANKED_VMS])


class StoreReaderSelectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = new_read_schedule(2, 2)

    def test_first_vm_in_rank_reads(self) -> None:
        self.assertTrue(is_reader(('own', 'b'), 'own', {'b': 0}, self.schedule))

    def test_next_vm_reads_only_while_reads_of_the_first_are_stale(
        self,
    ) -> None:
        ranked = ('a', 'own')
        self.assertFalse(is_reader(ranked, 'own', {'a': 0.5}, self.schedule))
        self.assertTrue(is_reader(ranked, 'own', {'a': 1.5}, self.schedule))
        self.assertTrue(is_reader(ranked, 'own', {}, self.schedule))

    def test_take_over_ends_within_the_drain_bound(self) -> None:
        heartbeat_s = 0.25
        max_take_over_s = (
            self.schedule.stale_after_s + heartbeat_s + self.schedule.period_s
        )
        self.assertLess(max_take_over_s, 2)

    def test_pause_grows_with_failed_reads(self) -> None:
        pauses = [retry_pause_s(count, self.schedule) for count in range(1, 9)]
        self.assertEqual(pauses, sorted(pauses))
        self.assertLessEqual(pauses[-1], 2)


class AddressChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = view()
        self.view.record_heartbeat(vm('a'), VmReadiness.READY, 0)
        for domain in ('giza', 'smouha'):
            ready = ((vm(domain, domain), VmReadiness.READY),)
            self.view.record_digest(DomainDigest(domain, 0, ready))

    def test_callers_get_vms_of_their_own_domain(self) -> None:
        self.assertEqual(self._names('nasr', {'cairo', 'alex'}), {'own', 'a'})
        self.assertEqual(self._names('smouha', {'cairo', 'alex'}), {'smouha'})

    def test_only_vms_in_allowed_regions_are_returned(self) -> None:
        self.assertEqual(
            self._names('smouha', {'cairo'}),
            {'own', 'a', 'giza'},
        )

    def test_caller_of_a_lost_domain_gets_vms_of_its_region(self) -> None:
        own_view = view()
        found = choose_vms(
            own_view,
            _REGIONS,
            'giza',
            frozenset(('cairo',)),
            0,
        )
        self.assertEqual(found, (own_view.own,))

    def test_allowed_regions_combine_all_routes_of_a_host(self) -> None:
        homes = frozenset(('cairo',))
        restricted_route = route('/b/')
        both_routes = (
            route('/a/'),
            _with_home_regions(restricted_route, homes),
        )
        regions = frozenset(_REGIONS.values())
        self.assertEqual(allowed_regions(both_routes, regions, {}), homes)
        self.assertEqual(allowed_regions(both_routes[:1], regions, {}), regions)

    def test_unused_routes_do_not_restrict_the_regions(self) -> None:
        """Load pattern: a host has unused routes with other home regions."""
        cairo_route = _with_home_regions(route('/b/'), frozenset(('cairo',)))
        alex_route = _with_home_regions(route('/c/'), frozenset(('alex',)))
        regions = frozenset(_REGIONS.values())
        found = allowed_regions(
            (cairo_route, alex_route), regions, {'/b/': 9, '/c/': 0.1}
        )
        self.assertEqual(found, {'cairo'})
        self.assertEqual(
            allowed_regions((cairo_route, alex_route), regions, {}), set()
        )

    def _names(self, domain: str, allowed: set[str]) -> set[str]:
        found = choose_vms(
            self.view,
            _REGIONS,
            domain,
            frozenset(allowed),
            0,
        )
        return {peer_vm.name for peer_vm in found}


def _with_home_regions(plain: object, homes: frozenset[str]) -> object:
    return type(plain)(
        **{
            name: getattr(plain, name)
            for name in plain.__slots__
            if name != 'home_regions'
        },
        home_regions=homes,
    )


class LiveShareTest(unittest.TestCase):
    def test_share_falls_with_silent_vms(self) -> None:
        own_view = view()
        for name in ('a', 'b', 'c'):
            own_view.record_heartbeat(vm(name), VmReadiness.READY, 0)
        self.assertEqual(own_view.live_share(9, 0), 1)
        own_view.record_heartbeat(vm('a'), VmReadiness.READY, 5)
        self.assertEqual(own_view.live_share(9, 5), 1 / 2)

    def test_share_is_zero_just_after_the_start(self) -> None:
        self.assertEqual(view().live_share(0.5, 0), 0)
