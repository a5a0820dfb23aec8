"""How much of a failure domain a VM hears and knows."""

from __future__ import annotations

from dataclasses import dataclass

from turmericpost_core.membership.domain_view import DomainView


@dataclass(frozen=True, slots=True)
class DomainCensus:
    """Numbers of VMs of a failure domain that this VM hears and knows.

    ``digest_age_s`` is the age of the last digest of another domain, ``None``
    for the own domain and without a digest. ``heard`` is 0 if it is too old.
    """

    heard: int
    known: int
    digest_age_s: float | None


def take_census(
    view: DomainView, failure_domain: str, now_s: float
) -> DomainCensus:
    """Return what a VM hears and knows of a failure domain now."""
    heard = len(view.live_in_domain(failure_domain, now_s))
    if failure_domain == view.own.failure_domain:
        return DomainCensus(heard, view.heartbeat_vm_count, None)
    names = {vm.name for vm in view.heartbeat_targets(failure_domain)}
    digest = view.last_digest(failure_domain)
    if digest is None:
        return DomainCensus(heard, len(names), None)
    names.update(vm.name for vm, _ in digest.vms)
    return DomainCensus(heard, len(names), now_s - digest.created_s)
