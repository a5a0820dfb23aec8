"""Choice of the owner VMs whose addresses a caller of a service gets."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from turmericpost_core.membership.vm_records import VmRecord
from turmericpost_core.routing.ownership import Ownership


@dataclass(frozen=True)
class AddressRequest:
    """Request for the entry VM addresses of a service.

    ``home_regions`` are the regions that may serve the caller, ``None`` if
    all may. ``responding_region`` is the region of the VM that responds.
    """

    service: str
    home_regions: frozenset[str] | None
    responding_region: str


def choose_owner_vms(
    request: AddressRequest,
    live: Iterable[VmRecord],
    ownership: Ownership,
    random: Random,
) -> tuple[VmRecord, ...]:
    """Return the entry VMs that a caller should use, preferred one first.

    VMs outside the home regions are excluded. Owners of the service in the
    region of the responding VM are preferred, since the caller has reached
    that region. The order is random, weighted by the number of backend
    servers that each owner has.
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
    """Return the names of allowed owners of the service in one region.

    The responding VM's region comes first. If no region has an allowed
    owner, returns the names of all allowed VMs.
    """
    regions = sorted({record.identity.region for record in allowed.values()})
    regions.sort(key=request.responding_region.__ne__)
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
    """Return the names in a weighted random order.

    A name with a larger weight is more likely to come first.
    """
    sort_keys = {
        name: random.random() ** (1 / max(weight, 1))
        for name, weight in zip(names, weights, strict=True)
    }
    return sorted(names, key=sort_keys.__getitem__, reverse=True)
