"""Entry VMs that this VM hears, by failure domain.

Inside a failure domain every VM hears every other. Of the other domains a
VM knows what one VM of theirs tells: a digest of who is there and ready.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum

from turmericpost_core.membership.heartbeat_period import lost_after_s
from turmericpost_core.membership.ring import rendezvous_owners

MAX_DIGEST_AGE_S = 4.0
"""Age up to which the digest of a domain holds: four digests in a row."""

SETTLED_S = 2.0
"""Time after its start in which a VM does not yet know who else is there.

It finds others within two tries to join, a second apart.
"""

FORGET_AFTER_S = 120.0
"""Time that a silent VM is still called, so that a healed cut is noticed."""


class VmReadiness(IntEnum):
    """Whether a VM takes calls."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@dataclass(frozen=True, slots=True)
class Vm:
    """An entry VM; ``started_ms`` tells its incarnations apart."""

    name: str
    host: str
    peer_port: int
    caller_address: str
    failure_domain: str
    region: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class DomainDigest:
    """The VMs of a failure domain as one of them hears them."""

    failure_domain: str
    created_s: float
    vms: tuple[tuple[Vm, VmReadiness], ...]


@dataclass(slots=True)
class _KnownVm:
    vm: Vm
    readiness: VmReadiness
    last_heartbeat_s: float
    reported_s: float


class DomainView:
    """What one VM knows of the others; times are its monotonic seconds."""

    def __init__(self, own: Vm) -> None:
        self.own = own
        self.own_readiness = VmReadiness.STARTING
        self._known_vms: dict[str, _KnownVm] = {}
        self._digests: dict[str, DomainDigest] = {}
        self._live: frozenset[str] = frozenset()

    @property
    def heartbeat_vm_count(self) -> int:
        """How many VMs of the own domain heartbeats go to, this one too."""
        return len(self.heartbeat_targets(self.own.failure_domain)) + 1

    @property
    def lost_after_s(self) -> float:
        """Silence after which a VM of the own domain counts as lost."""
        return lost_after_s(self.heartbeat_vm_count)

    def record_heartbeat(
        self, vm: Vm, readiness: VmReadiness, now_s: float
    ) -> bool:
        """Take a heartbeat; return whether the VM or its start is new."""
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
        """Take VMs that another one knows; they are called, not trusted."""
        for vm in vms:
            known = self._known_vms.get(vm.name)
            if vm.name == self.own.name:
                continue
            if known is None or known.vm.started_ms < vm.started_ms:
                silent_s = now_s - 2 * self.lost_after_s
                self._known_vms[vm.name] = _KnownVm(
                    vm,
                    VmReadiness.STARTING,
                    silent_s,
                    now_s,
                )

    def record_digest(self, digest: DomainDigest) -> None:
        """Take the digest of another domain unless a newer one is known."""
        known = self._digests.get(digest.failure_domain)
        if known is None or digest.created_s > known.created_s:
            self._digests[digest.failure_domain] = digest

    def is_live(self, name: str) -> bool:
        """Return whether a VM was live at the last review."""
        return name in self._live

    def update_liveness(
        self, now_s: float
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Return the names that became live and those that were lost."""
        timeout_s = self.lost_after_s
        live = frozenset(
            name
            for name, peer in self._known_vms.items()
            if now_s - peer.last_heartbeat_s <= timeout_s
            and peer.vm.failure_domain == self.own.failure_domain
        )
        gained, lost = live - self._live, self._live - live
        self._live = live
        for name, peer in tuple(self._known_vms.items()):
            last_s = max(peer.last_heartbeat_s, peer.reported_s)
            if now_s - last_s > FORGET_AFTER_S:
                self._known_vms.pop(name)
        return gained, lost

    def heartbeat_targets(self, failure_domain: str) -> tuple[Vm, ...]:
        """Return every other VM of a domain that heartbeats go to."""
        return tuple(
            peer.vm
            for peer in self._known_vms.values()
            if peer.vm.failure_domain == failure_domain
        )

    def known(self) -> tuple[Vm, ...]:
        """Return every VM known, this one first."""
        others = tuple(peer.vm for peer in self._known_vms.values())
        digested = tuple(
            vm
            for digest in self._digests.values()
            for vm, _ in digest.vms
            if vm.name not in self._known_vms
        )
        return (self.own, *others, *digested)

    def live_members(self, now_s: float) -> tuple[tuple[Vm, VmReadiness], ...]:
        """Return the live VMs of the own domain with their standing."""
        domain = self.own.failure_domain
        timeout_s = self.lost_after_s
        peer = tuple(
            (one.vm, one.readiness)
            for one in self._known_vms.values()
            if one.vm.failure_domain == domain
            and now_s - one.last_heartbeat_s <= timeout_s
        )
        return ((self.own, self.own_readiness), *peer)

    def live_share(self, age_s: float, now_s: float) -> float:
        """Return the part of the own domain's VMs that are heard.

        VMs that fell silent count until they are forgotten. A VM that has
        just started, ``age_s`` ago, knows nothing and takes no part.
        """
        if age_s < SETTLED_S:
            return 0
        return len(self.live_members(now_s)) / self.heartbeat_vm_count

    def live_in_domain(
        self,
        failure_domain: str,
        now_s: float,
    ) -> tuple[tuple[Vm, VmReadiness], ...]:
        """Return the VMs of a domain as far as they are known to live."""
        if failure_domain == self.own.failure_domain:
            return self.live_members(now_s)
        digest = self._digests.get(failure_domain)
        if digest is None or now_s - digest.created_s > MAX_DIGEST_AGE_S:
            return ()
        return digest.vms

    def ready(self, failure_domain: str, now_s: float) -> tuple[Vm, ...]:
        """Return the VMs of a domain that take calls."""
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
        """Return the VMs to turn to for a subject, the first one first.

        VMs that are leaving come after all others; this one is the last
        resort for a domain without any.
        """
        found = self.live_in_domain(failure_domain, now_s)
        staying = _ranked(subject, found, is_leaving=False)
        leaving = _ranked(subject, found, is_leaving=True)
        return (*staying, *leaving) or (self.own,)


def _ranked(
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
