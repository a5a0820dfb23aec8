"""Tests of routing: selectors, labels, home regions, domains out of service."""

from __future__ import annotations

import unittest

from tests.samples import backend, document
from turmericpost_core.config.document import (
    Effect,
    RequestSelector,
    Selector,
)
from turmericpost_core.outcome.reasons import RefusalReason
from turmericpost_core.routing.facts import CallFacts, Location
from turmericpost_core.routing.table import Exclusion, RoutingTable

_CAIRO = Location('cairo-a', 'cairo')
_ALEX = Location('alex-a', 'alexandria')


def _call(
    account: str = 'church',
    method: str = 'GET',
    path: str = '/',
    regions: frozenset[str] | None = None,
) -> CallFacts:
    return CallFacts('pressroom', account, method, path, regions)


def _ports(table: RoutingTable, call: CallFacts) -> list[int]:
    return [one.port for one in table.route(call).unwrap().backends]


class RoutingTest(unittest.TestCase):
    def test_own_region_is_preferred(self) -> None:
        table = RoutingTable(document(), _CAIRO, frozenset())
        self.assertEqual(_ports(table, _call()), [1])

    def test_other_regions_serve_if_the_own_domain_is_out_of_service(
        self,
    ) -> None:
        table = RoutingTable(document(), _CAIRO, frozenset(('cairo-a',)))
        self.assertEqual(_ports(table, _call()), [2])

    def test_home_regions_apply_even_if_no_server_remains(self) -> None:
        table = RoutingTable(document(), _CAIRO, frozenset(('cairo-a',)))
        route = table.route(_call('mosque')).unwrap()
        self.assertEqual(route.backends, ())
        self.assertEqual(
            {one.exclusion for one in route.excluded},
            {Exclusion.DOMAIN_OUT_OF_SERVICE, Exclusion.OUTSIDE_HOME_REGIONS},
        )

    def test_vm_outside_the_home_regions_refuses_the_call(self) -> None:
        table = RoutingTable(document(), _ALEX, frozenset())
        refusal_reason = table.route(_call('mosque')).unwrap_err()
        self.assertIs(refusal_reason, RefusalReason.OUTSIDE_HOME_REGIONS)

    def test_requested_regions_only_narrow_the_home_regions(self) -> None:
        table = RoutingTable(document(), _CAIRO, frozenset())
        wider_request = _call(
            'mosque', regions=frozenset(('cairo', 'alexandria'))
        )
        self.assertEqual(_ports(table, wider_request), [1])
        other = _call('mosque', regions=frozenset(('alexandria',)))
        refusal_reason = table.route(other).unwrap_err()
        self.assertIs(refusal_reason, RefusalReason.OUTSIDE_HOME_REGIONS)

    def test_selectors_allow_and_deny_by_labels(self) -> None:
        selectors = (
            Selector(
                'proofs',
                RequestSelector(path_prefix='/proof'),
                backend_labels={'use': 'proof'},
            ),
            Selector(
                'no-gold-on-old',
                RequestSelector(account_labels={'tier': 'gold'}),
                effect=Effect.DENY,
                backend_labels={'age': 'old'},
            ),
        )
        labelled = document(
            backend(1, use='proof', age='old'),
            backend(2, use='proof'),
            backend(3),
            selectors=selectors,
        )
        table = RoutingTable(labelled, _CAIRO, frozenset())
        self.assertEqual(_ports(table, _call(path='/proof/7')), [2])
        self.assertEqual(_ports(table, _call(path='/proofs')), [2, 3])
        self.assertEqual(_ports(table, _call('mosque', path='/x')), [1, 2, 3])

    def test_selectors_override_idempotency(self) -> None:
        selector = Selector(
            'orders',
            RequestSelector(methods=('PUT',), path_prefix='/order'),
            idempotent=False,
        )
        table = RoutingTable(
            document(selectors=(selector,)), _CAIRO, frozenset()
        )
        put = table.route(_call(method='PUT', path='/order')).unwrap()
        other = table.route(_call(method='PUT', path='/other')).unwrap()
        post = table.route(_call(method='POST')).unwrap()
        self.assertEqual(
            (put.idempotent, other.idempotent, post.idempotent),
            (False, True, False),
        )

    def test_unknown_accounts_and_services_are_refused(self) -> None:
        table = RoutingTable(document(), _CAIRO, frozenset())
        unknown_account_reason = table.route(_call('stranger')).unwrap_err()
        self.assertIs(unknown_account_reason, RefusalReason.UNKNOWN_ACCOUNT)
        service = table.route(CallFacts('nope', 'church', 'GET', '/'))
        self.assertIs(service.unwrap_err(), RefusalReason.UNKNOWN_SERVICE)


if __name__ == '__main__':
    unittest.main()
