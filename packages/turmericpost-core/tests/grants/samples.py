"""Sample backend servers, permit requests and brokers."""

from __future__ import annotations

from dataclasses import replace

from turmericpost_core.fleet.backends import Backend
from turmericpost_core.fleet.operator_config import ServiceSpec
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.limits import RetryLimits
from turmericpost_core.grants.permits import PermitRequest, ReportedLoad

RETRY_LIMITS = RetryLimits(ratio=0.2, slack=60, window_s=10, slack_share=0.1)
SPEC = ServiceSpec('press', '/health', 260, 3, 3)
OBJECTIVE_S = 0.8
DEADLINE_S = 2.0


def backend(number: int, **changes: object) -> Backend:
    default = Backend(
        backend_id=f'b{number}',
        service='press',
        host='10.0.0.1',
        port=8000 + number,
        failure_domain='nasr',
        slots=3,
        is_draining=False,
        cold_left_s=0,
        started_ms=1,
    )
    return replace(default, **changes)


def new_request(number: int, now_s: float, **changes: object) -> PermitRequest:
    default = PermitRequest(
        permit_request_id=f'vm1.{number}',
        requester='vm1',
        service='press',
        failure_domain='nasr',
        rank=1,
        arrived_s=now_s,
        requested_s=now_s,
        objective_at_s=now_s + OBJECTIVE_S,
        deadline_at_s=now_s + DEADLINE_S,
    )
    return replace(default, **changes)


def new_broker(backends: int, now_s: float = 0, name: str = 'vm0.1') -> Broker:
    broker = Broker(name, RETRY_LIMITS)
    broker.visible_share = 1
    broker.install_services({SPEC.name: SPEC})
    broker.install_backends([backend(one) for one in range(backends)], now_s)
    return broker


def reported_load(
    slowness: float = 100,
    running: int = 0,
    cold_left_s: float | None = 0,
) -> ReportedLoad:
    return ReportedLoad(running, 0, 3, slowness, cold_left_s)


def probe_backend(
    broker: Broker,
    number: int,
    now_s: float,
    slowness: float = 100,
) -> tuple[object, ...]:
    return broker.record_probe(
        f'b{number}',
        reported_load(slowness),
        now_s,
        is_healthy=True,
    )
