"""Compressed msgpack encoding of state updates between VMs."""

from __future__ import annotations

import zlib
from dataclasses import astuple
from typing import Any

import msgpack
from result import Err, Ok, Result

from turmericpost.fleet.field_types import check_field_types, read_position
from turmericpost.fleet.message_codec import (
    MalformedMessage,
    unpack_backend,
)
from turmericpost_core.fleet.changes import BackendChange, RegistryUpdate
from turmericpost_core.fleet.config_updates import ConfigUpdate
from turmericpost_core.fleet.operator_config import (
    CallerLimits,
    OperatorRoute,
    ServiceSpec,
    SplitPart,
)
from turmericpost_core.fleet.state import FleetUpdate, KnownVersions

MAX_UPDATE_BYTES = 16_777_216
"""Maximum size of an update after decompression.

It is fifty times the size that registry and configuration are expected to have
in two years.
"""

_COMPRESSION_LEVEL = 1


def encode_update_request(known: KnownVersions) -> bytes:
    """Return the bytes of a request for an update since the known versions."""
    packed: bytes = msgpack.packb(astuple(known))
    return packed


def parse_update_request(
    fields: Any,
) -> Result[KnownVersions, MalformedMessage]:
    """Return the versions in an unpacked request, or an error."""
    try:
        return Ok(_parse_versions(fields))
    except (ValueError, TypeError) as error:
        return Err(MalformedMessage(repr(error)))


def encode_update(update: FleetUpdate) -> bytes:
    """Return the compressed bytes of an update."""
    config = update.config
    registry = update.registry
    packed = msgpack.packb(
        [
            update.operator_offset,
            update.config_version,
            None if config is None else _pack_config(config),
            sorted(update.evacuated),
            [
                registry.base,
                registry.version,
                registry.next_offset,
                registry.digest,
                [_pack_change(change) for change in registry.changes],
            ],
        ]
    )
    return zlib.compress(packed, _COMPRESSION_LEVEL)


def decode_update(wire: bytes) -> Result[FleetUpdate, MalformedMessage]:
    """Return the update in compressed bytes, or an error if it is malformed."""
    try:
        return Ok(_parse_update(msgpack.unpackb(_decompress(wire))))
    except (ValueError, TypeError, zlib.error) as error:
        return Err(MalformedMessage(repr(error)))


def _parse_versions(fields: Any) -> KnownVersions:
    operator_offset, config, backends = fields
    versions = KnownVersions(
        read_position(operator_offset),
        config,
        None if backends is None else _parse_version(backends),
    )
    check_field_types(versions)
    return versions


def _decompress(wire: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(wire, MAX_UPDATE_BYTES)
    if not decompressor.eof:
        raise ValueError('the update is truncated or too large')
    return decompressed


def _parse_update(fields: Any) -> FleetUpdate:
    operator_offset, config_version, config, evacuated, registry = fields
    update = FleetUpdate(
        operator_offset=read_position(operator_offset),
        config_version=config_version,
        config=None if config is None else _unpack_config(config),
        evacuated=frozenset(evacuated),
        registry=_unpack_registry(registry),
    )
    check_field_types(update)
    return update


def _unpack_registry(fields: Any) -> RegistryUpdate:
    base, version, next_offset, digest, changes = fields
    return RegistryUpdate(
        base=None if base is None else _parse_version(base),
        version=_parse_version(version),
        next_offset=read_position(next_offset),
        digest=digest,
        changes=tuple(_unpack_change(change) for change in changes),
    )


def _parse_version(fields: Any) -> tuple[int, int]:
    last_changed, expired_count = fields
    return last_changed, expired_count


def _pack_change(change: BackendChange) -> list[Any]:
    backend = change.backend
    packed = None if backend is None else astuple(backend)
    return [change.version, change.backend_id, packed]


def _unpack_change(fields: Any) -> BackendChange:
    version, backend_id, packed = fields
    backend = None if packed is None else unpack_backend(packed)
    return BackendChange(_parse_version(version), backend_id, backend)


def _pack_config(config: ConfigUpdate) -> list[Any]:
    return [
        config.base,
        config.version,
        [_pack_route(route) for route in config.routes],
        config.removed,
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
        [astuple(split_part) for split_part in route.split],
        route.max_attempts,
        sorted(route.home_regions),
    ]


def _unpack_config(fields: Any) -> ConfigUpdate:
    base, version, routes, removed, services, limits = fields
    specs = tuple(ServiceSpec(*entry) for entry in services)
    return ConfigUpdate(
        base=base,
        version=version,
        routes=tuple(_unpack_route(entry) for entry in routes),
        removed=tuple(removed),
        services={spec.name: spec for spec in specs},
        limits=CallerLimits(*limits),
    )


def _unpack_route(fields: Any) -> OperatorRoute:
    *arguments, split, max_attempts, home_regions = fields
    parts = tuple(SplitPart(*split_part) for split_part in split)
    arguments.extend((parts, max_attempts, frozenset(home_regions)))
    return OperatorRoute(*arguments)
