"""Address answers: the few entry VMs that own a service's load."""

from __future__ import annotations

from collections.abc import Iterable

from turmericpost_core.membership.facts import VmFact
from turmericpost_core.membership.ring import owners


def answer_vms(
    service: str,
    live: Iterable[VmFact],
    home_regions: frozenset[str] | None,
    near_region: str,
    count: int,
) -> tuple[VmFact, ...]:
    """Return the entry VMs a caller should use, the preferred one first.

    VMs outside the home regions never appear. VMs of the answering VM's
    region are preferred, since its caller reached it there.
    """
    allowed = [
        fact
        for fact in live
        if home_regions is None or fact.identity.region in home_regions
    ]
    near = [fact for fact in allowed if fact.identity.region == near_region]
    by_name = {fact.identity.name: fact for fact in near or allowed}
    return tuple(by_name[name] for name in owners(service, by_name, count))
