"""Tests of the order in which a call tries the failure domains."""

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
    def test_own_domain_then_own_region_then_others(self) -> None:
        order = domain_order(route('/'), _SLOTS, _REGIONS, 'nasr', 0)
        self.assertEqual(order[:2], ('nasr', 'giza'))
        self.assertEqual(set(order[2:]), {'smouha', 'am'})

    def test_only_domains_in_home_regions_are_tried(self) -> None:
        restricted_route = replace(
            route('/'), home_regions=frozenset(('cairo',))
        )
        order = domain_order(restricted_route, _SLOTS, _REGIONS, 'smouha', 0)
        self.assertEqual(set(order), {'nasr', 'giza'})

    def test_domain_without_servers_is_skipped(self) -> None:
        order = domain_order(route('/'), {'giza': 3}, _REGIONS, 'nasr', 0)
        self.assertEqual(order, ('giza',))

    def test_calls_to_another_region_are_spread_by_slots(self) -> None:
        restricted_route = replace(
            route('/'), home_regions=frozenset(('alex',))
        )
        first_domains = [
            domain_order(
                restricted_route, _SLOTS, _REGIONS, 'nasr', step / 100
            )[0]
            for step in range(100)
        ]
        self.assertEqual(first_domains.count('am'), 25)


class DomainRequestsTest(unittest.TestCase):
    def test_other_domains_are_tried_before_queueing(self) -> None:
        requests = list(domain_requests(('a', 'b')))
        self.assertEqual(
            requests,
            [
                DomainRequest('a', may_wait=True, may_redirect=True),
                DomainRequest('b', may_wait=False, may_redirect=False),
                DomainRequest('a', may_wait=True, may_redirect=False),
            ],
        )

    def test_a_single_domain_is_requested_once(self) -> None:
        requests = list(domain_requests(('a',)))
        self.assertEqual(
            requests, [DomainRequest('a', may_wait=True, may_redirect=False)]
        )
        self.assertEqual(list(domain_requests(())), [])
