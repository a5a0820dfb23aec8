"""Heartbeats and digests: the membership of this VM over datagrams."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from twisted.internet.protocol import DatagramProtocol

from turmericpost.fleet.message_codec import decode_message, encode_message
from turmericpost.fleet.messages import (
    Digest,
    Heartbeat,
    Knowledge,
    KnownVms,
    Message,
)
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.clock import Clock
from turmericpost_core.membership.demand import SharedDemand
from turmericpost_core.membership.domain_view import (
    DomainDigest,
    DomainView,
    Vm,
)

HEARTBEAT_S = 0.25
"""Time between heartbeats in a failure domain; a loss shows after four."""

DIGEST_S = 1.0
"""Time between digests to other domains, whose bytes are billed."""

PASSED_ON_AGE_S = 0.001
"""Age of a digest that was passed on, which is not passed on again."""

REP_SUBJECT = 'digests'


@dataclass(frozen=True)
class PeerListeners:
    """What the rest of the VM gives to and takes from the peers."""

    knowledge: Callable[[], Knowledge]
    holds_for: Callable[[str], Mapping[str, str]]
    demand: Callable[[], Mapping[str, float]]
    heard_knowledge: Callable[[Vm, Knowledge], None]
    held: Callable[[str, Mapping[str, str]], None]
    live_changed: Callable[[frozenset[str], frozenset[str]], None]
    message: Callable[[str, Message], None]


class Peers(DatagramProtocol):
    """Sends and receives datagrams of this VM, and keeps its view."""

    def __init__(
        self,
        clock: Clock,
        view: DomainView,
        regions: Mapping[str, str],
        listeners: PeerListeners,
    ) -> None:
        self.view = view
        self.bytes_sent = 0
        self.demand = SharedDemand()
        self._clock = clock
        self._regions = regions
        self._listeners = listeners
        self._digested_s = float('-inf')
        self._malformed: set[str] = set()

    def send(self, vm: Vm, message: Message) -> None:
        """Send a message to a VM; it may be lost."""
        self.send_to(vm.host, vm.peer_port, message)

    def send_to(self, host: str, port: int, message: Message) -> None:
        """Send a message to an address."""
        if self.transport is None:
            return
        wire = encode_message(message)
        self.bytes_sent += len(wire)
        try:
            self.transport.write(wire, (host, port))
        except OSError as error:
            log_event(
                LogEvent.DATAGRAM_NOT_SENT,
                host=host,
                detail=str(error),
            )

    def hello(self, hosts: tuple[str, ...], port: int) -> None:
        """Tell VMs at some addresses that this one is there."""
        for host in hosts:
            if host != self.view.own.host:
                self.send_to(host, port, self._heartbeat(''))

    def beat(self) -> None:
        """Send heartbeats, now and then a digest, and note who is silent."""
        self._review()
        self.demand.tell(self.view.own.name, self._listeners.demand())
        for vm in self.view.called(self.view.own.failure_domain):
            self.send(vm, self._heartbeat(vm.name))
        now_s = self._clock.monotonic_s()
        if now_s - self._digested_s >= DIGEST_S:
            self.send_digests()

    def send_digests(self) -> None:
        """Tell one VM of every other domain who is here, if that is our job.

        The domain's first VM by rank speaks for it.
        """
        now_s = self._clock.monotonic_s()
        self._digested_s = now_s
        own = self.view.own
        first = self.view.ranked(REP_SUBJECT, own.failure_domain, now_s)[0]
        if first.name != own.name:
            return
        digest = Digest(
            own.failure_domain,
            0,
            self.view.members(now_s),
            self._listeners.knowledge(),
            own.name,
            self._domain_demand(),
        )
        for domain in self._regions:
            if domain != own.failure_domain:
                for vm in self._representatives(domain, now_s):
                    self.send(vm, digest)

    def datagramReceived(
        self,
        datagram: bytes,
        addr: tuple[str, int],
    ) -> None:
        """Act on a message."""
        decoded = decode_message(datagram)
        if decoded.is_err():
            self._log_malformed(addr[0], decoded.unwrap_err().detail)
            return
        message = decoded.unwrap()
        if isinstance(message, Heartbeat):
            self._heard(message)
        elif isinstance(message, KnownVms):
            self.view.told(message.vms, self._clock.monotonic_s())
        elif isinstance(message, Digest):
            self._digest_received(message)
        else:
            self._listeners.message(addr[0], message)

    def _heartbeat(self, receiver: str) -> Heartbeat:
        return Heartbeat(
            self.view.own,
            self.view.own_standing,
            self._listeners.knowledge(),
            self._listeners.holds_for(receiver),
            self._listeners.demand(),
        )

    def _heard(self, heartbeat: Heartbeat) -> None:
        now_s = self._clock.monotonic_s()
        vm = heartbeat.vm
        if self.view.heard(vm, heartbeat.standing, now_s):
            self.send(vm, KnownVms(self.view.known()))
            self.send(vm, self._heartbeat(vm.name))
        self._review()
        if vm.failure_domain == self.view.own.failure_domain:
            self.demand.tell(vm.name, heartbeat.demand)
        self._listeners.heard_knowledge(vm, heartbeat.knowledge)
        self._listeners.held(vm.name, heartbeat.holds)

    def _digest_received(self, digest: Digest) -> None:
        """Take a digest; one from another domain is passed on here."""
        now_s = self._clock.monotonic_s()
        own_domain = self.view.own.failure_domain
        self.view.take_digest(
            DomainDigest(
                digest.failure_domain,
                now_s - digest.age_s,
                digest.vms,
            ),
        )
        self.demand.tell(digest.failure_domain, digest.demand)
        by_name = {vm.name: vm for vm, _ in digest.vms}
        sender = by_name.get(digest.sender)
        if sender is not None:
            self._listeners.heard_knowledge(sender, digest.knowledge)
        if not digest.age_s:
            passed_on = replace(digest, age_s=PASSED_ON_AGE_S)
            for vm in self.view.called(own_domain):
                self.send(vm, passed_on)

    def _domain_demand(self) -> dict[str, float]:
        """Return the demand of all VMs of the own domain."""
        now_s = self._clock.monotonic_s()
        names = [vm.name for vm, _ in self.view.members(now_s)]
        total = self.demand.total(names)
        return {route: round(work_s, 1) for route, work_s in total.items()}

    def _review(self) -> None:
        gained, lost = self.view.review(self._clock.monotonic_s())
        if gained or lost:
            log_event(
                LogEvent.VIEW_CHANGED,
                gained=sorted(gained),
                lost=sorted(lost),
            )
            for name in lost:
                self.demand.forget(name)
            self._listeners.live_changed(gained, lost)

    def _representatives(self, domain: str, now_s: float) -> tuple[Vm, ...]:
        """Return the VM of a domain to tell, or two where none is sure."""
        known = self.view.in_domain(domain, now_s)
        if known:
            return self.view.ranked(REP_SUBJECT, domain, now_s)[:1]
        return tuple(
            vm for vm in self.view.known() if vm.failure_domain == domain
        )[:2]

    def _log_malformed(self, host: str, detail: str) -> None:
        if host not in self._malformed:
            self._malformed.add(host)
            log_event(
                LogEvent.PEER_MESSAGE_MALFORMED,
                host=host,
                detail=detail,
            )
