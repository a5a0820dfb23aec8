"""Permits of this VM: asks of its own calls and of other VMs' calls."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any
from typing import Protocol as Interface

from turmericpost.fleet.messages import (
    AskMessage,
    Cancelled,
    DenialMessage,
    FinishMessage,
    Message,
    PermitMessage,
    Queued,
)
from turmericpost.fleet.peers import Peers
from turmericpost.gateway.probes import Probes
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.permits import (
    Ask,
    AskEnd,
    Decision,
    Denied,
    Finish,
    Granted,
    LoadFigures,
    ProbeWanted,
)
from turmericpost_core.membership.domain_view import Vm

RESEND_S = 0.05
"""Pause before an ask is sent again: more than the way between regions."""

BROKER_SILENCE_S = 0.16
"""Silence of a broker after which the next VM in rank is asked."""

REVIEW_S = 0.02
"""Pause between looks at waiting asks: a third of a report's freshness."""


@dataclass(frozen=True, slots=True)
class Wish:
    """What a call asks for; times are this VM's monotonic seconds."""

    service: str
    failure_domain: str
    rank: int
    arrived_s: float
    objective_at_s: float
    deadline_at_s: float
    is_repeat: bool = False
    may_wait: bool = True
    may_leave: bool = False
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Permit:
    """Leave to send one call to a backend server."""

    grant_id: str
    backend: Backend
    broker: str
    slowness_percent: float
    report_age_s: float


class PermitTaker(Interface):
    """Takes what becomes of an ask."""

    def asked(self, ask_id: str) -> None:
        """Keep the id to take the ask back with; comes before all else."""

    def permitted(self, permit: Permit) -> None:
        """Take a permit, which must be given back by ``finish``."""

    def denied(self, end: AskEnd, retry_after_s: float) -> None:
        """Learn that there is no permit."""


class PendingAsk:
    """An ask of a call of this VM."""

    def __init__(self, ask_id: str, wish: Wish, taker: PermitTaker) -> None:
        self.ask_id = ask_id
        self.wish = wish
        self.taker = taker
        self.broker: Vm | None = None
        self.silent_from_s = float(0)
        self.sent_s = float(0)
        self.asked: set[str] = set()


class PermitDesk:
    """Asks the broker of a pool for permits, and is the broker of some."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        broker: Broker,
        peers: Peers,
        probes: Probes,
    ) -> None:
        self.broker = broker
        self._reactor = reactor
        self._clock = clock
        self._peers = peers
        self._probes = probes
        self._own = peers.view.own
        self._pending: dict[str, PendingAsk] = {}
        self._held: dict[str, Permit] = {}
        self._askers: dict[str, tuple[str, int]] = {}
        self._asks = 0
        self._is_reviewing = False
        probes.taker = self

    def ask(self, wish: Wish, taker: PermitTaker) -> None:
        """Ask for a permit, which the taker may get at once."""
        self._asks += 1
        ask_id = f'{self._own.name}.{self._own.started_ms}.{self._asks}'
        pending = PendingAsk(ask_id, wish, taker)
        self._pending[ask_id] = pending
        taker.asked(ask_id)
        self._send(pending)

    def cancel(self, ask_id: str) -> None:
        """Take back an ask."""
        pending = self._pending.pop(ask_id, None)
        if pending is None or pending.broker is None:
            return
        if pending.broker.name == self._own.name:
            self.broker.cancel(ask_id)
        else:
            self._peers.send(pending.broker, Cancelled(ask_id))

    def finish(self, permit: Permit, finish: Finish) -> None:
        """Give a permit back."""
        self._held.pop(permit.grant_id, None)
        vm = self._vm(permit.broker)
        if vm is not None and vm.name != self._own.name:
            self._peers.send(vm, FinishMessage(permit.grant_id, finish))
            return
        now_s = self._clock.monotonic_s()
        self._carry_out(self.broker.finished(permit.grant_id, finish, now_s))

    def holds_for(self, vm_name: str) -> Mapping[str, str]:
        """Return the permits in use that concern a broker."""
        now_s = self._clock.monotonic_s()
        found: dict[str, str] = {}
        for grant_id, permit in self._held.items():
            backend = permit.backend
            subject = f'{backend.service}@{backend.failure_domain}'
            ranked = self._peers.view.ranked(
                subject,
                backend.failure_domain,
                now_s,
            )
            if vm_name in {permit.broker, ranked[0].name}:
                found[grant_id] = backend.backend_id
        return found

    def held(self, vm_name: str, holds: Mapping[str, str]) -> None:
        """Take what another VM says it holds."""
        now_s = self._clock.monotonic_s()
        self.broker.held(vm_name, holds, now_s)
        self._carry_out(self.broker.decide(now_s))

    def vms_lost(self, names: Iterable[str]) -> None:
        """Free what lost VMs held."""
        now_s = self._clock.monotonic_s()
        for name in names:
            self.broker.vm_lost(name, now_s)
        self._carry_out(self.broker.decide(now_s))

    def received(self, host: str, message: Message) -> None:
        """Act on a message about permits."""
        if isinstance(message, AskMessage):
            self._asked(host, message)
        elif isinstance(message, PermitMessage):
            self._permit_came(message)
        elif isinstance(message, DenialMessage):
            self._end(message.ask_id, message.end, message.retry_after_s)
        elif isinstance(message, Queued):
            self._queued(message.ask_id)
        elif isinstance(message, Cancelled):
            self.broker.cancel(message.ask_id)
        elif isinstance(message, FinishMessage):
            now_s = self._clock.monotonic_s()
            finish = message.finish
            self._carry_out(
                self.broker.finished(message.grant_id, finish, now_s),
            )

    def review(self) -> None:
        """Look after waiting asks; to be called often while there are any."""
        now_s = self._clock.monotonic_s()
        for pending in tuple(self._pending.values()):
            self._look_after(pending, now_s)
        self._carry_out(self.broker.decide(now_s))

    def sweep(self) -> None:
        """Forget what is long over."""
        now_s = self._clock.monotonic_s()
        self.broker.expire(now_s)
        self.broker.forget_old_asks(now_s)

    def probed(
        self,
        backend_id: str,
        figures: LoadFigures | None,
        *,
        is_healthy: bool,
    ) -> None:
        """Take the answer to a probe."""
        now_s = self._clock.monotonic_s()
        self._carry_out(
            self.broker.probed(
                backend_id,
                figures,
                now_s,
                is_healthy=is_healthy,
            ),
        )

    def probe_failed(self, backend_id: str) -> None:
        """Note a probe without an answer."""
        self.broker.probe_failed(backend_id, self._clock.monotonic_s())

    def _send(self, pending: PendingAsk) -> None:
        """Send an ask to the first VM in rank that was not silent to it."""
        now_s = self._clock.monotonic_s()
        wish = pending.wish
        ranked = self._peers.view.ranked(
            f'{wish.service}@{wish.failure_domain}',
            wish.failure_domain,
            now_s,
        )
        fit = [vm for vm in ranked if vm.name not in pending.asked]
        pending.broker = fit[0] if fit else self._own
        pending.asked.add(pending.broker.name)
        pending.silent_from_s = now_s
        self._resend(pending, now_s)
        self._review_soon()

    def _resend(self, pending: PendingAsk, now_s: float) -> None:
        pending.sent_s = now_s
        broker = pending.broker
        if broker is None:
            return
        if broker.name != self._own.name:
            self._peers.send(broker, _message(pending, now_s))
        elif pending.ask_id in self._pending:
            ask = _ask(pending, self._own.name)
            self._carry_out(self.broker.ask(ask, now_s))

    def _look_after(self, pending: PendingAsk, now_s: float) -> None:
        broker = pending.broker
        if broker is None or broker.name == self._own.name:
            return
        if now_s - pending.silent_from_s > BROKER_SILENCE_S:
            self._peers.send(broker, Cancelled(pending.ask_id))
            self._send(pending)
        elif now_s - pending.sent_s > RESEND_S:
            self._resend(pending, now_s)

    def _asked(self, host: str, message: AskMessage) -> None:
        now_s = self._clock.monotonic_s()
        asker = message.ask_id.partition('.')[0]
        self._askers[message.ask_id] = (host, self._own.peer_port)
        ask = Ask(
            ask_id=message.ask_id,
            asker=asker,
            service=message.service,
            failure_domain=message.failure_domain,
            rank=message.rank,
            arrived_s=now_s - message.waited_s,
            asked_s=now_s,
            objective_at_s=now_s + message.objective_s,
            deadline_at_s=now_s + message.deadline_s,
            is_repeat=message.is_repeat,
            may_wait=message.may_wait,
            may_leave=message.may_leave,
            excluded=frozenset(message.excluded),
        )
        decisions = self.broker.ask(ask, now_s)
        if not any(_ends(one, ask.ask_id) for one in decisions):
            self._reply(message.ask_id, Queued(message.ask_id))
        self._carry_out(decisions)
        self._review_soon()

    def _queued(self, ask_id: str) -> None:
        pending = self._pending.get(ask_id)
        if pending is not None:
            pending.silent_from_s = self._clock.monotonic_s()

    def _permit_came(self, message: PermitMessage) -> None:
        pending = self._pending.pop(message.ask_id, None)
        broker = message.grant_id.partition('.')[0]
        permit = Permit(
            message.grant_id,
            message.backend,
            broker,
            message.slowness_percent,
            message.report_age_s,
        )
        if pending is not None:
            self._held[permit.grant_id] = permit
            pending.taker.permitted(permit)
        elif permit.grant_id not in self._held:
            vm = self._vm(broker)
            if vm is not None:
                self._peers.send(vm, Cancelled(message.ask_id))

    def _end(self, ask_id: str, end: AskEnd, retry_after_s: float) -> None:
        pending = self._pending.pop(ask_id, None)
        if pending is not None:
            pending.taker.denied(end, retry_after_s)

    def _carry_out(self, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeWanted):
                self._probes.send(decision.backend)
            elif isinstance(decision, Granted):
                self._tell_granted(decision)
            else:
                self._tell_denied(decision)

    def _tell_granted(self, granted: Granted) -> None:
        message = PermitMessage(
            granted.ask.ask_id,
            granted.grant_id,
            granted.backend,
            granted.slowness_percent,
            min(granted.report_age_s, 9.0),
        )
        if granted.ask.asker == self._own.name:
            self._permit_came(message)
        else:
            self._reply(granted.ask.ask_id, message)

    def _tell_denied(self, denied: Denied) -> None:
        ask_id = denied.ask.ask_id
        if denied.ask.asker == self._own.name:
            self._end(ask_id, denied.end, denied.retry_after_s)
        else:
            message = DenialMessage(ask_id, denied.end, denied.retry_after_s)
            self._reply(ask_id, message)

    def _reply(self, ask_id: str, message: Message) -> None:
        address = self._askers.get(ask_id)
        if address is not None:
            self._peers.send_to(*address, message)
        if not isinstance(message, Queued):
            self._askers.pop(ask_id, None)

    def _vm(self, name: str) -> Vm | None:
        for vm in self._peers.view.known():
            if vm.name == name:
                return vm
        return None

    def _review_soon(self) -> None:
        if not self._is_reviewing:
            self._is_reviewing = True
            self._reactor.callLater(REVIEW_S, self._reviewed)

    def _reviewed(self) -> None:
        self._is_reviewing = False
        self.review()
        if self._pending or self.broker.has_waiting:
            self._review_soon()


def _ends(decision: Decision, ask_id: str) -> bool:
    if isinstance(decision, ProbeWanted):
        return False
    return decision.ask.ask_id == ask_id


def _ask(pending: PendingAsk, asker: str) -> Ask:
    wish = pending.wish
    return Ask(
        ask_id=pending.ask_id,
        asker=asker,
        service=wish.service,
        failure_domain=wish.failure_domain,
        rank=wish.rank,
        arrived_s=wish.arrived_s,
        asked_s=pending.silent_from_s,
        objective_at_s=wish.objective_at_s,
        deadline_at_s=wish.deadline_at_s,
        is_repeat=wish.is_repeat,
        may_wait=wish.may_wait,
        may_leave=wish.may_leave,
        excluded=wish.excluded,
    )


def _message(pending: PendingAsk, now_s: float) -> AskMessage:
    wish = pending.wish
    return AskMessage(
        ask_id=pending.ask_id,
        service=wish.service,
        failure_domain=wish.failure_domain,
        rank=wish.rank,
        waited_s=now_s - wish.arrived_s,
        objective_s=wish.objective_at_s - now_s,
        deadline_s=wish.deadline_at_s - now_s,
        is_repeat=wish.is_repeat,
        may_wait=wish.may_wait,
        may_leave=wish.may_leave,
        excluded=tuple(wish.excluded),
    )


