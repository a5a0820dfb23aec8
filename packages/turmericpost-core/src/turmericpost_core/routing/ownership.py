"""Ownership: which entry VM sends calls to which backend server.

Only the owner of a backend server sends calls to it, so one VM knows its load
exactly. Owners are computed from the document and the membership view alone:
a few VMs of a region own a service, and rendezvous hashing assigns its
backend servers to them evenly.
"""

from __future__ import annotations

from collections import ChainMap, Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil
from types import MappingProxyType

from turmericpost_core.config.document import BackendServer, Document
from turmericpost_core.membership.ring import rendezvous_owners
from turmericpost_core.membership.vm_records import VmRecord


@dataclass(frozen=True)
class Ownership:
    """Owner VMs of backend servers and services.

    ``backend_owners`` maps addresses to VM names, ``service_owners`` maps
    service and region to VM names. ``backend_counts`` holds the number of
    owned backend servers by service and VM.
    """

    backend_owners: Mapping[str, str]
    service_owners: Mapping[tuple[str, str], tuple[str, ...]]
    backend_counts: Mapping[str, Mapping[str, int]]

    def owner_of(self, backend: BackendServer) -> str | None:
        """Return the name of the VM that owns a backend server, if any."""
        return self.backend_owners.get(backend.address)

    def weights(self, service: str, names: Iterable[str]) -> list[int]:
        """Return for each named VM how many servers of a service it owns."""
        counts = self.backend_counts.get(service, {})
        return [counts.get(name, 0) for name in names]


NO_OWNERSHIP = Ownership(
    MappingProxyType({}),
    MappingProxyType({}),
    MappingProxyType({}),
)


def assign_owners(document: Document, live: Iterable[VmRecord]) -> Ownership:
    """Return the ownership for a document and the live VMs.

    The owners of a region without live VMs are chosen among all live VMs.
    """
    regions = {one.name: one.region for one in document.failure_domains}
    vm_regions = {
        record.identity.name: record.identity.region for record in live
    }
    service_owners = {
        (service.name, region): rendezvous_owners(
            f'{service.name} {region}',
            _vms_serving_region(vm_regions, region),
            document.limits.owners_per_service,
        )
        for service in document.services
        for region in set(regions.values())
    }
    assignments = {
        service_region: _assign_backends(
            addresses, service_owners[service_region]
        )
        for service_region, addresses in _group_addresses(
            document, regions
        ).items()
    }
    counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for (service_name, _), assigned in assignments.items():
        counts[service_name].update(assigned.values())
    return Ownership(
        dict(ChainMap(*assignments.values())), service_owners, counts
    )


def _group_addresses(
    document: Document,
    regions: Mapping[str, str],
) -> dict[tuple[str, str], list[str]]:
    """Return the addresses of backend servers by service and region."""
    addresses_by_region: defaultdict[tuple[str, str], list[str]] = defaultdict(
        list
    )
    for backend in document.backend_servers:
        service_region = (backend.service, regions[backend.failure_domain])
        addresses_by_region[service_region].append(backend.address)
    return addresses_by_region


def _vms_serving_region(
    vm_regions: Mapping[str, str], region: str
) -> tuple[str, ...]:
    in_region = (
        name for name, vm_region in vm_regions.items() if vm_region == region
    )
    return tuple(in_region) or tuple(vm_regions)


def _assign_backends(
    addresses: list[str],
    owner_names: tuple[str, ...],
) -> dict[str, str]:
    """Assign each server to its highest-ranked owner below the quota."""
    if not owner_names:
        return {}
    quota = ceil(len(addresses) / len(owner_names))
    owned_counts: Counter[str] = Counter()
    assigned = {}
    for address in sorted(addresses):
        ranked_owners = rendezvous_owners(
            address, owner_names, len(owner_names)
        )
        owner = next(
            name for name in ranked_owners if owned_counts[name] < quota
        )
        owned_counts[owner] += 1
        assigned[address] = owner
    return assigned
