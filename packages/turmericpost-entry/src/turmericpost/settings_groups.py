"""All settings of the entry process, by the group that declares them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from result import Err, Ok, Result

from turmericpost.admin.settings import AdminSettings
from turmericpost.configlog.settings import PlatformSettings
from turmericpost.forward.settings import ForwardSettings
from turmericpost.http1.settings import CallerSettings
from turmericpost.observe.settings import LogSettings
from turmericpost.peer.settings import PeerSettings
from turmericpost_command.settings.declare import (
    DeclaredSetting,
    declared_settings,
)
from turmericpost_command.settings.errors import SettingError, SettingErrorKind
from turmericpost_command.settings.resolve import resolve


@dataclass(frozen=True)
class Settings:
    """Resolved settings of an entry process."""

    callers: CallerSettings
    forward: ForwardSettings
    admin: AdminSettings
    peers: PeerSettings
    platform: PlatformSettings
    logs: LogSettings


_GROUPS: Mapping[str, type[Any]] = MappingProxyType(
    {
        'callers': CallerSettings,
        'forward': ForwardSettings,
        'admin': AdminSettings,
        'peers': PeerSettings,
        'platform': PlatformSettings,
        'logs': LogSettings,
    }
)


def all_settings() -> tuple[DeclaredSetting, ...]:
    """Return every setting of the entry process."""
    return tuple(
        declared
        for group in _GROUPS.values()
        for declared in declared_settings(group)
    )


def resolve_settings(
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Result[Settings, tuple[SettingError, ...]]:
    """Resolve and check the settings of an entry process."""
    return resolve(all_settings(), flags, environment).and_then(_checked)


def _checked(
    resolved: dict[str, Any],
) -> Result[Settings, tuple[SettingError, ...]]:
    built = {
        name: group(
            **{one.name: resolved[one.name] for one in declared_settings(group)}
        )
        for name, group in _GROUPS.items()
    }
    settings = Settings(**built)
    clashes = tuple(_clashes(settings))
    return Err(clashes) if clashes else Ok(settings)


def _clashes(settings: Settings) -> Iterator[SettingError]:
    ports = {
        '--caller-port': settings.callers.caller_port,
        '--admin-port': settings.admin.admin_port,
        '--peer-port': settings.peers.peer_port,
    }
    taken: dict[int, str] = {}
    for flag, port in ports.items():
        first = taken.setdefault(port, flag)
        if port and first != flag:
            yield _clash(flag, f'port {port} is also that of {first}')
    forward = settings.forward
    if forward.hold_bytes > forward.chunk_buffer_bytes:
        yield _clash('--hold-bytes', 'is larger than --chunk-buffer-bytes')


def _clash(place: str, detail: str) -> SettingError:
    return SettingError(SettingErrorKind.CLASH, place, detail)
