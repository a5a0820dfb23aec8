"""Permits for the calls of this VM: asked of the broker of their pool."""

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
    read_ask,
)
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.permits import AttemptReport, DenialReason
from turmericpost_core.membership.domain_view import Vm

PERMIT_REQUEST_RESEND_S = 0.05
"""Pause before an ask is sent again: more than the way between regions."""

BROKER_TIMEOUT_S = 0.16
"""Silence of a broker after which the next VM in rank is asked."""

PENDING_CHECK_INTERVAL_S = 0.02
"""Pause between looks at asks without an answer."""


@dataclass(frozen=True, slots=True)
class PermitCriteria:
    """What a call asks for; times are this VM's monotonic seconds."""

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
    """Leave to send one call to a backend server."""

    permit_id: str
    backend: Backend
    slowness_percent: float
    report_age_s: float
    expected_s: float

    @property
    def broker(self) -> str:
        """Name of the VM that gave it."""
        return issuing_vm(self.permit_id)


class PermitListener(Interface):
    """Takes what becomes of an ask."""

    def asked(self, permit_request_id: str) -> None:
        """Keep the id to take the ask back with; comes before all else."""

    def permitted(self, permit: Permit) -> None:
        """Take a permit, which must be given back by ``finish``."""

    def denied(self, end: DenialReason, retry_after_s: float) -> None:
        """Learn that there is no permit."""


class _PendingAsk:
    """An ask without an answer, and whom it went to."""

    def __init__(
        self,
        permit_request_id: str,
        wish: PermitCriteria,
        taker: PermitListener,
    ) -> None:
        self.permit_request_id = permit_request_id
        self.wish = wish
        self.taker = taker
        self.broker: Vm | None = None
        self.silent_from_s = float(0)
        self.sent_s = float(0)
        self.asked: set[str] = set()

    def asks(self, broker_name: str) -> bool:
        """Return whether a broker is the one asked now.

        The ask was taken back from one that was silent before.
        """
        return self.broker is not None and self.broker.name == broker_name


class PermitClient:
    """Asks brokers for permits and gives them back."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        peers: PeerProtocol,
        broker_service: BrokerService,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._peers = peers
        self._broker_desk = broker_service
        self._own = peers.view.own
        self._pending: dict[str, _PendingAsk] = {}
        self._held: dict[str, Permit] = {}
        self._asks = 0
        self._is_looking = False
        broker_service.own_asks = self

    def ask(self, wish: PermitCriteria, taker: PermitListener) -> None:
        """Ask for a permit, which the taker may get at once."""
        self._asks += 1
        own = self._own
        permit_request_id = f'{own.name}.{own.started_ms}.{self._asks}'
        pending = _PendingAsk(permit_request_id, wish, taker)
        self._pending[permit_request_id] = pending
        taker.asked(permit_request_id)
        self._send(pending)

    def cancel(self, permit_request_id: str) -> None:
        """Take back an ask."""
        pending = self._pending.pop(permit_request_id, None)
        if pending is None or pending.broker is None:
            return
        if pending.broker.name == self._own.name:
            self._broker_desk.broker.cancel(permit_request_id)
        else:
            self._peers.send(pending.broker, CancelMessage(permit_request_id))

    def finish(self, permit: Permit, finish: AttemptReport) -> None:
        """Give a permit back."""
        self._held.pop(permit.permit_id, None)
        vm = self._vm(permit.broker)
        if vm is not None and vm.name != self._own.name:
            self._peers.send(vm, FinishMessage(permit.permit_id, finish))
        else:
            self._broker_desk.release_permit(permit.permit_id, finish)

    def held_permits(self) -> Mapping[str, Mapping[str, str]]:
        """Return the permits in use by the VM that they concern.

        Those are the broker that gave it and, if that is gone, the one that
        has taken the pool over.
        """
        now_s = self._clock.monotonic_s()
        held_permits: defaultdict[str, dict[str, str]] = defaultdict(dict)
        for permit_id, permit in self._held.items():
            current = self._current(permit, now_s)
            held_permits[permit.broker][permit_id] = permit.backend.backend_id
            held_permits[current][permit_id] = permit.backend.backend_id
        return held_permits

    def received(self, message: Message) -> None:
        """Act on a message of a broker."""
        if isinstance(message, PermitMessage):
            self.permit_came(message)
        elif isinstance(message, DenialMessage):
            self.denial_came(message)
        elif isinstance(message, QueuedMessage):
            pending = self._pending.get(message.permit_request_id)
            if pending is not None:
                pending.silent_from_s = self._clock.monotonic_s()

    def permit_came(self, message: PermitMessage) -> None:
        """Hand a permit to its call; one too late goes back."""
        permit = Permit(
            message.permit_id,
            message.backend,
            message.slowness_percent,
            message.report_age_s,
            message.expected_s,
        )
        pending = self._pending.get(message.permit_request_id)
        if pending is not None and pending.asks(permit.broker):
            self._pending.pop(message.permit_request_id)
            self._held[permit.permit_id] = permit
            pending.taker.permitted(permit)
        elif permit.permit_id not in self._held:
            vm = self._vm(permit.broker)
            if vm is not None:
                self._peers.send(vm, CancelMessage(message.permit_request_id))

    def denial_came(self, message: DenialMessage) -> None:
        """Tell the call that there is no permit."""
        pending = self._pending.pop(message.permit_request_id, None)
        if pending is not None:
            pending.taker.denied(message.end, message.retry_after_s)

    def _send(self, pending: _PendingAsk) -> None:
        """Send an ask to the first VM in rank that was not silent to it."""
        now_s = self._clock.monotonic_s()
        wish = pending.wish
        ranked = self._ranked(wish.service, wish.failure_domain, now_s)
        fit = [vm for vm in ranked if vm.name not in pending.asked]
        pending.broker = fit[0] if fit else self._own
        pending.asked.add(pending.broker.name)
        pending.silent_from_s = now_s
        self._resend(pending, pending.broker, now_s)
        self._look_soon()

    def _resend(self, pending: _PendingAsk, broker: Vm, now_s: float) -> None:
        pending.sent_s = now_s
        message = _message(pending, now_s)
        if broker.name == self._own.name:
            self._broker_desk.request(read_ask(message, now_s))
        else:
            self._peers.send(broker, message)

    def _look_soon(self) -> None:
        if self._pending and not self._is_looking:
            self._is_looking = True
            self._reactor.callLater(PENDING_CHECK_INTERVAL_S, self._look)

    def _look(self) -> None:
        """Send asks again that got no answer, or to the next VM in rank."""
        self._is_looking = False
        now_s = self._clock.monotonic_s()
        for pending in tuple(self._pending.values()):
            broker = pending.broker
            if broker is not None and broker.name != self._own.name:
                self._look_after(pending, broker, now_s)
        self._look_soon()

    def _look_after(
        self,
        pending: _PendingAsk,
        broker: Vm,
        now_s: float,
    ) -> None:
        if now_s - pending.silent_from_s > BROKER_TIMEOUT_S:
            self._peers.send(broker, CancelMessage(pending.permit_request_id))
            self._send(pending)
        elif now_s - pending.sent_s > PERMIT_REQUEST_RESEND_S:
            self._resend(pending, broker, now_s)

    def _current(self, permit: Permit, now_s: float) -> str:
        """Return the VM that is the broker of a permit's pool now."""
        backend = permit.backend
        domain = backend.failure_domain
        return self._ranked(backend.service, domain, now_s)[0].name

    def _ranked(
        self,
        service: str,
        domain: str,
        now_s: float,
    ) -> tuple[Vm, ...]:
        subject = f'{service}@{domain}'
        return self._peers.view.ranked(subject, domain, now_s)

    def _vm(self, name: str) -> Vm | None:
        for vm in self._peers.view.known():
            if vm.name == name:
                return vm
        return None


def _message(pending: _PendingAsk, now_s: float) -> PermitRequestMessage:
    wish = pending.wish
    return PermitRequestMessage(
        permit_request_id=pending.permit_request_id,
        service=wish.service,
        failure_domain=wish.failure_domain,
        rank=wish.rank,
        waited_s=now_s - wish.arrived_s,
        objective_s=wish.objective_at_s - now_s,
        deadline_s=wish.deadline_at_s - now_s,
        is_retry=wish.is_retry,
        may_wait=wish.may_wait,
        may_redirect=wish.may_redirect,
        excluded=tuple(wish.excluded),
    )
