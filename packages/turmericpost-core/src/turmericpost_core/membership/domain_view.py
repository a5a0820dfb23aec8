"""Membership view of this VM, by failure domain.

Inside a failure domain every VM receives heartbeats from every other one. A
VM knows the other domains from digests: one VM of each sends a list of its
domain's VMs with their readiness.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum

from turmericpost_core.membership.heartbeat_period import (
    heartbeat_period_s,
    lost_after_s,
)
from turmericpost_core.membership.ring import rendezvous_owners

MAX_DIGEST_AGE_S = 4.0
"""Maximum age of a valid digest: four missed digests in a row."""

MAX_RANKED_DIGEST_AGE_S = 8.0
"""Maximum age of a digest by which VMs are still ranked.

Longer than a VM of the largest planned domain needs to find that the sender
of the digests is lost, and to send the next one.
"""

OLD_RANKED_VMS = 2
"""VMs of a domain that are ranked by a digest that is too old.

If the whole domain is lost, each of them costs a call the time of a broker
that does not reply.
"""

SETTLED_S = 2.0
"""Time after the start of a VM in which its view may be incomplete.

A VM finds the others within two discovery attempts, one second apart.
"""

FORGET_AFTER_S = 120.0
"""Time for which a silent VM still gets heartbeats, at least.

This lets the VMs find each other after a network partition has ended.
"""


class VmReadiness(IntEnum):
    """Whether a VM accepts calls."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@dataclass(frozen=True, slots=True)
class Vm:
    """Identity and addresses of an entry VM.

    ``started_ms``, the Unix time of its start, distinguishes incarnations.
    """

    name: str
    host: str
    peer_port: int
    caller_address: str
    failure_domain: str
    region: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class DomainDigest:
    """Live VMs of a failure domain, as one of them sees them."""

    failure_domain: str
    created_s: float
    vms: tuple[tuple[Vm, VmReadiness], ...]


@dataclass(slots=True)
class _KnownVm:
    vm: Vm
    readiness: VmReadiness
    last_heartbeat_s: float
    reported_s: float
    is_heard: bool = True


class DomainView:
    """Membership view that one VM has of the others.

    All times are monotonic seconds of this VM.
    """

    def __init__(self, own: Vm) -> None:
        self.own = own
        self.own_readiness = VmReadiness.STARTING
        self._known_vms: dict[str, _KnownVm] = {}
        self._digests: dict[str, DomainDigest] = {}
        self._live: frozenset[str] = frozenset()

    @property
    def heartbeat_vm_count(self) -> int:
        """Number of own-domain VMs that get heartbeats, plus this one."""
        return len(self.heartbeat_targets(self.own.failure_domain)) + 1

    @property
    def heartbeat_period_s(self) -> float:
        """Return the seconds between heartbeats in the own domain."""
        return heartbeat_period_s(self.heartbeat_vm_count)

    @property
    def lost_after_s(self) -> float:
        """Silence in seconds after which a VM of the domain counts as lost."""
        return lost_after_s(self.heartbeat_vm_count)

    def record_heartbeat(
        self, vm: Vm, readiness: VmReadiness, now_s: float
    ) -> bool:
        """Record a heartbeat; return whether the VM or incarnation is new.

        Heartbeats of this VM itself and of an older incarnation are ignored.
        """
        if vm.name == self.own.name:
            return False
        known = self._known_vms.get(vm.name)
        is_new = known is None or vm.started_ms > known.vm.started_ms
        if not is_new and known is not None:
            if vm.started_ms < known.vm.started_ms:
                return False
        self._known_vms[vm.name] = _KnownVm(vm, readiness, now_s, now_s)
        return is_new

    def add_known_vms(self, vms: Iterable[Vm], now_s: float) -> None:
        """Add VMs that another VM or the store reported.

        They get heartbeats, but count as live only once they have sent one.
        """
        for vm in vms:
            known = self._known_vms.get(vm.name)
            if vm.name == self.own.name:
                continue
            if known is None or known.vm.started_ms < vm.started_ms:
                assumed_heartbeat_s = now_s - 2 * self.lost_after_s
                self._known_vms[vm.name] = _KnownVm(
                    vm,
                    VmReadiness.STARTING,
                    assumed_heartbeat_s,
                    now_s,
                    is_heard=known is not None and known.is_heard,
                )

    def record_digest(self, digest: DomainDigest) -> None:
        """Record the digest of another domain unless a newer one is known."""
        known = self._digests.get(digest.failure_domain)
        if known is None or digest.created_s > known.created_s:
            self._digests[digest.failure_domain] = digest

    def last_digest(self, failure_domain: str) -> DomainDigest | None:
        """Return the last digest of another domain, however old."""
        return self._digests.get(failure_domain)

    def is_live(self, name: str) -> bool:
        """Return whether a VM was live at the last ``update_liveness``."""
        return name in self._live

    def update_liveness(
        self, now_s: float
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Update the set of live VMs and forget long-silent ones.

        Returns the names of the VMs that became live and of those lost.
        """
        timeout_s = self.lost_after_s
        live = frozenset(
            name
            for name, peer in self._known_vms.items()
            if now_s - peer.last_heartbeat_s <= timeout_s
            and peer.vm.failure_domain == self.own.failure_domain
        )
        gained, lost = live - self._live, self._live - live
        self._live = live
        self._forget_silent_vms(now_s)
        return gained, lost

    def heartbeat_targets(self, failure_domain: str) -> tuple[Vm, ...]:
        """Return the other VMs of a domain, including silent ones."""
        return tuple(
            peer.vm
            for peer in self._known_vms.values()
            if peer.vm.failure_domain == failure_domain
        )

    def known(self) -> tuple[Vm, ...]:
        """Return all known VMs of all domains, this one first."""
        others = tuple(peer.vm for peer in self._known_vms.values())
        digest_vms = tuple(
            vm
            for digest in self._digests.values()
            for vm, _ in digest.vms
            if vm.name not in self._known_vms
        )
        return (self.own, *others, *digest_vms)

    def live_members(
        self, now_s: float, grace_s: float = 0
    ) -> tuple[tuple[Vm, VmReadiness], ...]:
        """Return the live VMs of the own domain with their readiness.

        VMs that were lost less than ``grace_s`` seconds ago are included.
        """
        domain = self.own.failure_domain
        timeout_s = self.lost_after_s + grace_s
        peers = tuple(
            (known_vm.vm, known_vm.readiness)
            for known_vm in self._known_vms.values()
            if known_vm.vm.failure_domain == domain
            and now_s - known_vm.last_heartbeat_s <= timeout_s
        )
        return ((self.own, self.own_readiness), *peers)

    def live_share(self, age_s: float, now_s: float) -> float:
        """Return the share of the own domain's known VMs that are live.

        Silent VMs count as known until they are forgotten. The result is 0
        while ``age_s``, the time since this VM's start, is below
        ``SETTLED_S``, since its view is still incomplete then.
        """
        if age_s < SETTLED_S:
            return 0
        return len(self.live_members(now_s)) / self.heartbeat_vm_count

    def live_in_domain(
        self,
        failure_domain: str,
        now_s: float,
    ) -> tuple[tuple[Vm, VmReadiness], ...]:
        """Return the VMs of a domain that are known to be live.

        For another domain they are those of its last valid digest.
        """
        return self._heard_vms(failure_domain, now_s, MAX_DIGEST_AGE_S)

    def ready(self, failure_domain: str, now_s: float) -> tuple[Vm, ...]:
        """Return the live VMs of a domain that accept calls."""
        return tuple(
            vm
            for vm, readiness in self.live_in_domain(failure_domain, now_s)
            if readiness is VmReadiness.READY
        )

    def ranked(
        self,
        subject: str,
        failure_domain: str,
        now_s: float,
    ) -> tuple[Vm, ...]:
        """Return the live VMs of a domain in rendezvous order for a subject.

        The first one is responsible for the subject, such as a pool of
        permits. Leaving VMs come last. When the digest of another domain is
        too old to tell who is live, its first VMs in rank are still returned
        for a while. Without any VM the result is this VM alone.
        """
        found = self.live_in_domain(failure_domain, now_s)
        if found:
            return _ranked(subject, found)
        found = self._heard_vms(failure_domain, now_s, MAX_RANKED_DIGEST_AGE_S)
        return _ranked(subject, found)[:OLD_RANKED_VMS] or (self.own,)

    def own_rank(self, subject: str, now_s: float, grace_s: float) -> int:
        """Return the rank of this VM in its own domain, 0 for the first.

        VMs that were lost less than ``grace_s`` seconds ago keep their rank.
        """
        found = self.live_members(now_s, grace_s)
        names = [vm.name for vm in _ranked(subject, found)]
        return names.index(self.own.name)

    def _forget_silent_vms(self, now_s: float) -> None:
        """Forget long-silent VMs, unless this VM may be the one cut off.

        A VM that hears only a minority of its domain keeps those that it has
        heard, so that they find each other again and it does not count as the
        whole domain. Planned stops are no sign of that.
        """
        live_count = len(self._live) + 1
        keeps_domain = 2 * live_count <= self.heartbeat_vm_count
        for name, peer in tuple(self._known_vms.items()):
            silence_s = now_s - max(peer.last_heartbeat_s, peer.reported_s)
            is_kept = keeps_domain and self._is_missed(peer)
            if silence_s > FORGET_AFTER_S and not is_kept:
                self._known_vms.pop(name)

    def _is_missed(self, peer: _KnownVm) -> bool:
        is_own_domain = peer.vm.failure_domain == self.own.failure_domain
        is_leaving = peer.readiness is VmReadiness.LEAVING
        return peer.is_heard and is_own_domain and not is_leaving

    def _heard_vms(
        self, failure_domain: str, now_s: float, max_digest_age_s: float
    ) -> tuple[tuple[Vm, VmReadiness], ...]:
        if failure_domain == self.own.failure_domain:
            return self.live_members(now_s)
        digest = self._digests.get(failure_domain)
        if digest is None or now_s - digest.created_s > max_digest_age_s:
            return ()
        return digest.vms


def _ranked(
    subject: str, found: Iterable[tuple[Vm, VmReadiness]]
) -> tuple[Vm, ...]:
    found = tuple(found)
    return (
        *_ranked_part(subject, found, is_leaving=False),
        *_ranked_part(subject, found, is_leaving=True),
    )


def _ranked_part(
    subject: str,
    found: Iterable[tuple[Vm, VmReadiness]],
    *,
    is_leaving: bool,
) -> tuple[Vm, ...]:
    by_name: Mapping[str, Vm] = {
        vm.name: vm
        for vm, readiness in found
        if (readiness is VmReadiness.LEAVING) == is_leaving
    }
    names = rendezvous_owners(subject, by_name, len(by_name))
    return tuple(by_name[name] for name in names)
