"""Requests permits for the calls of this VM from brokers, and releases them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from typing import Protocol as Interface

from turmericpost.fleet.messages import (
    CancelMessage,
    DenialMessage,
    FinishMessage,
    Message,
    PermitMessage,
    PermitRequestMessage,
    QueuedMessage,
)
from turmericpost.fleet.peers import PeerProtocol
from turmericpost.gateway.broker_service import (
    BrokerService,
    issuing_vm,
    read_permit_request,
)
from turmericpost.gateway.call_codec import ResponseInfo
from turmericpost.gateway.statement_exchange import StatementExchange
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.limits import UNLISTED_GRACE_S
from turmericpost_core.grants.permits import AttemptReport, DenialReason
from turmericpost_core.grants.pool_lead import pool_subject
from turmericpost_core.grants.rate_limits import RateLimitStatement
from turmericpost_core.membership.domain_view import Vm

PERMIT_REQUEST_RESEND_S = 0.05
"""Time without reply after which a permit request is resent to the same broker:
longer than a datagram takes between regions."""

BROKER_TIMEOUT_S = 0.16
"""Time without reply after which a permit request goes to the next VM in rank
instead of this broker."""

MAX_PERMIT_AGE_S = UNLISTED_GRACE_S
"""Time after which a permit must not be used for a new attempt any more: its
broker may have taken it back from a VM that does not list it."""

PENDING_CHECK_INTERVAL_S = 0.02
"""Interval at which permit requests without reply are checked."""


@dataclass(frozen=True, slots=True)
class PermitCriteria:
    """What a call requires of a permit.

    Times are monotonic seconds of this VM. ``rank`` 0 is the most urgent.
    ``may_wait`` lets the broker queue the request, ``may_redirect`` lets it
    deny the request if the call would be served better in another failure
    domain. ``excluded`` are ids of backend servers.
    """

    service: str
    failure_domain: str
    rank: int
    arrived_s: float
    objective_at_s: float
    deadline_at_s: float
    is_retry: bool = False
    may_wait: bool = True
    may_redirect: bool = False
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Permit:
    """Right to send one attempt of a call to a backend server.

    ``slowness_percent`` is 100 if the backend server works at its usual speed,
    according to its load report ``report_age_s`` seconds ago. ``expected_s`` is
    the expected duration of the attempt.
    """

    permit_id: str
    backend: Backend
    slowness_percent: float
    report_age_s: float
    expected_s: float

    @property
    def broker(self) -> str:
        """Name of the VM that issued the permit."""
        return issuing_vm(self.permit_id)


class PermitListener(Interface):
    """Receives the id of a permit request, and then its reply."""

    def permit_requested(self, permit_request_id: str) -> None:
        """Store the id with which the permit request can be cancelled.

        Called before any other method.
        """

    def permit_granted(self, permit: Permit) -> None:
        """Handle a permit, which must be released after its attempt."""

    def permit_denied(self, end: DenialReason, retry_after_s: float) -> None:
        """Handle a denial.

        A retry makes sense after ``retry_after_s`` seconds.
        """


class _PendingRequest:
    """A permit request without reply, and the broker that it was sent to."""

    def __init__(
        self,
        permit_request_id: str,
        criteria: PermitCriteria,
        listener: PermitListener,
    ) -> None:
        self.permit_request_id = permit_request_id
        self.criteria = criteria
        self.listener = listener
        self.broker: Vm | None = None
        self.last_reply_s = float(0)
        self.sent_s = float(0)
        self.tried_brokers: set[str] = set()

    def is_pending_at(self, broker_name: str) -> bool:
        """Return whether the request is pending at a broker.

        It is not pending at earlier brokers, which did not reply in time and
        were sent a cancellation.
        """
        return self.broker is not None and self.broker.name == broker_name


class PermitClient:
    """Requests permits from brokers and releases them after use."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        peers: PeerProtocol,
        broker_service: BrokerService,
        statements: StatementExchange,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._peers = peers
        self._broker_service = broker_service
        self._statements = statements
        self._own_vm = peers.view.own
        self._pending: dict[str, _PendingRequest] = {}
        self._held_permits: dict[str, Permit] = {}
        self._request_count = 0
        self._is_check_scheduled = False
        broker_service.local_listener = self

    def request_permit(
        self, criteria: PermitCriteria, listener: PermitListener
    ) -> None:
        """Request a permit.

        The listener may get the reply before this method returns.
        """
        self._request_count += 1
        own = self._own_vm
        permit_request_id = f'{own.name}.{own.started_ms}.{self._request_count}'
        pending = _PendingRequest(permit_request_id, criteria, listener)
        self._pending[permit_request_id] = pending
        listener.permit_requested(permit_request_id)
        self._send_to_next_broker(pending)

    def cancel(self, permit_request_id: str) -> None:
        """Cancel a pending permit request, also at its broker."""
        pending = self._pending.pop(permit_request_id, None)
        if pending is None or pending.broker is None:
            return
        if pending.broker.name == self._own_vm.name:
            self._broker_service.broker.cancel(permit_request_id)
        else:
            self._peers.send(pending.broker, CancelMessage(permit_request_id))

    def report(self, permit: Permit, report: AttemptReport) -> None:
        """Report an attempt's end to the broker, which releases its permit."""
        self._held_permits.pop(permit.permit_id, None)
        vm = self._find_vm(permit.broker)
        if vm is not None and vm.name != self._own_vm.name:
            self._peers.send(vm, FinishMessage(permit.permit_id, report))
        else:
            self._broker_service.release_permit(permit.permit_id, report)

    def record_rate_limit(
        self, permit: Permit, statement: RateLimitStatement
    ) -> None:
        """Record what a permit's backend server states, and tell the broker."""
        self._statements.record_limit(permit.backend, statement)
        self._send_statements(permit)

    def record_availability(self, permit: Permit, info: ResponseInfo) -> None:
        """Record whether a permit's server takes requests; tell the broker."""
        if self._statements.record_availability(permit.backend, info):
            self._send_statements(permit)

    def held_permits(self) -> Mapping[str, Mapping[str, str]]:
        """Return the permits held by this VM, by the VM to report them to.

        The values map permit ids to ids of backend servers. A permit is
        listed for the VM that issued it, and for the one that is the broker
        of the pool now if that has changed.
        """
        now_s = self._clock.monotonic_s()
        held_permits: defaultdict[str, dict[str, str]] = defaultdict(dict)
        for permit_id, permit in self._held_permits.items():
            current = self._current_broker(permit, now_s)
            held_permits[permit.broker][permit_id] = permit.backend.backend_id
            held_permits[current][permit_id] = permit.backend.backend_id
        return held_permits

    def message_received(self, message: Message) -> None:
        """Handle a message of a broker."""
        if isinstance(message, PermitMessage):
            self.permit_received(message)
        elif isinstance(message, DenialMessage):
            self.denial_received(message)
        elif isinstance(message, QueuedMessage):
            pending = self._pending.get(message.permit_request_id)
            if pending is not None:
                pending.last_reply_s = self._clock.monotonic_s()

    def permit_received(self, message: PermitMessage) -> None:
        """Pass a permit to its call, or cancel it if it is no longer needed."""
        permit = Permit(
            message.permit_id,
            message.backend,
            message.slowness_percent,
            message.report_age_s,
            message.expected_s,
        )
        pending = self._pending.get(message.permit_request_id)
        if pending is not None and self._may_use(permit, pending):
            self._pending.pop(message.permit_request_id)
            self._held_permits[permit.permit_id] = permit
            pending.listener.permit_granted(permit)
        elif permit.permit_id not in self._held_permits:
            vm = self._find_vm(permit.broker)
            if vm is not None:
                self._peers.send(vm, CancelMessage(message.permit_request_id))

    def denial_received(self, message: DenialMessage) -> None:
        """Pass a denial to its call."""
        pending = self._pending.pop(message.permit_request_id, None)
        if pending is not None:
            pending.listener.permit_denied(message.end, message.retry_after_s)

    def _send_statements(self, permit: Permit) -> None:
        vm = self._find_vm(permit.broker)
        if vm is not None and vm.name != self._own_vm.name:
            self._statements.send_backend(vm.host, vm.peer_port, permit.backend)

    def _may_use(self, permit: Permit, pending: _PendingRequest) -> bool:
        """Return whether a permit is the reply that the request waits for.

        A permit of another VM is too old if this VM was paused since the last
        reply of that VM.
        """
        if not pending.is_pending_at(permit.broker):
            return False
        silence_s = self._clock.monotonic_s() - pending.last_reply_s
        is_own = permit.broker == self._own_vm.name
        return is_own or silence_s <= MAX_PERMIT_AGE_S

    def _send_to_next_broker(self, pending: _PendingRequest) -> None:
        """Send a request to the first VM in rank that has not received it yet.

        If there is none, it goes to the broker of this VM.
        """
        now_s = self._clock.monotonic_s()
        criteria = pending.criteria
        ranked = self._rank_vms(
            criteria.service, criteria.failure_domain, now_s
        )
        untried = [vm for vm in ranked if vm.name not in pending.tried_brokers]
        pending.broker = untried[0] if untried else self._own_vm
        pending.tried_brokers.add(pending.broker.name)
        pending.last_reply_s = now_s
        self._send_to(pending, pending.broker, now_s)
        self._schedule_check()

    def _send_to(
        self, pending: _PendingRequest, broker: Vm, now_s: float
    ) -> None:
        pending.sent_s = now_s
        message = _permit_request_message(pending, now_s)
        if broker.name == self._own_vm.name:
            self._broker_service.request(read_permit_request(message, now_s))
        else:
            criteria = pending.criteria
            pool = (criteria.service, criteria.failure_domain)
            self._statements.send_pool(broker.host, broker.peer_port, pool)
            self._peers.send(broker, message)

    def _schedule_check(self) -> None:
        if self._pending and not self._is_check_scheduled:
            self._is_check_scheduled = True
            self._reactor.callLater(
                PENDING_CHECK_INTERVAL_S, self._check_pending
            )

    def _check_pending(self) -> None:
        """Resend requests without reply, or try the next VM in rank."""
        self._is_check_scheduled = False
        now_s = self._clock.monotonic_s()
        for pending in tuple(self._pending.values()):
            broker = pending.broker
            if broker is not None and broker.name != self._own_vm.name:
                self._check_broker(pending, broker, now_s)
        self._schedule_check()

    def _check_broker(
        self,
        pending: _PendingRequest,
        broker: Vm,
        now_s: float,
    ) -> None:
        if now_s - pending.last_reply_s > BROKER_TIMEOUT_S:
            self._peers.send(broker, CancelMessage(pending.permit_request_id))
            self._send_to_next_broker(pending)
        elif now_s - pending.sent_s > PERMIT_REQUEST_RESEND_S:
            self._send_to(pending, broker, now_s)

    def _current_broker(self, permit: Permit, now_s: float) -> str:
        """Return the name of the current broker of a permit's pool."""
        backend = permit.backend
        domain = backend.failure_domain
        return self._rank_vms(backend.service, domain, now_s)[0].name

    def _rank_vms(
        self,
        service: str,
        domain: str,
        now_s: float,
    ) -> tuple[Vm, ...]:
        return self._peers.view.ranked(
            pool_subject(service, domain), domain, now_s
        )

    def _find_vm(self, name: str) -> Vm | None:
        for vm in self._peers.view.known():
            if vm.name == name:
                return vm
        return None


def _permit_request_message(
    pending: _PendingRequest, now_s: float
) -> PermitRequestMessage:
    criteria = pending.criteria
    return PermitRequestMessage(
        permit_request_id=pending.permit_request_id,
        service=criteria.service,
        failure_domain=criteria.failure_domain,
        rank=criteria.rank,
        waited_s=now_s - criteria.arrived_s,
        objective_s=criteria.objective_at_s - now_s,
        deadline_s=criteria.deadline_at_s - now_s,
        is_retry=criteria.is_retry,
        may_wait=criteria.may_wait,
        may_redirect=criteria.may_redirect,
        excluded=tuple(criteria.excluded),
    )
