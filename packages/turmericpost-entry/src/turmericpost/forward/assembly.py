"""Creates the forwarder of an entry VM with its dependencies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from turmericpost.forward.address_endpoint import AddressEndpoint
from turmericpost.forward.attempt import AttemptDependencies
from turmericpost.forward.claims import KeyClaims
from turmericpost.forward.forwarder import Forwarder
from turmericpost.forward.keyed_calls import KeyedCallContext
from turmericpost.forward.pool import ConnectionPool
from turmericpost.forward.settings import ForwardSettings
from turmericpost.observe.metrics import Metrics
from turmericpost.store.record_log import RecordLog
from turmericpost_core.routing.balancer import Balancer


@dataclass(frozen=True)
class ForwarderDependencies:
    """Collaborators of a forwarder."""

    balancer: Balancer
    metrics: Metrics
    address_endpoint: AddressEndpoint
    keyed_call_context: KeyedCallContext
    log: RecordLog


def new_forwarder(
    reactor: Any,
    settings: ForwardSettings,
    dependencies: ForwarderDependencies,
) -> Forwarder:
    """Return a forwarder that has no routing table yet."""
    pool = ConnectionPool(
        reactor,
        settings.connect_timeout_s,
        settings.idle_connections,
    )
    clock = dependencies.keyed_call_context.clock
    attempt_dependencies = AttemptDependencies(
        clock, dependencies.balancer, pool, dependencies.metrics
    )
    return Forwarder(
        reactor,
        settings,
        attempt_dependencies,
        dependencies.address_endpoint.respond,
        dependencies.keyed_call_context,
        KeyClaims(dependencies.log, clock),
    )
