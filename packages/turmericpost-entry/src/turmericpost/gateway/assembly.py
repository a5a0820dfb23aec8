"""Builds the parts that calls go through."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from turmericpost.fleet.peers import Peers
from turmericpost.gateway.attempt import AttemptTools
from turmericpost.gateway.beliefs import Beliefs
from turmericpost.gateway.broker_desk import BrokerDesk
from turmericpost.gateway.connections import ServerConnections
from turmericpost.gateway.dialect import Dialect
from turmericpost.gateway.gateway_metrics import GatewayMetrics
from turmericpost.gateway.ingress import Ingress
from turmericpost.gateway.leadership import Leadership
from turmericpost.gateway.permit_desk import PermitDesk
from turmericpost.gateway.probes import Probes
from turmericpost.gateway.settings import GatewaySettings
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.state import FleetState
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.limits import RepeatBounds

SLACK_SHARE = 0.5
"""Part of the repeat budget's slack that all brokers of a service use
together; the rest covers two brokers of one pool in split views."""

_HEALTH_PATH = '/health'


@dataclass(frozen=True)
class CallPath:
    """The parts that calls go through."""

    calls: Ingress
    desk: PermitDesk
    broker_desk: BrokerDesk
    beliefs: Beliefs
    connections: ServerConnections
    probes: Probes


@dataclass(frozen=True)
class CallPathNeeds:
    """What the parts need of the VM."""

    reactor: Any
    clock: Clock
    settings: GatewaySettings
    dialect: Dialect
    state: FleetState
    peers: Peers
    metrics: GatewayMetrics


def new_call_path(needs: CallPathNeeds) -> CallPath:
    """Build the parts and connect them."""
    connections = ServerConnections(needs.reactor, needs.clock)
    state = needs.state
    probes = Probes(
        needs.reactor,
        connections,
        needs.dialect,
        lambda service: _health_path(state, service),
    )
    broker = _new_broker(needs)
    broker.leads = Leadership(needs.clock, needs.peers.view).leads
    broker_desk = BrokerDesk(
        needs.reactor,
        needs.clock,
        broker,
        needs.peers,
        probes,
    )
    desk = PermitDesk(needs.reactor, needs.clock, needs.peers, broker_desk)
    tools = AttemptTools(
        connections,
        needs.dialect,
        needs.clock,
        desk.finish,
    )
    calls = Ingress(
        needs.reactor,
        tools,
        state,
        desk,
        needs.settings,
        needs.metrics,
    )
    beliefs = Beliefs(needs.clock, broker, needs.peers)
    return CallPath(calls, desk, broker_desk, beliefs, connections, probes)


def _new_broker(needs: CallPathNeeds) -> Broker:
    promises = needs.settings.promises
    bounds = RepeatBounds(
        ratio=promises.repeat_ratio,
        slack=promises.repeat_slack,
        window_s=promises.repeat_window_s,
        slack_share=SLACK_SHARE / len(needs.settings.domain_regions),
    )
    own = needs.peers.view.own
    return Broker(f'{own.name}.{own.started_ms}', bounds)


def _health_path(state: FleetState, service: str) -> str:
    config = state.config
    spec = None if config is None else config.services.get(service)
    return _HEALTH_PATH if spec is None else spec.health_path
