"""Measure how long a loss and a change take to reach every entry VM."""

from __future__ import annotations

import json
import time
import tracemalloc
from collections.abc import Iterator
from random import Random

from turmericpost_core.config.decode import (
    document_from_mapping,
    document_to_mapping,
)
from turmericpost_core.config.document import (
    BackendServer,
    Document,
    FailureDomain,
    Service,
)
from turmericpost_core.membership.vm_records import VmIdentity, VmRecord
from turmericpost_core.routing.balancer import Balancer
from turmericpost_core.routing.facts import CallFacts, Location
from turmericpost_core.routing.ownership import assign_owners
from turmericpost_core.routing.table import RoutingTable
from turmericpost_standins.experiment.measure import running_cluster
from turmericpost_standins.experiment.processes import (
    Cluster,
    EntryProcess,
    wait_until,
)

_SIZES = (3, 6, 12)
_TARGETS = (100, 400, 1100)
_TARGETS_PER_SERVICE = 12
_VMS = 250
_MS_PER_S = 1000


def measure_changes() -> Iterator[str]:
    """Yield the times of a change and of a loss by number of VMs."""
    for size in _SIZES:
        with running_cluster(size) as cluster:
            in_force_s = _change(cluster)
            lost_s = _loss(cluster)
            yield (
                f'{size} VMs: change in force everywhere after '
                f'{in_force_s:.2f} s, loss known everywhere after {lost_s:.2f} s'
            )


def measure_documents() -> Iterator[str]:
    """Yield size and processor time of a document by number of targets."""
    for targets in _TARGETS:
        document = _document(targets)
        mapping = document_to_mapping(document)
        encoded = json.dumps(mapping)
        begun_s = time.process_time()
        document_from_mapping(json.loads(encoded))
        decoded_s = time.process_time()
        assign_owners(document, [_vm(number) for number in range(_VMS)])
        shared_s = time.process_time()
        yield (
            f'{targets} targets: {len(encoded)} bytes, decode '
            f'{(decoded_s - begun_s) * _MS_PER_S:.0f} ms, ownership among '
            f'{_VMS} VMs {(shared_s - decoded_s) * _MS_PER_S:.0f} ms, '
            f'{_memory_bytes(encoded)} bytes of memory'
        )


def _memory_bytes(encoded: str) -> int:
    """Return the memory of a document in force with all that routes by it."""
    tracemalloc.start()
    document = document_from_mapping(json.loads(encoded)).unwrap()
    location = Location('domain-0', 'region-0')
    table = RoutingTable(document, location, frozenset())
    balancer = Balancer(Random(1))
    balancer.install(table)
    for service in document.services:
        table.route(CallFacts(service.name, 'church', 'GET', '/'))
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept


def _change(cluster: Cluster) -> float:
    vm = cluster.vms[0]
    document = vm.admin('configuration')['document']
    change = {'text': json.dumps(document), 'format': 'json', 'author': 'it'}
    begun_s = time.monotonic()
    revision = vm.admin('changes', change)['revision']
    wait_until(lambda: all(one.revision() >= revision for one in cluster.vms))
    return time.monotonic() - begun_s


def _loss(cluster: Cluster) -> float:
    lost, *others = cluster.vms
    names = {vm.name for vm in others}
    begun_s = time.monotonic()
    lost.process.kill()
    wait_until(lambda: _agree(others, names))
    return time.monotonic() - begun_s


def _agree(vms: list[EntryProcess], names: set[str]) -> bool:
    return all(vm.live_vms() == names for vm in vms)


def _document(targets: int) -> Document:
    services = -(-targets // _TARGETS_PER_SERVICE)
    return Document(
        failure_domains=tuple(
            FailureDomain(f'domain-{number}', f'region-{number % 2}')
            for number in range(7)
        ),
        services=tuple(
            Service(f'service-{number}', slots=4) for number in range(services)
        ),
        backend_servers=tuple(
            BackendServer(
                f'10.1.{number // 250}.{number % 250}',
                9000,
                f'service-{number % services}',
                f'domain-{number % 7}',
                {'use': 'live'},
            )
            for number in range(targets)
        ),
        allow_unknown_accounts=True,
    )


def _vm(number: int) -> VmRecord:
    region = f'region-{number % 2}'
    name = f'10.2.0.{number}:1'
    return VmRecord(VmIdentity(name, 'host', 80, 'domain-0', region), 1)
