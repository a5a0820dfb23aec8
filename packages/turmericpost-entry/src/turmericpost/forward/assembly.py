"""Builds the call path of an entry VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from turmericpost.forward.attempt import AttemptTools
from turmericpost.forward.claims import KeyClaims
from turmericpost.forward.forwarder import Forwarder
from turmericpost.forward.keyed_calls import KeyPlace
from turmericpost.forward.pool import ConnectionPool
from turmericpost.forward.settings import ForwardSettings
from turmericpost.forward.well_known import AddressAnswers
from turmericpost.observe.metrics import Metrics
from turmericpost.store.record_log import RecordLog
from turmericpost_core.routing.balancer import Balancer


@dataclass(frozen=True)
class CallPathParts:
    """What the call path is built on."""

    balancer: Balancer
    metrics: Metrics
    answers: AddressAnswers
    key_place: KeyPlace
    log: RecordLog


def new_forwarder(
    reactor: Any,
    settings: ForwardSettings,
    parts: CallPathParts,
) -> Forwarder:
    """Return a forwarder without a routing table."""
    pool = ConnectionPool(
        reactor,
        settings.connect_timeout_s,
        settings.idle_connections,
    )
    clock = parts.key_place.clock
    tools = AttemptTools(clock, parts.balancer, pool, parts.metrics)
    return Forwarder(
        reactor,
        settings,
        tools,
        parts.answers.answer,
        parts.key_place,
        KeyClaims(parts.log, clock),
    )
