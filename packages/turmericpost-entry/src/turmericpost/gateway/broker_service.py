"""Runs the broker of this VM, which serves permit requests of all VMs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
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
from turmericpost.gateway.call_codec import ResponseInfo
from turmericpost.gateway.probes import BackendProber
from turmericpost.gateway.statement_exchange import StatementExchange
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.backend_state import BackendHealth
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.permits import (
    AttemptReport,
    Decision,
    PermitDenial,
    PermitGrant,
    PermitRequest,
    ProbeRequest,
    ReportedLoad,
)
from turmericpost_core.grants.rate_limits import RateLimitStatement

QUEUE_CHECK_INTERVAL_S = 0.02
"""Interval at which the broker checks whether queued permit requests can be
served: a third of the time for which a load report counts as fresh."""

MAX_REPORT_AGE_S = 9.0
"""Upper limit of the load report ages in messages, metrics and log lines.

It also stands for a backend server without a report.
"""


class LocalPermitListener(Interface):
    """Receives the broker's replies to permit requests of this VM."""

    def permit_received(self, message: PermitMessage) -> None:
        """Handle a permit for a request of this VM."""

    def denial_received(self, message: DenialMessage) -> None:
        """Handle the denial of a request of this VM."""


class BrokerService:
    """Passes messages to the broker and carries out its decisions.

    It sends permits and denials to the requesters and probes backend servers.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        broker: Broker,
        peers: PeerProtocol,
        prober: BackendProber,
        statements: StatementExchange,
    ) -> None:
        self.broker = broker
        self.local_listener: LocalPermitListener | None = None
        self._reactor = reactor
        self._clock = clock
        self._peers = peers
        self._prober = prober
        self._statements = statements
        self._own_name = peers.view.own.name
        self._requester_addresses: dict[str, tuple[str, int]] = {}
        self._is_check_scheduled = False
        prober.listener = self

    def request(self, request: PermitRequest) -> None:
        """Pass a permit request of this VM to the broker."""
        self._apply(self.broker.request(request, self._clock.monotonic_s()))
        self._schedule_queue_check()

    def release_permit(self, permit_id: str, report: AttemptReport) -> None:
        """Release a permit with the report of its attempt."""
        now_s = self._clock.monotonic_s()
        self._apply(self.broker.release_permit(permit_id, report, now_s))

    def held_permits_received(
        self, vm_name: str, held_permits: Mapping[str, str]
    ) -> None:
        """Reconcile the broker's permits with those that another VM holds.

        ``held_permits`` maps permit ids to ids of backend servers.
        """
        now_s = self._clock.monotonic_s()
        self.broker.reconcile_permits(vm_name, held_permits, now_s)
        self._apply(self.broker.decide(now_s))

    def vms_lost(self, names: Iterable[str]) -> None:
        """Release the permits of VMs that are lost."""
        now_s = self._clock.monotonic_s()
        for name in names:
            self.broker.release_lost_vm(name, now_s)
        self._apply(self.broker.decide(now_s))

    def message_received(self, host: str, message: Message) -> None:
        """Handle a message that another VM sent to the broker."""
        if isinstance(message, PermitRequestMessage):
            self._permit_request_received(host, message)
        elif isinstance(message, CancelMessage):
            self.broker.cancel(message.permit_request_id)
        elif isinstance(message, FinishMessage):
            self.release_permit(message.permit_id, message.attempt_report)

    def evict_expired(self) -> None:
        """Remove expired permits and old permit requests from the broker."""
        now_s = self._clock.monotonic_s()
        self.broker.expire(now_s)
        self.broker.forget_old_requests(now_s)

    def record_probe(
        self,
        backend_id: str,
        reported_load: ReportedLoad | None,
        *,
        is_healthy: bool,
    ) -> None:
        """Pass the result of a probe to the broker."""
        now_s = self._clock.monotonic_s()
        self._apply(
            self.broker.record_probe(
                backend_id,
                reported_load,
                now_s,
                is_healthy=is_healthy,
            ),
        )

    def record_statements(self, backend: Backend, info: ResponseInfo) -> None:
        """Record what a server states in its response to a probe."""
        if info.requests_per_s is not None:
            now_s = self._clock.monotonic_s()
            self._statements.record_limit(
                backend, RateLimitStatement(info.requests_per_s, now_s)
            )
        self._statements.record_availability(backend, info)

    def closed_counts(self) -> dict[str, float]:
        """Return how many backend servers leave and how many are paused."""
        now_s = self._clock.monotonic_s()
        healths = Counter(
            backend_state.health(now_s)
            for backend_state in self.broker.backend_states()
        )
        return {
            'servers_leaving': healths[BackendHealth.LEAVING],
            'servers_paused': healths[BackendHealth.PAUSED],
            **{
                f'server_statements_{kind}': count
                for kind, count in self._statements.counts.items()
            },
        }

    def record_probe_failure(self, backend_id: str) -> None:
        """Record a probe that got no valid response."""
        self.broker.record_probe_failure(backend_id, self._clock.monotonic_s())

    def _permit_request_received(
        self, host: str, message: PermitRequestMessage
    ) -> None:
        now_s = self._clock.monotonic_s()
        request = read_permit_request(message, now_s)
        self._requester_addresses[request.permit_request_id] = (
            host,
            self._peers.view.own.peer_port,
        )
        decisions = self.broker.request(request, now_s)
        if not any(
            _is_reply_to(decision, request.permit_request_id)
            for decision in decisions
        ):
            self._reply(
                request.permit_request_id,
                QueuedMessage(request.permit_request_id),
            )
        self._apply(decisions)
        self._schedule_queue_check()

    def _apply(self, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeRequest):
                self._prober.send(decision.backend)
            elif isinstance(decision, PermitGrant):
                self._send_grant(decision)
            else:
                self._send_denial(decision)

    def _send_grant(self, grant: PermitGrant) -> None:
        message = PermitMessage(
            grant.request.permit_request_id,
            grant.permit_id,
            grant.backend,
            grant.slowness_percent,
            min(grant.report_age_s, MAX_REPORT_AGE_S),
            grant.expected_s,
        )
        if grant.request.requester != self._own_name:
            address = self._requester_addresses.get(
                grant.request.permit_request_id
            )
            if address is not None:
                self._statements.send_backend(*address, grant.backend)
            self._reply(grant.request.permit_request_id, message)
        elif self.local_listener is not None:
            self.local_listener.permit_received(message)

    def _send_denial(self, denial: PermitDenial) -> None:
        message = DenialMessage(
            denial.request.permit_request_id,
            denial.reason,
            denial.retry_after_s,
        )
        if denial.request.requester != self._own_name:
            self._reply(denial.request.permit_request_id, message)
        elif self.local_listener is not None:
            self.local_listener.denial_received(message)

    def _reply(self, permit_request_id: str, message: Message) -> None:
        address = self._requester_addresses.get(permit_request_id)
        if address is not None:
            self._peers.send_to(*address, message)
        if not isinstance(message, QueuedMessage):
            self._requester_addresses.pop(permit_request_id, None)

    def _schedule_queue_check(self) -> None:
        if self.broker.has_waiting and not self._is_check_scheduled:
            self._is_check_scheduled = True
            self._reactor.callLater(QUEUE_CHECK_INTERVAL_S, self._check_queue)

    def _check_queue(self) -> None:
        self._is_check_scheduled = False
        self._apply(self.broker.decide(self._clock.monotonic_s()))
        self._schedule_queue_check()


def issuing_vm(issued_id: str) -> str:
    """Return the name of the VM that issued a permit request or a permit.

    Both kinds of ids begin with that name, followed by a dot.
    """
    return issued_id.partition('.')[0]


def read_permit_request(
    message: PermitRequestMessage, now_s: float
) -> PermitRequest:
    """Return the permit request of a message, with times of this VM's clock.

    Messages carry durations, which are converted to monotonic seconds.
    """
    return PermitRequest(
        permit_request_id=message.permit_request_id,
        requester=issuing_vm(message.permit_request_id),
        service=message.service,
        failure_domain=message.failure_domain,
        rank=message.rank,
        arrived_s=now_s - message.waited_s,
        requested_s=now_s,
        objective_at_s=now_s + message.objective_s,
        deadline_at_s=now_s + message.deadline_s,
        is_retry=message.is_retry,
        may_wait=message.may_wait,
        may_redirect=message.may_redirect,
        excluded=frozenset(message.excluded),
    )


def _is_reply_to(decision: Decision, permit_request_id: str) -> bool:
    """Return whether the decision grants or denies the permit request."""
    if isinstance(decision, ProbeRequest):
        return False
    return decision.request.permit_request_id == permit_request_id
