"""Builds the parts that calls go through."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from turmericpost.fleet.peers import PeerProtocol
from turmericpost.gateway.attempt import AttemptDependencies
from turmericpost.gateway.backend_status_log import BackendStatusLog
from turmericpost.gateway.broker_service import BrokerService
from turmericpost.gateway.call_codec import CallCodec
from turmericpost.gateway.connections import ServerConnections
from turmericpost.gateway.gateway_metrics import GatewayMetrics
from turmericpost.gateway.ingress import Ingress
from turmericpost.gateway.leadership import Leadership
from turmericpost.gateway.permit_client import PermitClient
from turmericpost.gateway.probes import BackendProber
from turmericpost.gateway.settings import GatewaySettings
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.state import FleetState
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.limits import RetryLimits

SLACK_SHARE = 0.5
"""Part of the repeat budget's slack that all brokers of a service use
together; the rest covers two brokers of one pool in split views."""

_HEALTH_PATH = '/health'


@dataclass(frozen=True)
class CallPath:
    """The parts that calls go through."""

    calls: Ingress
    desk: PermitClient
    broker_service: BrokerService
    backend_status_log: BackendStatusLog
    connections: ServerConnections
    probes: BackendProber


@dataclass(frozen=True)
class CallPathDependencies:
    """What the parts need of the VM."""

    reactor: Any
    clock: Clock
    settings: GatewaySettings
    call_codec: CallCodec
    state: FleetState
    peers: PeerProtocol
    metrics: GatewayMetrics


def build_call_path(needs: CallPathDependencies) -> CallPath:
    """Build the parts and connect them."""
    connections = ServerConnections(needs.reactor, needs.clock)
    state = needs.state
    probes = BackendProber(
        needs.reactor,
        connections,
        needs.call_codec,
        lambda service: _health_path(state, service),
    )
    broker = _new_broker(needs)
    broker.leads = Leadership(needs.clock, needs.peers.view).leads
    broker_service = BrokerService(
        needs.reactor,
        needs.clock,
        broker,
        needs.peers,
        probes,
    )
    desk = PermitClient(needs.reactor, needs.clock, needs.peers, broker_service)
    tools = AttemptDependencies(
        connections,
        needs.call_codec,
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
    backend_status_log = BackendStatusLog(needs.clock, broker, needs.peers)
    return CallPath(
        calls, desk, broker_service, backend_status_log, connections, probes
    )


def _new_broker(needs: CallPathDependencies) -> Broker:
    operating_bounds = needs.settings.operating_bounds
    bounds = RetryLimits(
        ratio=operating_bounds.repeat_ratio,
        slack=operating_bounds.repeat_slack,
        window_s=operating_bounds.repeat_window_s,
        slack_share=SLACK_SHARE / len(needs.settings.domain_regions),
    )
    own = needs.peers.view.own
    return Broker(f'{own.name}.{own.started_ms}', bounds)


def _health_path(state: FleetState, service: str) -> str:
    config = state.config
    spec = None if config is None else config.services.get(service)
    return _HEALTH_PATH if spec is None else spec.health_path
