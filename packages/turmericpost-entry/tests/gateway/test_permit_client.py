"""Permit requests: brokers that do not reply, late permits, held permits."""

from __future__ import annotations

import unittest
from dataclasses import replace
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
    RateLimitsMessage,
    StatedRateLimit,
)
from turmericpost.gateway.permit_client import (
    BROKER_TIMEOUT_S,
    PERMIT_REQUEST_RESEND_S,
    Permit,
    PermitClient,
    PermitCriteria,
)
from turmericpost.gateway.statement_exchange import StatementExchange
from turmericpost_core.grants.availability import AvailabilityTable
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    DenialReason,
)
from turmericpost_core.grants.rate_limits import (
    RateLimitStatement,
    RateLimitTable,
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

    def send_to(self, host: str, _port: int, message: Any) -> None:
        self.sent.append((host, message))


class FakeBrokerService:
    def __init__(self) -> None:
        self.local_listener: Any = None
        self.requests: list[Any] = []
        self.released: list[str] = []

    def request(self, request: Any) -> None:
        self.requests.append(request)

    def release_permit(self, permit_id: str, _report: AttemptReport) -> None:
        self.released.append(permit_id)


class FakeListener:
    def __init__(self) -> None:
        self.request_ids: list[str] = []
        self.permits: list[Any] = []
        self.denials: list[DenialReason] = []

    def permit_requested(self, permit_request_id: str) -> None:
        self.request_ids.append(permit_request_id)

    def permit_granted(self, permit: Any) -> None:
        self.permits.append(permit)

    def permit_denied(self, end: DenialReason, _retry_after_s: float) -> None:
        self.denials.append(end)


class PermitClientTest(unittest.TestCase):
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
        self.broker_service = FakeBrokerService()
        self.statements = StatementExchange(
            self.clock, self.peers, RateLimitTable(), AvailabilityTable()
        )
        self.client = PermitClient(
            self.reactor,
            self.clock,
            self.peers,
            self.broker_service,
            self.statements,
        )
        self.listener = FakeListener()
        now_s = self.clock.monotonic_s()
        ranked = view.ranked('press@nasr', 'nasr', now_s)
        self.ranked = [broker.name for broker in ranked if broker.name != 'own']
        service = 'press'
        if ranked[0].name == 'own':
            service = self._service_with_another_broker(now_s)
        self.criteria = PermitCriteria(
            service, 'nasr', 1, now_s, now_s + 1, now_s + 2
        )

    def test_request_goes_to_the_first_vm_in_rank(self) -> None:
        self.client.request_permit(self.criteria, self.listener)
        ((name, message),) = self.peers.sent
        self.assertEqual(name, self.first_broker)
        self.assertIsInstance(message, PermitRequestMessage)

    def test_request_without_reply_is_resent_and_then_goes_to_the_next_vm(
        self,
    ) -> None:
        self.client.request_permit(self.criteria, self.listener)
        self._advance(PERMIT_REQUEST_RESEND_S + 2 * _STEP_S)
        requests = [name for name, _ in self.peers.sent]
        self.assertEqual(set(requests), {self.first_broker})
        self.assertGreater(len(requests), 1)
        self._advance(BROKER_TIMEOUT_S)
        self.assertIn(
            (self.first_broker, CancelMessage(self.listener.request_ids[0])),
            self.peers.sent,
        )
        names = {name for name, _ in self.peers.sent}
        self.assertTrue(len(names) > 1 or self.broker_service.requests)

    def test_permit_of_a_broker_that_timed_out_is_not_used(self) -> None:
        """The request was cancelled there.

        The broker therefore does not count the permit.
        """
        self.client.request_permit(self.criteria, self.listener)
        self._advance(PERMIT_REQUEST_RESEND_S + BROKER_TIMEOUT_S + 4 * _STEP_S)
        self.client.message_received(self._permit())
        self.assertEqual(self.listener.permits, [])

    # Guards against a VM that was paused and uses a permit that its broker has
    # taken back meanwhile: the permit is read before any timer runs.
    def test_permit_read_after_a_pause_is_not_used(self) -> None:
        self.client.request_permit(self.criteria, self.listener)
        broker, permit = self.first_broker, self._permit()
        self.clock.pause(1.5)
        self.client.message_received(permit)
        self.assertEqual(self.listener.permits, [])
        self.assertIn(
            (broker, CancelMessage(self.listener.request_ids[0])),
            self.peers.sent,
        )

    def test_permit_after_a_short_delay_is_used(self) -> None:
        self.client.request_permit(self.criteria, self.listener)
        self.clock.pause(0.3)
        self.client.message_received(self._permit())
        self.assertEqual(len(self.listener.permits), 1)

    def test_permit_of_this_vm_is_used_however_long_it_was_queued(self) -> None:
        self.view.own_readiness = VmReadiness.READY
        for name in ('a', 'b', 'c'):
            self.view.record_heartbeat(
                vm(name), VmReadiness.LEAVING, self.clock.monotonic_s()
            )
        self.client.request_permit(self.criteria, self.listener)
        self.assertEqual(len(self.broker_service.requests), 1)
        permit = self._permit()
        self._advance(1)
        self.client.permit_received(permit)
        self.assertEqual(len(self.listener.permits), 1)

    def test_broker_that_queued_the_request_does_not_time_out(self) -> None:
        self.client.request_permit(self.criteria, self.listener)
        for _ in range(10):
            self.client.message_received(
                QueuedMessage(self.listener.request_ids[0])
            )
            self._advance(0.1)
        self.assertEqual(
            {name for name, _ in self.peers.sent}, {self.first_broker}
        )

    def test_permit_is_held_until_it_is_released(self) -> None:
        self.client.request_permit(self.criteria, self.listener)
        self.client.message_received(self._permit())
        (permit,) = self.listener.permits
        held_permits = self.client.held_permits()
        self.assertEqual(
            held_permits[self.first_broker], {permit.permit_id: 'b1'}
        )
        report = AttemptReport(AttemptOutcome.SUCCESS, 0.1)
        self.client.report(permit, report)
        self.assertEqual(self.client.held_permits(), {})
        self.assertIn(
            (self.first_broker, FinishMessage(permit.permit_id, report)),
            self.peers.sent,
        )

    # Guards against a broker that has just started or taken over and grants
    # permits without knowing the limits that the requesters have seen.
    def test_known_limits_are_sent_ahead_of_a_permit_request(self) -> None:
        now_s = self.clock.monotonic_s()
        permit = self._held_permit()
        self.client.record_rate_limit(permit, RateLimitStatement(2.5, now_s))
        self.reactor.advance(1)
        self.peers.sent.clear()
        self.client.request_permit(self.criteria, self.listener)
        (limits, request) = [message for _, message in self.peers.sent]
        self.assertEqual(
            limits,
            RateLimitsMessage(
                self.criteria.service,
                'nasr',
                (StatedRateLimit('b1', 1, 2.5, 1),),
            ),
        )
        self.assertIsInstance(request, PermitRequestMessage)

    def test_broker_is_told_when_a_limit_has_ended(self) -> None:
        now_s = self.clock.monotonic_s()
        permit = self._held_permit()
        self.statements.record_limit(
            permit.backend, RateLimitStatement(2, now_s)
        )
        self.reactor.advance(1)
        self.peers.sent.clear()
        self.client.record_rate_limit(
            permit, RateLimitStatement(None, now_s + 1)
        )
        ((name, message),) = self.peers.sent
        self.assertEqual(name, self.first_broker)
        self.assertIsNone(message.limits[0].requests_per_s)

    def test_server_without_a_limit_needs_no_message(self) -> None:
        permit = self._held_permit()
        self.peers.sent.clear()
        self.client.record_rate_limit(permit, RateLimitStatement(None, 1))
        self.assertEqual(self.peers.sent, [])

    def test_duplicate_permit_message_is_ignored(self) -> None:
        self.client.request_permit(self.criteria, self.listener)
        self.client.message_received(self._permit())
        self.client.message_received(self._permit())
        self.assertEqual(len(self.listener.permits), 1)

    def test_permit_for_a_cancelled_request_is_cancelled(self) -> None:
        self.client.request_permit(self.criteria, self.listener)
        self.client.cancel(self.listener.request_ids[0])
        self.client.message_received(self._permit())
        self.assertEqual(self.listener.permits, [])
        cancels = [
            message
            for name, message in self.peers.sent
            if name == self.first_broker and isinstance(message, CancelMessage)
        ]
        self.assertEqual(len(cancels), 2)

    def test_denial_is_passed_to_the_call(self) -> None:
        self.client.request_permit(self.criteria, self.listener)
        denial = DenialMessage(
            self.listener.request_ids[0], DenialReason.OTHER_DOMAIN, 0
        )
        self.client.message_received(denial)
        self.assertEqual(self.listener.denials, [DenialReason.OTHER_DOMAIN])
        self._advance(1)
        self.assertEqual(len(self.peers.sent), 1)

    @property
    def first_broker(self) -> str:
        service = self.criteria.service
        subject = f'{service}@nasr'
        now_s = self.clock.monotonic_s()
        return self.view.ranked(subject, 'nasr', now_s)[0].name

    def _service_with_another_broker(self, now_s: float) -> str:
        """Return a service whose pool has another VM as its broker."""
        for number in range(100):
            service = f'press{number}'
            subject = f'{service}@nasr'
            ranked = self.view.ranked(subject, 'nasr', now_s)
            if ranked[0].name != 'own':
                return service
        raise AssertionError('every broker is this VM')

    def _held_permit(self) -> Permit:
        self.client.request_permit(self.criteria, self.listener)
        permit_message = replace(
            self._permit(),
            backend=replace(backend(1), service=self.criteria.service),
        )
        self.client.message_received(permit_message)
        (permit,) = self.listener.permits
        return permit

    def _permit(self) -> PermitMessage:
        return PermitMessage(
            self.listener.request_ids[0],
            '.'.join((self.first_broker, '5/1')),
            backend(1),
            100,
            0,
            0.2,
        )

    def _advance(self, seconds: float) -> None:
        for _ in range(round(seconds / _STEP_S)):
            self.reactor.advance(_STEP_S)
            now_s = self.clock.monotonic_s()
            for name in ('a', 'b', 'c'):
                self.view.record_heartbeat(vm(name), VmReadiness.READY, now_s)
