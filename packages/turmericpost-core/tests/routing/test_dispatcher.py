"""Tests of the dispatcher: ownership, relaying, queueing and offers."""

from __future__ import annotations

import unittest
from random import Random

from tests.samples import DOMAINS, backend, document
from turmericpost_core.config.document import Service
from turmericpost_core.limits.backend_load import (
    WARM_SUCCESSES,
    AttemptResult,
    LoadReport,
    ReportedState,
)
from turmericpost_core.outcome.reasons import RefusalReason
from turmericpost_core.routing.balancer import Balancer
from turmericpost_core.routing.dispatcher import (
    OFFER_AFTER_S,
    Dispatcher,
    Enqueue,
    Refuse,
    RelayToOwner,
    StartAttempt,
)
from turmericpost_core.routing.facts import CallFacts, Location
from turmericpost_core.routing.ownership import Ownership
from turmericpost_core.routing.table import Route, RoutingTable


class _Call:
    account = 'church'
    can_be_offered = True

    def __init__(self, route: Route, waiting_since_s: float = 0) -> None:
        self.route = route
        self.tried_addresses: set[str] = set()
        self.offered: set[str] = set()
        self.waiting_since_s = waiting_since_s
        self.next_offer_s = waiting_since_s
        self.is_offered_by_peer = False
        self.is_relayed_by_peer = False


class DispatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        sample_document = document(
            backend(1),
            backend(2),
            failure_domains=DOMAINS,
            services=(Service('pressroom', slots=1, queue_per_slot=4),),
        )
        self.table = RoutingTable(
            sample_document, Location('cairo-a', 'cairo'), frozenset()
        )
        facts = CallFacts('pressroom', 'church', 'GET', '/')
        self.route = self.table.route(facts).unwrap()
        self.balancer = Balancer(Random(1))
        self.balancer.install(self.table)
        self.dispatcher: Dispatcher[_Call] = Dispatcher('me', self.balancer)
        self.dispatcher.install(self.table)
        self._set_owners('me', 'other')

    def _set_owners(self, first: str, second: str) -> None:
        owners = {'10.0.0.1:1': first, '10.0.0.1:2': second}
        self.dispatcher.update_ownership(Ownership(owners, {}, {}))

    def _warm(self, address: str = '10.0.0.1:1') -> None:
        report = LoadReport(1, 0, ReportedState.WARM, 1)
        self.balancer.record_report(address, report, 0)
        load = self.balancer.load_of(address)
        for _ in range(WARM_SUCCESSES):
            if load is not None:
                load.start()
                load.finish(AttemptResult.SUCCESS, 0.012, 0)

    def _occupy_first_server(self) -> None:
        self.balancer.start('10.0.0.1:1')

    def test_only_owned_servers_get_calls_from_this_vm(self) -> None:
        placement = self.dispatcher.place(_Call(self.route), 0)
        self.assertEqual(placement, StartAttempt(self.route.backends[0]))
        self._set_owners('other', 'other')
        placement = self.dispatcher.place(_Call(self.route), 0)
        self.assertEqual(placement, RelayToOwner('other'))

    def test_a_relayed_call_is_not_relayed_again(self) -> None:
        self._set_owners('other', 'other')
        call = _Call(self.route)
        call.is_relayed_by_peer = True
        self.assertEqual(
            self.dispatcher.place(call, 0),
            Refuse(RefusalReason.NO_FREE_SLOT),
        )

    def test_an_offered_call_is_refused_without_a_free_slot(self) -> None:
        self._occupy_first_server()
        call = _Call(self.route)
        self.assertEqual(self.dispatcher.place(call, 0), Enqueue())
        call.is_offered_by_peer = True
        self.assertEqual(
            self.dispatcher.place(call, 0),
            Refuse(RefusalReason.NO_FREE_SLOT),
        )

    def test_long_waiting_calls_are_offered_to_another_owner(self) -> None:
        self._warm()
        self._occupy_first_server()
        calls = [_Call(self.route, number / 1000) for number in range(3)]
        for call in calls:
            self.dispatcher.wait(call)
        late_s = OFFER_AFTER_S + 1
        self.assertIsNone(self.dispatcher.next_offer('pressroom', 0))
        offered = self.dispatcher.next_offer('pressroom', late_s)
        self.assertEqual(offered, (calls[0], 'other'))
        self.dispatcher.stop_waiting(calls[0])
        calls[0].offered.add('other')
        self.dispatcher.offer_refused(calls[0], late_s)
        second_offer = self.dispatcher.next_offer('pressroom', late_s)
        self.assertEqual(second_offer, (calls[1], 'other'))

    def test_a_refused_offer_keeps_its_place_in_the_queue(self) -> None:
        self._occupy_first_server()
        first, second = _Call(self.route, 0), _Call(self.route, 1)
        self.dispatcher.wait(second)
        self.dispatcher.offer_refused(first, 2)
        load = self.balancer.load_of('10.0.0.1:1')
        self.assertIsNotNone(load)
        if load is not None:
            self.balancer.finish(load, AttemptResult.SUCCESS, 0.01, 2)
        started = self.dispatcher.next_start('pressroom', 2)
        self.assertIs(started and started[0], first)

    def test_a_cold_server_gets_no_calls_during_handover(self) -> None:
        self.balancer.assign_owned(frozenset(('10.0.0.1:1',)), 2)
        self.assertEqual(
            self.dispatcher.place(_Call(self.route), 1.9), Enqueue()
        )
        placement = self.dispatcher.place(_Call(self.route), 2)
        self.assertEqual(placement, StartAttempt(self.route.backends[0]))

    def test_permission_to_warm_up_expires(self) -> None:
        self.balancer.allow_warm_up(until_s=1)
        placement = self.dispatcher.place(_Call(self.route), 1)
        self.assertIsInstance(placement, StartAttempt)
        after_pause = self.dispatcher.place(_Call(self.route), 1.1)
        self.assertEqual(after_pause, Enqueue())

    def test_handover_starts_again_after_ownership_was_cleared(self) -> None:
        owned = frozenset(('10.0.0.1:1',))
        self.balancer.assign_owned(owned, 0)
        self.balancer.assign_owned(owned, 5)
        placement = self.dispatcher.place(_Call(self.route), 1)
        self.assertIsInstance(placement, StartAttempt)
        self.balancer.clear_owned()
        self.balancer.assign_owned(owned, 5)
        self.assertEqual(self.dispatcher.place(_Call(self.route), 1), Enqueue())

    def test_cold_servers_get_no_calls_without_warm_up_permission(self) -> None:
        self.balancer.allow_warm_up(until_s=0)
        self.assertEqual(self.dispatcher.place(_Call(self.route), 1), Enqueue())
        self._warm()
        placement = self.dispatcher.place(_Call(self.route), 1)
        self.assertIsInstance(placement, StartAttempt)


if __name__ == '__main__':
    unittest.main()
