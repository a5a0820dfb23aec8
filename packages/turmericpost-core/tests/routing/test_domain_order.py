"""Order of the failure domains that a call tries."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tests.fleet.test_state import route
from turmericpost_core.routing.domain_order import domain_order
from turmericpost_core.routing.domain_requests import (
    DomainRequest,
    domain_requests,
)

_REGIONS = {'nasr': 'cairo', 'giza': 'cairo', 'smouha': 'alex', 'am': 'alex'}
_SLOTS = {'nasr': 6, 'giza': 6, 'smouha': 9, 'am': 3}


class DomainOrderTest(unittest.TestCase):
    def test_own_domain_then_own_region_then_the_rest(self) -> None:
        order = domain_order(route('/'), _SLOTS, _REGIONS, 'nasr', 0)
        self.assertEqual(order[:2], ('nasr', 'giza'))
        self.assertEqual(set(order[2:]), {'smouha', 'am'})

    def test_home_regions_bind(self) -> None:
        bound = replace(route('/'), home_regions=frozenset(('cairo',)))
        order = domain_order(bound, _SLOTS, _REGIONS, 'smouha', 0)
        self.assertEqual(set(order), {'nasr', 'giza'})

    def test_domain_without_servers_is_left_out(self) -> None:
        order = domain_order(route('/'), {'giza': 3}, _REGIONS, 'nasr', 0)
        self.assertEqual(order, ('giza',))

    def test_calls_from_elsewhere_spread_by_slots(self) -> None:
        bound = replace(route('/'), home_regions=frozenset(('alex',)))
        firsts = [
            domain_order(bound, _SLOTS, _REGIONS, 'nasr', step / 100)[0]
            for step in range(100)
        ]
        self.assertEqual(firsts.count('am'), 25)


class DomainTourTest(unittest.TestCase):
    def test_others_are_asked_before_the_wait(self) -> None:
        stops = list(domain_requests(('a', 'b')))
        self.assertEqual(
            stops,
            [
                DomainRequest('a', may_wait=True, may_redirect=True),
                DomainRequest('b', may_wait=False, may_redirect=False),
                DomainRequest('a', may_wait=True, may_redirect=False),
            ],
        )

    def test_the_only_domain_is_waited_at(self) -> None:
        stops = list(domain_requests(('a',)))
        self.assertEqual(
            stops, [DomainRequest('a', may_wait=True, may_redirect=False)]
        )
        self.assertEqual(list(domain_requests(())), [])
