"""Msgpack form of what one VM tells another of the platform."""

from __future__ import annotations

from dataclasses import astuple
from typing import Any

import msgpack
from result import Err, Ok, Result

from turmericpost.fleet.message_codec import (
    MalformedMessage,
    unpack_backend,
)
from turmericpost_core.fleet.operator_config import (
    CallerLimits,
    OperatorConfig,
    OperatorRoute,
    ServiceSpec,
    SplitPart,
)
from turmericpost_core.fleet.state import FleetSnapshot


def encode_snapshot(snapshot: FleetSnapshot) -> bytes:
    """Return the bytes of a snapshot."""
    config = snapshot.config
    packed: bytes = msgpack.packb(
        [
            snapshot.operator_offset,
            None if config is None else _pack_config(config),
            sorted(snapshot.evacuated),
            snapshot.backends_version,
            snapshot.next_offset,
            [astuple(backend) for backend in snapshot.backends],
        ]
    )
    return packed


def decode_snapshot(wire: bytes) -> Result[FleetSnapshot, MalformedMessage]:
    """Build a snapshot from its bytes."""
    try:
        return Ok(_snapshot(msgpack.unpackb(wire)))
    except (ValueError, TypeError, IndexError) as error:
        return Err(MalformedMessage(repr(error)))


def _snapshot(fields: Any) -> FleetSnapshot:
    offset, config, evacuated, version, next_offset, backends = fields
    changed, given_up = version
    return FleetSnapshot(
        operator_offset=offset,
        config=None if config is None else _unpack_config(config),
        evacuated=frozenset(evacuated),
        backends_version=(changed, given_up),
        next_offset=next_offset,
        backends=tuple(unpack_backend(one) for one in backends),
    )


def _pack_config(config: OperatorConfig) -> list[Any]:
    return [
        config.version,
        [_pack_route(route) for route in config.routes],
        [astuple(service) for service in config.services.values()],
        astuple(config.limits),
    ]


def _pack_route(route: OperatorRoute) -> list[Any]:
    return [
        route.name,
        route.host,
        route.path_prefix,
        route.is_idempotent,
        route.timeout_s,
        route.objective_s,
        route.rank,
        [astuple(part) for part in route.split],
        route.max_attempts,
        sorted(route.home_regions),
    ]


def _unpack_config(fields: Any) -> OperatorConfig:
    version, routes, services, limits = fields
    specs = tuple(ServiceSpec(*one) for one in services)
    return OperatorConfig(
        version=version,
        routes=tuple(_unpack_route(one) for one in routes),
        services={spec.name: spec for spec in specs},
        limits=CallerLimits(*limits),
    )


def _unpack_route(fields: Any) -> OperatorRoute:
    *plain, split, max_attempts, home_regions = fields
    parts = tuple(SplitPart(*part) for part in split)
    plain.extend((parts, max_attempts, frozenset(home_regions)))
    return OperatorRoute(*plain)
