"""Measures how fast changes spread, and what configuration documents cost."""

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

_CLUSTER_SIZES = (3, 6, 12)
_BACKEND_COUNTS = (100, 400, 1100)
_BACKENDS_PER_SERVICE = 12
_VM_COUNT = 250
_MS_PER_S = 1000


def measure_changes() -> Iterator[str]:
    """Yield a line on propagation times for each cluster size.

    Measures the time until a configuration change is in force on every entry
    VM, and until every other VM has detected the loss of a killed one.
    """
    for size in _CLUSTER_SIZES:
        with running_cluster(size) as cluster:
            change_s = _time_change(cluster)
            loss_s = _time_loss(cluster)
            yield (
                f'{size} VMs: change in force everywhere after '
                f'{change_s:.2f} s, loss known everywhere after {loss_s:.2f} s'
            )


def measure_documents() -> Iterator[str]:
    """Yield a line on size, CPU time and memory for each size of document.

    The size of a document is its number of backend servers (``targets``).
    """
    for backend_count in _BACKEND_COUNTS:
        document = _document(backend_count)
        mapping = document_to_mapping(document)
        encoded = json.dumps(mapping)
        begun_s = time.process_time()
        document_from_mapping(json.loads(encoded))
        decoded_s = time.process_time()
        assign_owners(
            document, [_vm_record(number) for number in range(_VM_COUNT)]
        )
        assigned_s = time.process_time()
        yield (
            f'{backend_count} targets: {len(encoded)} bytes, decode '
            f'{(decoded_s - begun_s) * _MS_PER_S:.0f} ms, ownership among '
            f'{_VM_COUNT} VMs {(assigned_s - decoded_s) * _MS_PER_S:.0f} ms, '
            f'{_memory_bytes(encoded)} bytes of memory'
        )


def _memory_bytes(encoded: str) -> int:
    """Return the memory of a decoded document and its routing structures.

    These are the routing table, the balancer and a route for each service.
    """
    tracemalloc.start()
    document = document_from_mapping(json.loads(encoded)).unwrap()
    location = Location('domain-0', 'region-0')
    table = RoutingTable(document, location, frozenset())
    balancer = Balancer(Random(1))
    balancer.install(table)
    for service in document.services:
        table.route(CallFacts(service.name, 'church', 'GET', '/'))
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return traced_bytes


def _time_change(cluster: Cluster) -> float:
    vm = cluster.vms[0]
    document = vm.admin('configuration')['document']
    change = {'text': json.dumps(document), 'format': 'json', 'author': 'it'}
    begun_s = time.monotonic()
    revision = vm.admin('changes', change)['revision']
    wait_until(
        lambda: all(entry_vm.revision() >= revision for entry_vm in cluster.vms)
    )
    return time.monotonic() - begun_s


def _time_loss(cluster: Cluster) -> float:
    lost_vm, *others = cluster.vms
    expected_names = {vm.name for vm in others}
    begun_s = time.monotonic()
    lost_vm.process.kill()
    wait_until(lambda: _all_have_live_vms(others, expected_names))
    return time.monotonic() - begun_s


def _all_have_live_vms(
    vms: list[EntryProcess], expected_names: set[str]
) -> bool:
    return all(vm.live_vms() == expected_names for vm in vms)


def _document(backend_count: int) -> Document:
    services = -(-backend_count // _BACKENDS_PER_SERVICE)
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
            for number in range(backend_count)
        ),
        allow_unknown_accounts=True,
    )


def _vm_record(number: int) -> VmRecord:
    region = f'region-{number % 2}'
    name = f'10.2.0.{number}:1'
    return VmRecord(VmIdentity(name, 'host', 80, 'domain-0', region), 1)
