"""Builds the components that handle calls."""

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
from turmericpost.gateway.grant_log import GrantLog
from turmericpost.gateway.ingress import Ingress
from turmericpost.gateway.permit_client import PermitClient
from turmericpost.gateway.probes import BackendProber
from turmericpost.gateway.settings import GatewaySettings
from turmericpost.gateway.statement_exchange import StatementExchange
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.state import FleetState
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.limits import RetryLimits
from turmericpost_core.grants.pool_lead import PoolLead

SLACK_SHARE = 0.5
"""Share of ``retry_slack`` that all brokers of a service may use together. The
rest is reserved for pools that temporarily have two brokers because membership
views differ."""

_HEALTH_PATH = '/health'


@dataclass(frozen=True)
class CallPath:
    """The connected components that handle calls."""

    ingress: Ingress
    permit_client: PermitClient
    broker_service: BrokerService
    backend_status_log: BackendStatusLog
    grant_log: GrantLog
    connections: ServerConnections
    prober: BackendProber
    statements: StatementExchange


@dataclass(frozen=True)
class CallPathDependencies:
    """Collaborators of the components that handle calls."""

    reactor: Any
    clock: Clock
    settings: GatewaySettings
    call_codec: CallCodec
    state: FleetState
    peers: PeerProtocol
    metrics: GatewayMetrics


def build_call_path(dependencies: CallPathDependencies) -> CallPath:
    """Build the components that handle calls and connect them."""
    connections = ServerConnections(dependencies.reactor, dependencies.clock)
    prober = BackendProber(
        dependencies.reactor,
        connections,
        dependencies.call_codec,
        lambda service: _health_path(dependencies.state, service),
    )
    broker = _new_broker(dependencies)
    broker.lead_share = PoolLead(
        dependencies.clock, dependencies.peers.view
    ).share
    grant_log = GrantLog(
        dependencies.clock, dependencies.peers.view, dependencies.metrics
    )
    broker.observer = grant_log
    statements = StatementExchange(
        dependencies.clock,
        dependencies.peers,
        broker.rate_limits,
        broker.availability,
    )
    broker_service = BrokerService(
        dependencies.reactor,
        dependencies.clock,
        broker,
        dependencies.peers,
        prober,
        statements,
    )
    permit_client = PermitClient(
        dependencies.reactor,
        dependencies.clock,
        dependencies.peers,
        broker_service,
        statements,
    )
    attempt_dependencies = AttemptDependencies(
        connections,
        dependencies.call_codec,
        dependencies.clock,
        permit_client.report,
        permit_client.record_rate_limit,
        permit_client.record_availability,
        statements.may_send,
    )
    ingress = Ingress(
        dependencies.reactor,
        attempt_dependencies,
        dependencies.state,
        permit_client,
        dependencies.settings,
        dependencies.metrics,
    )
    return CallPath(
        ingress,
        permit_client,
        broker_service,
        BackendStatusLog(dependencies.clock, broker, dependencies.peers),
        grant_log,
        connections,
        prober,
        statements,
    )


def _new_broker(dependencies: CallPathDependencies) -> Broker:
    operating_bounds = dependencies.settings.operating_bounds
    retry_limits = RetryLimits(
        ratio=operating_bounds.retry_ratio,
        slack=operating_bounds.retry_slack,
        window_s=operating_bounds.retry_window_s,
        slack_share=SLACK_SHARE / len(dependencies.settings.domain_regions),
    )
    own = dependencies.peers.view.own
    return Broker(f'{own.name}.{own.started_ms}', retry_limits)


def _health_path(state: FleetState, service: str) -> str:
    config = state.config
    spec = None if config is None else config.services.get(service)
    return _HEALTH_PATH if spec is None else spec.health_path
