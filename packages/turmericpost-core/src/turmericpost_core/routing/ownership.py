"""Which entry VM sends calls to which backend server.

Only the owner of a backend server sends calls to it, so its load is known
exactly at one place. Owners follow from the view alone: a few VMs of the
region own a service, and its backend servers are shared out among them as
evenly as rendezvous hashing allows.
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
    """Owners of backend servers by address, and of services by name.

    ``service_owners`` is keyed by service and region, ``backend_counts`` by
    service and VM.
    """

    backend_owners: Mapping[str, str]
    service_owners: Mapping[tuple[str, str], tuple[str, ...]]
    backend_counts: Mapping[str, Mapping[str, int]]

    def owner_of(self, backend: BackendServer) -> str | None:
        """Return the VM that sends calls to a backend server."""
        return self.backend_owners.get(backend.address)

    def weights(self, service: str, names: Iterable[str]) -> list[int]:
        """Return how many backend servers of a service each VM owns."""
        counts = self.backend_counts.get(service, {})
        return [counts.get(name, 0) for name in names]


NO_OWNERSHIP = Ownership(
    MappingProxyType({}),
    MappingProxyType({}),
    MappingProxyType({}),
)


def assign_owners(document: Document, live: Iterable[VmRecord]) -> Ownership:
    """Return who owns what under a document and a view.

    A region without a VM of its own is looked after by all others.
    """
    regions = {one.name: one.region for one in document.failure_domains}
    places = {fact.identity.name: fact.identity.region for fact in live}
    service_owners = {
        (service.name, region): rendezvous_owners(
            f'{service.name} {region}',
            _near_names(places, region),
            document.limits.owners_per_service,
        )
        for service in document.services
        for region in set(regions.values())
    }
    shares = {
        place: _share_backends(addresses, service_owners[place])
        for place, addresses in _grouped(document, regions).items()
    }
    counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for (service_name, _), shared in shares.items():
        counts[service_name].update(shared.values())
    return Ownership(dict(ChainMap(*shares.values())), service_owners, counts)


def _grouped(
    document: Document,
    regions: Mapping[str, str],
) -> dict[tuple[str, str], list[str]]:
    """Return the addresses of backend servers by service and region."""
    grouped: defaultdict[tuple[str, str], list[str]] = defaultdict(list)
    for backend in document.backend_servers:
        place = (backend.service, regions[backend.failure_domain])
        grouped[place].append(backend.address)
    return grouped


def _near_names(places: Mapping[str, str], region: str) -> tuple[str, ...]:
    near = (name for name, there in places.items() if there == region)
    return tuple(near) or tuple(places)


def _share_backends(
    addresses: list[str],
    few: tuple[str, ...],
) -> dict[str, str]:
    """Give each backend server to its first owner that has room."""
    if not few:
        return {}
    room = ceil(len(addresses) / len(few))
    taken: Counter[str] = Counter()
    shared = {}
    for address in sorted(addresses):
        ranked = rendezvous_owners(address, few, len(few))
        chosen = next(name for name in ranked if taken[name] < room)
        taken[chosen] += 1
        shared[address] = chosen
    return shared
