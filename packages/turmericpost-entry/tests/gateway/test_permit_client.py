"""Asking for permits: silent brokers, late permits, what is held."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from tests.gateway.call_harness import backend
from tests.harness import FakeClock
from turmericpost.fleet.messages import (
    CancelMessage,
    DenialMessage,
    FinishMessage,
    PermitMessage,
    PermitRequestMessage,
    QueuedMessage,
)
from turmericpost.gateway.permit_client import (
    BROKER_TIMEOUT_S,
    PERMIT_REQUEST_RESEND_S,
    PermitClient,
    PermitCriteria,
)
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    DenialReason,
)
from turmericpost_core.membership.domain_view import DomainView, Vm, VmReadiness

_STEP_S = 0.02


def vm(name: str) -> Vm:
    return Vm(name, name, 7540, f'{name}:80', 'nasr', 'cairo', 5)


class FakePeers:
    def __init__(self, view: DomainView) -> None:
        self.view = view
        self.sent: list[tuple[str, Any]] = []

    def send(self, to: Vm, message: Any) -> None:
        self.sent.append((to.name, message))


class FakeBrokerDesk:
    def __init__(self) -> None:
        self.own_asks: Any = None
        self.asked: list[Any] = []
        self.ended: list[str] = []

    def request(self, request: Any) -> None:
        self.asked.append(request)

    def release_permit(self, permit_id: str, _finish: AttemptReport) -> None:
        self.ended.append(permit_id)


class Taker:
    def __init__(self) -> None:
        self.ask_ids: list[str] = []
        self.permits: list[Any] = []
        self.denials: list[DenialReason] = []

    def asked(self, permit_request_id: str) -> None:
        self.ask_ids.append(permit_request_id)

    def permitted(self, permit: Any) -> None:
        self.permits.append(permit)

    def denied(self, end: DenialReason, _retry_after_s: float) -> None:
        self.denials.append(end)


class PermitDeskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.clock = FakeClock(self.reactor)
        view = DomainView(vm('own'))
        for name in ('a', 'b', 'c'):
            view.record_heartbeat(
                vm(name), VmReadiness.READY, self.clock.monotonic_s()
            )
        self.view = view
        self.peers = FakePeers(view)
        self.broker_service = FakeBrokerDesk()
        self.desk = PermitClient(
            self.reactor,
            self.clock,
            self.peers,
            self.broker_service,
        )
        self.taker = Taker()
        now_s = self.clock.monotonic_s()
        ranked = view.ranked('press@nasr', 'nasr', now_s)
        self.ranked = [one.name for one in ranked if one.name != 'own']
        service = 'press'
        if ranked[0].name == 'own':
            service = self._service_of_another(now_s)
        self.wish = PermitCriteria(
            service, 'nasr', 1, now_s, now_s + 1, now_s + 2
        )

    def test_ask_goes_to_the_first_in_rank(self) -> None:
        self.desk.ask(self.wish, self.taker)
        ((name, message),) = self.peers.sent
        self.assertEqual(name, self.first)
        self.assertIsInstance(message, PermitRequestMessage)

    def test_ask_is_sent_again_and_then_to_the_next(self) -> None:
        self.desk.ask(self.wish, self.taker)
        self._pass(PERMIT_REQUEST_RESEND_S + 2 * _STEP_S)
        asked = [name for name, _ in self.peers.sent]
        self.assertEqual(set(asked), {self.first})
        self.assertGreater(len(asked), 1)
        self._pass(BROKER_TIMEOUT_S)
        self.assertIn(
            (self.first, CancelMessage(self.taker.ask_ids[0])),
            self.peers.sent,
        )
        names = {name for name, _ in self.peers.sent}
        self.assertTrue(len(names) > 1 or self.broker_service.asked)

    def test_permit_of_a_broker_given_up_is_not_used(self) -> None:
        """It was taken back there, so nobody counts its call."""
        self.desk.ask(self.wish, self.taker)
        self._pass(PERMIT_REQUEST_RESEND_S + BROKER_TIMEOUT_S + 4 * _STEP_S)
        self.desk.received(self._permit())
        self.assertEqual(self.taker.permits, [])

    def test_broker_that_says_it_queued_the_ask_is_kept(self) -> None:
        self.desk.ask(self.wish, self.taker)
        for _ in range(10):
            self.desk.received(QueuedMessage(self.taker.ask_ids[0]))
            self._pass(0.1)
        self.assertEqual({name for name, _ in self.peers.sent}, {self.first})

    def test_permit_is_held_until_it_is_given_back(self) -> None:
        self.desk.ask(self.wish, self.taker)
        self.desk.received(self._permit())
        (permit,) = self.taker.permits
        held_permits = self.desk.held_permits()
        self.assertEqual(held_permits[self.first], {permit.permit_id: 'b1'})
        finish = AttemptReport(AttemptOutcome.SUCCESS, 0.1)
        self.desk.finish(permit, finish)
        self.assertEqual(self.desk.held_permits(), {})
        self.assertIn(
            (self.first, FinishMessage(permit.permit_id, finish)),
            self.peers.sent,
        )

    def test_permit_that_comes_twice_counts_once(self) -> None:
        self.desk.ask(self.wish, self.taker)
        self.desk.received(self._permit())
        self.desk.received(self._permit())
        self.assertEqual(len(self.taker.permits), 1)

    def test_permit_for_nobody_goes_back(self) -> None:
        self.desk.ask(self.wish, self.taker)
        self.desk.cancel(self.taker.ask_ids[0])
        self.desk.received(self._permit())
        self.assertEqual(self.taker.permits, [])
        backs = [
            message
            for name, message in self.peers.sent
            if name == self.first and isinstance(message, CancelMessage)
        ]
        self.assertEqual(len(backs), 2)

    def test_denial_reaches_the_call(self) -> None:
        self.desk.ask(self.wish, self.taker)
        denial = DenialMessage(
            self.taker.ask_ids[0], DenialReason.OTHER_DOMAIN, 0
        )
        self.desk.received(denial)
        self.assertEqual(self.taker.denials, [DenialReason.OTHER_DOMAIN])
        self._pass(1)
        self.assertEqual(len(self.peers.sent), 1)

    @property
    def first(self) -> str:
        service = self.wish.service
        subject = f'{service}@nasr'
        now_s = self.clock.monotonic_s()
        return self.view.ranked(subject, 'nasr', now_s)[0].name

    def _service_of_another(self, now_s: float) -> str:
        """Return a service whose broker is another VM."""
        for number in range(100):
            service = f'press{number}'
            subject = f'{service}@nasr'
            ranked = self.view.ranked(subject, 'nasr', now_s)
            if ranked[0].name != 'own':
                return service
        raise AssertionError('every broker is this VM')

    def _permit(self) -> PermitMessage:
        return PermitMessage(
            self.taker.ask_ids[0],
            '.'.join((self.first, '5/1')),
            backend(1),
            100,
            0,
            0.2,
        )

    def _pass(self, seconds: float) -> None:
        for _ in range(round(seconds / _STEP_S)):
            self.reactor.advance(_STEP_S)
            now_s = self.clock.monotonic_s()
            for name in ('a', 'b', 'c'):
                self.view.record_heartbeat(vm(name), VmReadiness.READY, now_s)
