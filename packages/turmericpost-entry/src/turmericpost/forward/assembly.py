"""Builds the call path of an entry VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from turmericpost.forward.address_endpoint import AddressEndpoint
from turmericpost.forward.attempt import AttemptTools
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
    """What the call path is built on."""

    balancer: Balancer
    metrics: Metrics
    answers: AddressEndpoint
    keyed_call_context: KeyedCallContext
    log: RecordLog


def new_forwarder(
    reactor: Any,
    settings: ForwardSettings,
    parts: ForwarderDependencies,
) -> Forwarder:
    """Return a forwarder without a routing table."""
    pool = ConnectionPool(
        reactor,
        settings.connect_timeout_s,
        settings.idle_connections,
    )
    clock = parts.keyed_call_context.clock
    tools = AttemptTools(clock, parts.balancer, pool, parts.metrics)
    return Forwarder(
        reactor,
        settings,
        tools,
        parts.answers.answer,
        parts.keyed_call_context,
        KeyClaims(parts.log, clock),
    )
