"""The broker of this VM: asks of its own calls and of other VMs' calls."""

from __future__ import annotations

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
from turmericpost.gateway.probes import BackendProber
from turmericpost_core.clock import Clock
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

QUEUE_CHECK_INTERVAL_S = 0.02
"""Pause between looks at waiting asks: a third of a report's freshness."""

MAX_REPORT_AGE_S = 9.0
"""Age told of a report that never came."""


class OwnAsks(Interface):
    """The asks of this VM's own calls."""

    def permit_came(self, message: PermitMessage) -> None:
        """Take a permit."""

    def denial_came(self, message: DenialMessage) -> None:
        """Take a denial."""


class BrokerService:
    """Carries out what the broker decides."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        broker: Broker,
        peers: PeerProtocol,
        probes: BackendProber,
    ) -> None:
        self.broker = broker
        self.own_asks: OwnAsks | None = None
        self._reactor = reactor
        self._clock = clock
        self._peers = peers
        self._probes = probes
        self._own_name = peers.view.own.name
        self._askers: dict[str, tuple[str, int]] = {}
        self._is_reviewing = False
        probes.taker = self

    def request(self, request: PermitRequest) -> None:
        """Take an ask of a call of this VM."""
        self._carry_out(self.broker.request(request, self._clock.monotonic_s()))
        self._review_soon()

    def release_permit(self, permit_id: str, finish: AttemptReport) -> None:
        """Take back a permit."""
        now_s = self._clock.monotonic_s()
        self._carry_out(self.broker.release_permit(permit_id, finish, now_s))

    def held_permits_received(
        self, vm_name: str, held_permits: Mapping[str, str]
    ) -> None:
        """Take what another VM says it holds."""
        now_s = self._clock.monotonic_s()
        self.broker.reconcile_permits(vm_name, held_permits, now_s)
        self._carry_out(self.broker.decide(now_s))

    def vms_lost(self, names: Iterable[str]) -> None:
        """Free what lost VMs held."""
        now_s = self._clock.monotonic_s()
        for name in names:
            self.broker.release_lost_vm(name, now_s)
        self._carry_out(self.broker.decide(now_s))

    def received(self, host: str, message: Message) -> None:
        """Act on a message of another VM to the broker."""
        if isinstance(message, PermitRequestMessage):
            self._asked(host, message)
        elif isinstance(message, CancelMessage):
            self.broker.cancel(message.permit_request_id)
        elif isinstance(message, FinishMessage):
            self.release_permit(message.permit_id, message.finish)

    def sweep(self) -> None:
        """Forget what is long over."""
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
        """Take the answer to a probe."""
        now_s = self._clock.monotonic_s()
        self._carry_out(
            self.broker.record_probe(
                backend_id,
                reported_load,
                now_s,
                is_healthy=is_healthy,
            ),
        )

    def record_probe_failure(self, backend_id: str) -> None:
        """Note a probe without an answer."""
        self.broker.record_probe_failure(backend_id, self._clock.monotonic_s())

    def _asked(self, host: str, message: PermitRequestMessage) -> None:
        now_s = self._clock.monotonic_s()
        request = read_ask(message, now_s)
        self._askers[request.permit_request_id] = (
            host,
            self._peers.view.own.peer_port,
        )
        decisions = self.broker.request(request, now_s)
        if not any(_ends(one, request.permit_request_id) for one in decisions):
            self._reply(
                request.permit_request_id,
                QueuedMessage(request.permit_request_id),
            )
        self._carry_out(decisions)
        self._review_soon()

    def _carry_out(self, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeRequest):
                self._probes.send(decision.backend)
            elif isinstance(decision, PermitGrant):
                self._tell_granted(decision)
            else:
                self._tell_denied(decision)

    def _tell_granted(self, granted: PermitGrant) -> None:
        message = PermitMessage(
            granted.request.permit_request_id,
            granted.permit_id,
            granted.backend,
            granted.slowness_percent,
            min(granted.report_age_s, MAX_REPORT_AGE_S),
            granted.expected_s,
        )
        if granted.request.requester != self._own_name:
            self._reply(granted.request.permit_request_id, message)
        elif self.own_asks is not None:
            self.own_asks.permit_came(message)

    def _tell_denied(self, denied: PermitDenial) -> None:
        message = DenialMessage(
            denied.request.permit_request_id,
            denied.reason,
            denied.retry_after_s,
        )
        if denied.request.requester != self._own_name:
            self._reply(denied.request.permit_request_id, message)
        elif self.own_asks is not None:
            self.own_asks.denial_came(message)

    def _reply(self, permit_request_id: str, message: Message) -> None:
        address = self._askers.get(permit_request_id)
        if address is not None:
            self._peers.send_to(*address, message)
        if not isinstance(message, QueuedMessage):
            self._askers.pop(permit_request_id, None)

    def _review_soon(self) -> None:
        if self.broker.has_waiting and not self._is_reviewing:
            self._is_reviewing = True
            self._reactor.callLater(QUEUE_CHECK_INTERVAL_S, self._review)

    def _review(self) -> None:
        self._is_reviewing = False
        self._carry_out(self.broker.decide(self._clock.monotonic_s()))
        self._review_soon()


def issuing_vm(permit_request_id: str) -> str:
    """Return the name of the VM that made an ask or gave a permit."""
    return permit_request_id.partition('.')[0]


def read_ask(message: PermitRequestMessage, now_s: float) -> PermitRequest:
    """Return the ask of a message, in this VM's own time."""
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


def _ends(decision: Decision, permit_request_id: str) -> bool:
    if isinstance(decision, ProbeRequest):
        return False
    return decision.request.permit_request_id == permit_request_id
