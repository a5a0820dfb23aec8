"""Decoding of the operator's records: configurations and evacuations."""

from __future__ import annotations

from typing import Any

from result import Err, Ok, Result

from turmericpost.fleet.field_types import check_field_types
from turmericpost.platform.json_fields import MALFORMED_ERRORS, parse_json
from turmericpost.platform.store_codec import KeyedRecord
from turmericpost_core.fleet.operator_config import (
    CallerLimits,
    OperatorConfig,
    OperatorRoute,
    ServiceSpec,
    SplitPart,
)
from turmericpost_core.fleet.state import OperatorChange

CONFIG_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'

_MS_PER_S = 1000
_ROUTE_TYPES = frozenset(('idempotent', 'non_idempotent'))


def decode_operator_record(record: KeyedRecord) -> Result[OperatorChange, str]:
    """Decode a configuration, or the start or end of an evacuation.

    Returns the reason as text if the record is invalid.
    """
    try:
        return Ok(_decode_change(record))
    except MALFORMED_ERRORS as error:
        return Err(f'{type(error).__name__}: {error}')


def _decode_change(record: KeyedRecord) -> OperatorChange:
    if record.key.startswith(EVACUATION_PREFIX):
        change = OperatorChange(
            record.offset,
            evacuated_domain=record.key.removeprefix(EVACUATION_PREFIX),
            is_evacuated=bool(record.payload),
        )
    elif record.key == CONFIG_KEY:
        config = _decode_config(parse_json(record.payload))
        change = OperatorChange(record.offset, config=config)
    else:
        raise ValueError('unknown key')
    check_field_types(change)
    return change


def _decode_config(body: Any) -> OperatorConfig:
    if not isinstance(body, dict):
        raise TypeError('the configuration is not an object')
    services = {
        spec.name: spec
        for spec in map(_decode_service, body.get('Services', ()))
    }
    return OperatorConfig(
        version=int(body['Version']),
        routes=tuple(
            _decode_route(route, services) for route in body['Routes']
        ),
        services=services,
        limits=_decode_limits(body['Limits']),
    )


def _decode_service(body: Any) -> ServiceSpec:
    return ServiceSpec(
        name=body['Name'],
        health_path=body.get('HealthCheckPath', '/health'),
        max_connections=int(body.get('MaxConnections', 0)),
        warmup_s=float(body.get('WarmupS', 0)),
        cold_per_s=float(body.get('WarmupPerS', 1)),
    )


def _decode_route(body: Any, services: dict[str, ServiceSpec]) -> OperatorRoute:
    kind = body['RouteType']
    if kind not in _ROUTE_TYPES:
        raise ValueError(f'RouteType is {kind!r}')
    split = _decode_split(body)
    for part in split:
        if part.service not in services:
            raise ValueError(f'service {part.service!r} is not defined')
    timeout_s = float(body['TimeoutMs']) / _MS_PER_S
    return OperatorRoute(
        name=body['Name'],
        host=str(body['Host']).lower(),
        path_prefix=body['PathPrefix'],
        is_idempotent=kind == 'idempotent',
        timeout_s=timeout_s,
        objective_s=float(body['SloLatencyMs']) / _MS_PER_S,
        rank=int(body.get('Priority', 0)),
        split=split,
        max_attempts=int(body['MaxAttempts']),
        home_regions=frozenset(body.get('AllowedRegions') or ()),
    )


def _decode_split(body: Any) -> tuple[SplitPart, ...]:
    parts = body.get('TrafficSplit')
    if not parts:
        return (SplitPart(body['Service'], 1),)
    return tuple(
        SplitPart(part['Service'], float(part['Weight'])) for part in parts
    )


def _decode_limits(body: Any) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=int(body['MaxHeaderBytes']),
        max_body_bytes=int(body['MaxBodyBytes']),
        header_timeout_s=float(body['HeaderTimeoutMs']) / _MS_PER_S,
        idle_timeout_s=float(body['IdleTimeoutMs']) / _MS_PER_S,
    )
