"""JSON views of the state of an entry VM."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from turmericpost.configlog.publisher import Publisher
from turmericpost.observe.metrics import Metrics
from turmericpost_core.clock import Clock
from turmericpost_core.config.apply_records import (
    Configuration,
    EvaluatedChange,
)
from turmericpost_core.config.decode import document_to_mapping
from turmericpost_core.config.document import BackendServer
from turmericpost_core.config.local_time import (
    DepartureInterval,
    planned_departures,
)
from turmericpost_core.limits.backend_load import ReportedState
from turmericpost_core.membership.vm_records import VmRecord
from turmericpost_core.outcome.reasons import RefusalReason
from turmericpost_core.routing.balancer import Balancer
from turmericpost_core.routing.facts import CallFacts, Location
from turmericpost_core.routing.table import Route, RoutingTable


@dataclass(frozen=True)
class AdminState:
    """VM state that the admin port shows, and the publisher of changes."""

    clock: Clock
    metrics: Metrics
    configuration: Callable[[], Configuration]
    table: Callable[[], RoutingTable | None]
    balancer: Balancer
    known_vms: Callable[[], tuple[VmRecord, ...]]
    location: Location
    publisher: Publisher


def status_view(state: AdminState) -> dict[str, Any]:
    """Return the revision, entry VMs, backend servers and main counters."""
    table = state.table()
    backends = () if table is None else table.document.backend_servers
    return {
        'revision': state.configuration().revision,
        'ready': table is not None,
        'entry_vms': [_vm_view(record) for record in state.known_vms()],
        'failure_domains_out': sorted(table.out_of_service_domains)
        if table
        else [],
        'backend_servers': [
            _backend_view(state, backend) for backend in backends
        ],
        'control_bytes': {
            'peers_sent': state.metrics.peer_bytes_sent,
            'peers_received': state.metrics.peer_bytes_received,
            'platform': state.metrics.platform_bytes,
        },
        'refusals': {
            reason.value: count
            for reason, count in state.metrics.refusals.items()
            if count
        },
        'retries': {
            reason.value: count
            for reason, count in state.metrics.retries.items()
            if count
        },
    }


def configuration_view(state: AdminState) -> dict[str, Any]:
    """Return the revision and the document in force."""
    configuration = state.configuration()
    document = configuration.document
    return {
        'revision': configuration.revision,
        'document': document_to_mapping(document) if document else None,
    }


def history_view(state: AdminState) -> dict[str, Any]:
    """Return the latest configuration changes, the newest last."""
    changes = state.configuration().history
    return {'changes': [change_view(change) for change in changes]}


def change_view(change: EvaluatedChange) -> dict[str, Any]:
    """Return one configuration change and its verdict."""
    return {
        'change_id': change.change_id,
        'author': change.author,
        'published_at_utc': change.published_at_utc.isoformat(),
        'base_revision': change.base_revision,
        'revision': change.revision,
        'verdict': change.verdict.value,
    }


def plan_view(state: AdminState) -> dict[str, Any]:
    """Return the planned departures that have not ended yet."""
    document = state.configuration().document
    now_utc = state.clock.utc_now()
    intervals = planned_departures(document.failure_domains if document else ())
    return {
        'departures': [
            _departure_view(interval)
            for interval in intervals
            if interval.returns_utc > now_utc
        ],
    }


def explain_view(
    state: AdminState,
    facts: CallFacts,
) -> Result[dict[str, Any], RefusalReason]:
    """Return which backend servers may serve a call and why others may not."""
    table = state.table()
    if table is None:
        return Err(RefusalReason.NOT_READY)
    route = table.route(facts)
    if route.is_err():
        return Err(route.unwrap_err())
    return Ok(_route_view(state, table, route.unwrap()))


def _route_view(
    state: AdminState,
    table: RoutingTable,
    route: Route,
) -> dict[str, Any]:
    allowed_regions = route.home_regions
    excluded = {candidate.backend.address for candidate in route.excluded}
    nearest_addresses = {backend.address for backend in route.backends}
    other_region_backends = [
        backend.address
        for backend in table.document.backend_servers
        if backend.service == route.service.name
        and backend.address not in excluded | nearest_addresses
    ]
    return {
        'service': route.service.name,
        'idempotent': route.idempotent,
        'home_regions': None
        if allowed_regions is None
        else sorted(allowed_regions),
        'may_serve': [
            _backend_view(state, candidate) for candidate in route.backends
        ],
        'other_region': other_region_backends,
        'may_not_serve': [
            {
                'address': candidate.backend.address,
                'reason': candidate.exclusion.value,
                'selector': candidate.selector,
            }
            for candidate in route.excluded
        ],
    }


def _vm_view(record: VmRecord) -> dict[str, Any]:
    identity = record.identity
    return {
        'name': identity.name,
        'caller_address': f'{identity.caller_host}:{identity.caller_port}',
        'failure_domain': identity.failure_domain,
        'region': identity.region,
        'state': record.state.name.lower(),
        'incarnation': record.incarnation,
        'revision': record.revision,
    }


def _backend_view(
    state: AdminState,
    backend: BackendServer,
) -> dict[str, Any]:
    load = state.balancer.load_of(backend.address)
    view: dict[str, Any] = {
        'address': backend.address,
        'service': backend.service,
        'failure_domain': backend.failure_domain,
        'labels': backend.labels,
    }
    if load is not None:
        view['in_flight'] = load.in_flight
        view['limit'] = load.limit
        view['state'] = _load_state(load.state, is_cold=load.is_cold)
    return view


def _load_state(state: ReportedState, *, is_cold: bool) -> str:
    if state is ReportedState.WARM and is_cold:
        return 'warming'
    return state.name.lower()


def _departure_view(interval: DepartureInterval) -> dict[str, Any]:
    departure = interval.departure
    return {
        'failure_domain': interval.failure_domain,
        'time_zone': departure.time_zone,
        'leaves_local': departure.leaves_local.isoformat(),
        'returns_local': departure.returns_local.isoformat(),
        'leaves_utc': interval.leaves_utc.isoformat(),
        'returns_utc': interval.returns_utc.isoformat(),
        'rules': interval.rules,
    }
