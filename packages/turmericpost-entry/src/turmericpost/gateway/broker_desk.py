"""The broker of this VM: asks of its own calls and of other VMs' calls."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
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
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.permits import (
    Ask,
    Decision,
    Denied,
    Finish,
    Granted,
    LoadFigures,
    ProbeWanted,
)

REVIEW_S = 0.02
"""Pause between looks at waiting asks: a third of a report's freshness."""

OLDEST_REPORT_S = 9.0
"""Age told of a report that never came."""


class OwnAsks(Interface):
    """The asks of this VM's own calls."""

    def permit_came(self, message: PermitMessage) -> None:
        """Take a permit."""

    def denial_came(self, message: DenialMessage) -> None:
        """Take a denial."""


class BrokerDesk:
    """Carries out what the broker decides."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        broker: Broker,
        peers: Peers,
        probes: Probes,
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

    def ask(self, ask: Ask) -> None:
        """Take an ask of a call of this VM."""
        self._carry_out(self.broker.ask(ask, self._clock.monotonic_s()))
        self._review_soon()

    def finished(self, grant_id: str, finish: Finish) -> None:
        """Take back a permit."""
        now_s = self._clock.monotonic_s()
        self._carry_out(self.broker.finished(grant_id, finish, now_s))

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
        """Act on a message of another VM to the broker."""
        if isinstance(message, AskMessage):
            self._asked(host, message)
        elif isinstance(message, Cancelled):
            self.broker.cancel(message.ask_id)
        elif isinstance(message, FinishMessage):
            self.finished(message.grant_id, message.finish)

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

    def _asked(self, host: str, message: AskMessage) -> None:
        now_s = self._clock.monotonic_s()
        ask = read_ask(message, now_s)
        self._askers[ask.ask_id] = (host, self._peers.view.own.peer_port)
        decisions = self.broker.ask(ask, now_s)
        if not any(_ends(one, ask.ask_id) for one in decisions):
            self._reply(ask.ask_id, Queued(ask.ask_id))
        self._carry_out(decisions)
        self._review_soon()

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
            min(granted.report_age_s, OLDEST_REPORT_S),
            granted.expected_s,
        )
        if granted.ask.asker != self._own_name:
            self._reply(granted.ask.ask_id, message)
        elif self.own_asks is not None:
            self.own_asks.permit_came(message)

    def _tell_denied(self, denied: Denied) -> None:
        message = DenialMessage(
            denied.ask.ask_id,
            denied.end,
            denied.retry_after_s,
        )
        if denied.ask.asker != self._own_name:
            self._reply(denied.ask.ask_id, message)
        elif self.own_asks is not None:
            self.own_asks.denial_came(message)

    def _reply(self, ask_id: str, message: Message) -> None:
        address = self._askers.get(ask_id)
        if address is not None:
            self._peers.send_to(*address, message)
        if not isinstance(message, Queued):
            self._askers.pop(ask_id, None)

    def _review_soon(self) -> None:
        if self.broker.has_waiting and not self._is_reviewing:
            self._is_reviewing = True
            self._reactor.callLater(REVIEW_S, self._review)

    def _review(self) -> None:
        self._is_reviewing = False
        self._carry_out(self.broker.decide(self._clock.monotonic_s()))
        self._review_soon()


def asker_of(ask_id: str) -> str:
    """Return the name of the VM that made an ask or gave a permit."""
    return ask_id.partition('.')[0]


def read_ask(message: AskMessage, now_s: float) -> Ask:
    """Return the ask of a message, in this VM's own time."""
    return Ask(
        ask_id=message.ask_id,
        asker=asker_of(message.ask_id),
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


def _ends(decision: Decision, ask_id: str) -> bool:
    if isinstance(decision, ProbeWanted):
        return False
    return decision.ask.ask_id == ask_id
