"""View of a failure domain, digests of the others, turns and addresses."""

from __future__ import annotations

import unittest

from tests.fleet.test_state import route
from turmericpost_core.membership.address_choice import (
    allowed_regions,
    choose_vms,
)
from turmericpost_core.membership.domain_view import (
    MAX_DIGEST_AGE_S,
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

_REGIONS = {'nasr': 'cairo', 'giza': 'cairo', 'smouha': 'alex'}


def vm(name: str, domain: str = 'nasr', started_ms: int = 1) -> Vm:
    return Vm(name, name, 7540, f'{name}:80', domain, 'r', started_ms)


def view() -> DomainView:
    made = DomainView(vm('own'))
    made.own_readiness = VmReadiness.READY
    return made


class DomainViewTest(unittest.TestCase):
    def test_silent_vm_is_lost_and_heard_again(self) -> None:
        made = view()
        made.record_heartbeat(vm('a'), VmReadiness.READY, 0)
        self.assertEqual(made.update_liveness(0)[0], {'a'})
        self.assertEqual(made.update_liveness(lost_after_s(2) + 0.1)[1], {'a'})
        self.assertEqual(made.ready('nasr', lost_after_s(2) + 0.1), (made.own,))
        made.record_heartbeat(vm('a'), VmReadiness.READY, 5)
        self.assertEqual(made.update_liveness(5)[0], {'a'})

    def test_heartbeats_a_second_stay_the_same_in_large_domains(self) -> None:
        """Pattern: 35 and 77 VMs in a failure domain, each telling all."""
        for vms in (20, 35, 60):
            heard_per_s = vms / heartbeat_period_s(vms)
            self.assertAlmostEqual(heard_per_s, 48, msg=vms)
        self.assertLess(2 / heartbeat_period_s(2), 48)

    def test_vm_of_a_large_domain_has_time_for_four_heartbeats(self) -> None:
        made = view()
        names = [str(number) for number in range(34)]
        for name in names:
            made.record_heartbeat(vm(name), VmReadiness.READY, 0)
        made.update_liveness(0)
        four_s = 4 * heartbeat_period_s(35)
        self.assertEqual(made.update_liveness(four_s)[1], frozenset())
        self.assertEqual(made.update_liveness(four_s * 2)[1], set(names))

    def test_leaving_vm_is_in_no_answer_and_ranks_last(self) -> None:
        made = view()
        made.record_heartbeat(vm('a'), VmReadiness.LEAVING, 0)
        made.record_heartbeat(vm('b'), VmReadiness.READY, 0)
        names = {one.name for one in made.ready('nasr', 0)}
        self.assertEqual(names, {'own', 'b'})
        self.assertEqual(made.ranked('s', 'nasr', 0)[-1].name, 'a')

    def test_message_of_an_earlier_start_is_ignored(self) -> None:
        made = view()
        made.record_heartbeat(vm('a', started_ms=9), VmReadiness.READY, 0)
        made.record_heartbeat(vm('a', started_ms=1), VmReadiness.LEAVING, 0)
        self.assertEqual(len(made.ready('nasr', 0)), 2)

    def test_told_vm_is_called_but_not_trusted(self) -> None:
        made = view()
        made.add_known_vms([vm('a')], 0)
        self.assertEqual(
            [one.name for one in made.heartbeat_targets('nasr')], ['a']
        )
        self.assertEqual(len(made.live_members(0)), 1)

    def test_old_digest_is_not_believed(self) -> None:
        made = view()
        digest = DomainDigest('giza', 0, ((vm('g'), VmReadiness.READY),))
        made.record_digest(digest)
        self.assertEqual(made.ranked('s', 'giza', 1)[0].name, 'g')
        late_s = MAX_DIGEST_AGE_S + 1
        self.assertEqual(made.ready('giza', late_s), ())
        self.assertEqual(made.ranked('s', 'giza', late_s), (made.own,))


class StoreTurnsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = new_read_schedule(2)

    def test_first_in_rank_reads(self) -> None:
        self.assertTrue(is_reader(('own', 'b'), 'own', {'b': 0}, self.schedule))

    def test_next_reads_only_when_the_first_is_stale(self) -> None:
        ranked = ('a', 'own')
        self.assertFalse(is_reader(ranked, 'own', {'a': 0.5}, self.schedule))
        self.assertTrue(is_reader(ranked, 'own', {'a': 1.5}, self.schedule))
        self.assertTrue(is_reader(ranked, 'own', {}, self.schedule))

    def test_take_over_ends_within_the_drain_bound(self) -> None:
        heartbeat_s = 0.25
        worst_s = (
            self.schedule.stale_after_s + heartbeat_s + self.schedule.period_s
        )
        self.assertLess(worst_s, 2)

    def test_failed_reads_slow_down(self) -> None:
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

    def test_callers_go_to_their_own_domain(self) -> None:
        self.assertEqual(self._names('nasr', {'cairo', 'alex'}), {'own', 'a'})
        self.assertEqual(self._names('smouha', {'cairo', 'alex'}), {'smouha'})

    def test_home_regions_bind_answers(self) -> None:
        self.assertEqual(
            self._names('smouha', {'cairo'}),
            {'own', 'a', 'giza'},
        )

    def test_lost_domain_is_served_by_its_region(self) -> None:
        made = view()
        found = choose_vms(
            made,
            _REGIONS,
            'giza',
            frozenset(('cairo',)),
            0,
        )
        self.assertEqual(found, (made.own,))

    def test_routes_of_a_host_bind_together(self) -> None:
        homes = frozenset(('cairo',))
        bound = route('/b/')
        both = (route('/a/'), _at_home(bound, homes))
        regions = frozenset(_REGIONS.values())
        self.assertEqual(allowed_regions(both, regions, {}), homes)
        self.assertEqual(allowed_regions(both[:1], regions, {}), regions)

    def test_routes_that_nobody_calls_do_not_bind(self) -> None:
        """Load pattern: idle routes with other homes on the same host."""
        cairo = _at_home(route('/b/'), frozenset(('cairo',)))
        alex = _at_home(route('/c/'), frozenset(('alex',)))
        regions = frozenset(_REGIONS.values())
        found = allowed_regions((cairo, alex), regions, {'/b/': 9, '/c/': 0.1})
        self.assertEqual(found, {'cairo'})
        self.assertEqual(allowed_regions((cairo, alex), regions, {}), set())

    def _names(self, domain: str, allowed: set[str]) -> set[str]:
        found = choose_vms(
            self.view,
            _REGIONS,
            domain,
            frozenset(allowed),
            0,
        )
        return {one.name for one in found}


def _at_home(plain: object, homes: frozenset[str]) -> object:
    return type(plain)(
        **{
            name: getattr(plain, name)
            for name in plain.__slots__
            if name != 'home_regions'
        },
        home_regions=homes,
    )


class HeardShareTest(unittest.TestCase):
    def test_parts_of_a_split_view_add_up_to_one(self) -> None:
        made = view()
        for name in ('a', 'b', 'c'):
            made.record_heartbeat(vm(name), VmReadiness.READY, 0)
        self.assertEqual(made.live_share(9, 0), 1)
        made.record_heartbeat(vm('a'), VmReadiness.READY, 5)
        self.assertEqual(made.live_share(9, 5), 1 / 2)

    def test_vm_that_has_just_started_takes_no_part(self) -> None:
        self.assertEqual(view().live_share(0.5, 0), 0)
