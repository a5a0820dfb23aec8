"""Datagram protocol between entry VMs: heartbeats, digests, pushes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import TypeAlias

from twisted.internet.protocol import DatagramProtocol

from turmericpost.fleet.held_config import HeldConfig
from turmericpost.fleet.message_codec import decode_message, encode_message
from turmericpost.fleet.messages import (
    Digest,
    Heartbeat,
    KnownVms,
    Message,
    StateVersion,
    UpdatePush,
)
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.clock import Clock
from turmericpost_core.membership.demand import SharedDemand
from turmericpost_core.membership.domain_view import (
    DomainDigest,
    DomainView,
    Vm,
)
from turmericpost_core.membership.heartbeat_period import heartbeat_period_s

MAX_PUSH_BYTES = 1200
"""Maximum size of a pushed update.

It fits into one datagram on the networks of the deployments.
"""

DIGEST_PERIOD_S = 1.0
"""Time between digests to other domains; traffic between domains is billed."""

FORWARDED_DIGEST_AGE_S = 0.001
"""Age set in a forwarded digest: not zero, so it is not forwarded again."""

DIGEST_SENDER_SUBJECT = 'digests'
"""Subject by which VMs are ranked for digests.

The first VM of each failure domain sends and receives them.
"""


MAX_MALFORMED_HOSTS = 1024
"""Maximum number of hosts whose malformed datagrams are logged."""

HeldPermits: TypeAlias = Mapping[str, Mapping[str, str]]
"""Backend server ids of held permits, by VM to report to and by permit id."""


def _no_held_config() -> None:
    """The store has the configuration that is in force."""


def _ignore_held_config(_vm_name: str, _version: int) -> None:
    """Ignore a configuration that another VM holds."""


@dataclass(frozen=True)
class PeerCallbacks:
    """Callbacks of the datagram protocol to the rest of the VM.

    The first three return the contents of heartbeats. ``held_config`` returns
    the version in force if the store may have lost it. ``message`` gets the
    messages that the protocol does not handle itself.
    """

    state_version: Callable[[], StateVersion]
    held_permits: Callable[[], HeldPermits]
    demand: Callable[[], Mapping[str, float]]
    state_version_received: Callable[[Vm, StateVersion], None]
    push_received: Callable[[str, bytes], None]
    held_permits_received: Callable[[str, Mapping[str, str]], None]
    live_vms_changed: Callable[[frozenset[str], frozenset[str]], None]
    message: Callable[[str, Message], None]
    held_config: Callable[[], int | None] = _no_held_config
    held_config_received: Callable[[str, int], None] = _ignore_held_config


class PeerProtocol(DatagramProtocol):
    """Sends and receives datagrams and maintains the domain view."""

    def __init__(
        self,
        clock: Clock,
        view: DomainView,
        domain_regions: Mapping[str, str],
        callbacks: PeerCallbacks,
    ) -> None:
        self.view = view
        self.bytes_sent = 0
        self.demand = SharedDemand()
        self._clock = clock
        self._domain_regions = domain_regions
        self._callbacks = callbacks
        self._digests_sent_s = float('-inf')
        self._heartbeats_sent_s = float('-inf')
        self._malformed_hosts: set[str] = set()

    def send(self, vm: Vm, message: Message) -> None:
        """Send a message to a VM, without retransmission."""
        self.send_to(vm.host, vm.peer_port, message)

    def send_to(self, host: str, port: int, message: Message) -> None:
        """Send a message to an address."""
        self._send_datagram(host, port, encode_message(message))

    def send_hello(self, hosts: tuple[str, ...], port: int) -> None:
        """Send a heartbeat to VMs at configured addresses."""
        for host in hosts:
            if host != self.view.own.host:
                self.send_to(host, port, self._heartbeat({}))

    def send_due_heartbeats(self) -> float:
        """Send heartbeats and digests if they are due.

        Returns the seconds until the next heartbeats are due.
        """
        now_s = self._clock.monotonic_s()
        pause_s = heartbeat_period_s(self.view.heartbeat_vm_count)
        due_s = self._heartbeats_sent_s + pause_s - now_s
        if due_s <= 0:
            self.send_heartbeats()
            due_s = pause_s
        if now_s - self._digests_sent_s >= DIGEST_PERIOD_S:
            self.send_digests()
        return due_s

    def send_heartbeats(self) -> None:
        """Send heartbeats to all VMs of the domain and update liveness.

        A heartbeat lists the permits held by this VM that its receiver issued
        or manages now.
        """
        self._heartbeats_sent_s = self._clock.monotonic_s()
        self._update_liveness()
        self.demand.update_source(self.view.own.name, self._callbacks.demand())
        held_permits = self._callbacks.held_permits()
        plain_datagram = encode_message(self._heartbeat({}))
        for vm in self.view.heartbeat_targets(self.view.own.failure_domain):
            vm_permits = held_permits.get(vm.name)
            datagram = (
                encode_message(self._heartbeat(vm_permits))
                if vm_permits
                else plain_datagram
            )
            self._send_datagram(vm.host, vm.peer_port, datagram)
        self._send_held_config(
            self.view.heartbeat_targets(self.view.own.failure_domain)
        )

    def push(self, update: bytes) -> bool:
        """Send an update to all VMs of the domain.

        Returns false if the update is too large.
        """
        if len(update) > MAX_PUSH_BYTES:
            return False
        own = self.view.own
        datagram = encode_message(UpdatePush(own.name, update))
        for vm in self.view.heartbeat_targets(own.failure_domain):
            self._send_datagram(vm.host, vm.peer_port, datagram)
        return True

    def send_digests(self) -> None:
        """Send a digest of this domain to the other failure domains.

        Only the first VM by rank in the domain sends digests.
        """
        now_s = self._clock.monotonic_s()
        self._digests_sent_s = now_s
        own = self.view.own
        digest_sender = self.view.ranked(
            DIGEST_SENDER_SUBJECT, own.failure_domain, now_s
        )[0]
        if digest_sender.name != own.name:
            return
        digest = Digest(
            own.failure_domain,
            0,
            self.view.live_members(now_s),
            self._callbacks.state_version(),
            own.name,
            self._domain_demand(),
        )
        for domain in self._domain_regions:
            if domain != own.failure_domain:
                receivers = self._digest_receivers(domain, now_s)
                for vm in receivers:
                    self.send(vm, digest)
                self._send_held_config(receivers)

    def datagramReceived(
        self,
        datagram: bytes,
        addr: tuple[str, int],
    ) -> None:
        """Decode and handle a datagram.

        Only the first malformed datagram of each host is logged, up to
        ``MAX_MALFORMED_HOSTS`` of them.
        """
        decoded = decode_message(datagram)
        if decoded.is_err():
            self._log_malformed(addr[0], decoded.unwrap_err().detail)
            return
        self.handle_message(addr[0], decoded.unwrap())

    def handle_message(self, host: str, message: Message) -> None:
        """Pass a decoded message to the handler of its type."""
        if isinstance(message, Heartbeat):
            self._heartbeat_received(message)
        elif isinstance(message, KnownVms):
            self.view.add_known_vms(message.vms, self._clock.monotonic_s())
        elif isinstance(message, Digest):
            self._digest_received(message)
        elif isinstance(message, UpdatePush):
            self._callbacks.push_received(message.sender, message.wire)
        else:
            self._pass_on(host, message)

    def _pass_on(self, host: str, message: Message) -> None:
        if isinstance(message, HeldConfig):
            self._callbacks.held_config_received(
                message.sender, message.version
            )
        else:
            self._callbacks.message(host, message)

    def _send_held_config(self, receivers: Iterable[Vm]) -> None:
        """Tell other VMs of a configuration that the store may have lost.

        They can't read it there, and its position says nothing any more.
        """
        version = self._callbacks.held_config()
        if version is not None:
            for vm in receivers:
                self.send(vm, HeldConfig(self.view.own.name, version))

    def _send_datagram(self, host: str, port: int, datagram: bytes) -> None:
        if self.transport is None:
            return
        self.bytes_sent += len(datagram)
        try:
            self.transport.write(datagram, (host, port))
        except OSError as error:
            log_event(
                LogEvent.DATAGRAM_NOT_SENT,
                host=host,
                detail=str(error),
            )

    def _heartbeat(self, held_permits: Mapping[str, str]) -> Heartbeat:
        return Heartbeat(
            self.view.own,
            self.view.own_readiness,
            self._callbacks.state_version(),
            held_permits,
            self._callbacks.demand(),
        )

    def _heartbeat_received(self, heartbeat: Heartbeat) -> None:
        now_s = self._clock.monotonic_s()
        vm = heartbeat.vm
        if self.view.record_heartbeat(vm, heartbeat.readiness, now_s):
            self.send(vm, KnownVms(self.view.known()))
            held_permits = self._callbacks.held_permits().get(vm.name, {})
            self.send(vm, self._heartbeat(held_permits))
        if not self.view.is_live(vm.name):
            self._update_liveness()
        if vm.failure_domain == self.view.own.failure_domain:
            self.demand.update_source(vm.name, heartbeat.demand)
        self._callbacks.state_version_received(vm, heartbeat.state_version)
        self._callbacks.held_permits_received(vm.name, heartbeat.held_permits)

    def _digest_received(self, digest: Digest) -> None:
        """Record a digest.

        A digest received directly from another failure domain is forwarded
        within this one.
        """
        now_s = self._clock.monotonic_s()
        own_domain = self.view.own.failure_domain
        self.view.record_digest(
            DomainDigest(
                digest.failure_domain,
                now_s - digest.age_s,
                digest.vms,
            ),
        )
        self.demand.update_source(digest.failure_domain, digest.demand)
        by_name = {vm.name: vm for vm, _ in digest.vms}
        sender = by_name.get(digest.sender)
        if sender is not None:
            self._callbacks.state_version_received(sender, digest.state_version)
        if not digest.age_s:
            forwarded = replace(digest, age_s=FORWARDED_DIGEST_AGE_S)
            for vm in self.view.heartbeat_targets(own_domain):
                self.send(vm, forwarded)

    def _domain_demand(self) -> dict[str, float]:
        """Return the demand of all live VMs of the own domain by route."""
        now_s = self._clock.monotonic_s()
        names = [vm.name for vm, _ in self.view.live_members(now_s)]
        total = self.demand.total(names)
        return {route: round(work_s, 1) for route, work_s in total.items()}

    def _update_liveness(self) -> None:
        gained, lost = self.view.update_liveness(self._clock.monotonic_s())
        if gained or lost:
            log_event(
                LogEvent.VIEW_CHANGED,
                gained=sorted(gained),
                lost=sorted(lost),
            )
            for name in lost:
                self.demand.remove_source(name)
            self._callbacks.live_vms_changed(gained, lost)

    def _digest_receivers(self, domain: str, now_s: float) -> tuple[Vm, ...]:
        """Return the VMs of another domain to send the digest to.

        This is the first live VM by rank, or up to two known VMs if no live
        one is known.
        """
        known = self.view.live_in_domain(domain, now_s)
        if known:
            return self.view.ranked(DIGEST_SENDER_SUBJECT, domain, now_s)[:1]
        return tuple(
            vm for vm in self.view.known() if vm.failure_domain == domain
        )[:2]

    def _log_malformed(self, host: str, detail: str) -> None:
        is_known = host in self._malformed_hosts
        if not is_known and len(self._malformed_hosts) < MAX_MALFORMED_HOSTS:
            self._malformed_hosts.add(host)
            log_event(
                LogEvent.PEER_MESSAGE_MALFORMED,
                host=host,
                detail=detail,
            )
