"""Address answers: the few entry VMs that own a service's load."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from turmericpost_core.membership.vm_records import VmRecord
from turmericpost_core.routing.ownership import Ownership


@dataclass(frozen=True)
class AddressRequest:
    """Who asks for the addresses of which service, and from where.

    ``home_regions`` is ``None`` when nothing binds the caller to regions.
    """

    service: str
    home_regions: frozenset[str] | None
    answering_region: str


def choose_owner_vms(
    request: AddressRequest,
    live: Iterable[VmRecord],
    ownership: Ownership,
    random: Random,
) -> tuple[VmRecord, ...]:
    """Return the entry VMs a caller should use, the preferred one first.

    VMs outside the home regions never appear. The owners of the service in
    the answering VM's region are preferred, since its caller reached it
    there; each is first as often as its share of the backend servers.
    """
    allowed = {
        record.identity.name: record
        for record in live
        if request.home_regions is None
        or record.identity.region in request.home_regions
    }
    owners = _owner_names(request, allowed, ownership)
    weights = ownership.weights(request.service, owners)
    return tuple(
        allowed[name] for name in _weighted_shuffle(owners, weights, random)
    )


def _owner_names(
    request: AddressRequest,
    allowed: dict[str, VmRecord],
    ownership: Ownership,
) -> list[str]:
    """Return owners in the near region, else in any, else any VM."""
    regions = sorted({record.identity.region for record in allowed.values()})
    regions.sort(key=request.answering_region.__ne__)
    for region in regions:
        owners = ownership.service_owners.get((request.service, region), ())
        known = [name for name in owners if name in allowed]
        if known:
            return known
    return sorted(allowed)


def _weighted_shuffle(
    names: list[str],
    weights: list[int],
    random: Random,
) -> list[str]:
    """Return the names in random order, heavy ones rather in front."""
    keys = {
        name: random.random() ** (1 / max(weight, 1))
        for name, weight in zip(names, weights, strict=True)
    }
    return sorted(names, key=keys.__getitem__, reverse=True)
