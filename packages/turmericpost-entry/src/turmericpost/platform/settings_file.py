"""The settings file written by the platform, with lines ``a.b=value``."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

from result import Err, Ok, Result

from turmericpost.gateway.settings import (
    Address,
    GatewaySettings,
    OperatingBounds,
    VmResources,
)

PATH_VARIABLE = 'TURMERICPOST_BOOT'
METRICS_PORT = 9464
METRICS_PATH = '/metrics'

_ZONE_PREFIX = 'Zones.'
_MEMORY_MB = 'Limits.MemoryMb'
_MAX_DESCRIPTORS = 'Limits.MaxFds'
_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000


@dataclass(frozen=True)
class SettingsFileError:
    """Error: a settings file can't be read or decoded."""

    path: str
    detail: str

    def __str__(self) -> str:
        """Return the error as one line of text."""
        return f'settings file {self.path}: {self.detail}'


def read_settings_file(path: str) -> Result[GatewaySettings, SettingsFileError]:
    """Read and decode a settings file."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingsFileError(path, str(error)))
    return decode_settings(path, text)


def decode_settings(
    path: str,
    text: str,
) -> Result[GatewaySettings, SettingsFileError]:
    """Decode the text of a settings file; unknown fields are ignored.

    ``path`` is only used in the error.
    """
    fields: dict[str, str] = {}
    for line in text.splitlines():
        key, _, field = line.partition('=')
        fields[key.strip()] = field.strip()
    try:
        return Ok(_decode_fields(fields))
    except KeyError as missing:
        return Err(SettingsFileError(path, f'{missing.args[0]} is missing'))
    except ValueError as malformed:
        return Err(SettingsFileError(path, str(malformed)))


def _decode_fields(fields: Mapping[str, str]) -> GatewaySettings:
    host = fields['Ip']
    seeds = fields.get('Seeds', '').split(',')
    return GatewaySettings(
        name=fields['NodeName'],
        host=host,
        failure_domain=fields['Zone'],
        region=fields['Region'],
        domain_regions={
            key.removeprefix(_ZONE_PREFIX): region
            for key, region in fields.items()
            if key.startswith(_ZONE_PREFIX)
        },
        callers=_decode_address(fields, 'Listen.Front'),
        readiness=_decode_address(fields, 'Listen.Ready'),
        directory=_decode_address(fields, 'Listen.Directory'),
        metrics=(host, METRICS_PORT),
        peer_port=int(fields['InternalPortRange'].split(',')[0]),
        seed_hosts=tuple(seed.rpartition(':')[0] for seed in seeds if seed),
        store=_decode_address(fields, 'Platform.Address'),
        operating_bounds=_decode_operating_bounds(fields),
        resources=_decode_resources(fields),
    )


def _decode_resources(fields: Mapping[str, str]) -> VmResources:
    """Decode the limits of the machine; missing ones have defaults."""
    resources = VmResources()
    if _MEMORY_MB in fields:
        memory_mb = _decode_number(fields, _MEMORY_MB)
        resources = replace(
            resources, memory_bytes=int(memory_mb * _BYTES_PER_MB)
        )
    if _MAX_DESCRIPTORS in fields:
        max_descriptors = int(_decode_number(fields, _MAX_DESCRIPTORS))
        resources = replace(resources, max_descriptors=max_descriptors)
    return resources


def _decode_operating_bounds(fields: Mapping[str, str]) -> OperatingBounds:
    return OperatingBounds(
        drain_s=_decode_number(fields, 'Bounds.DrainMs') / _MS_PER_S,
        grace_s=_decode_number(fields, 'Bounds.GraceS'),
        config_s=_decode_number(fields, 'Bounds.ConfigMs') / _MS_PER_S,
        addresses_valid_max_s=_decode_number(fields, 'Bounds.ttl_max_s'),
        retry_ratio=_decode_number(fields, 'Bounds.RetryBudgetRatio'),
        retry_slack=_decode_number(fields, 'Bounds.RetryBudgetSlack'),
        retry_window_s=_decode_number(fields, 'Bounds.BudgetWindowS'),
    )


def _decode_address(fields: Mapping[str, str], key: str) -> Address:
    host, _, port = fields[key].rpartition(':')
    if not host:
        raise ValueError(f'{key} is not HOST:PORT')
    return host, int(port)


def _decode_number(fields: Mapping[str, str], key: str) -> float:
    try:
        return float(fields[key])
    except ValueError:
        raise ValueError(f'{key} is not a number: {fields[key]!r}') from None
