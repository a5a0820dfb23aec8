"""Settings of the entry process, grouped by the code that uses them."""

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
    """Resolve and validate the settings; on failure return every error."""
    return resolve(all_settings(), flags, environment).and_then(_build_settings)


def _build_settings(
    resolved: dict[str, Any],
) -> Result[Settings, tuple[SettingError, ...]]:
    groups = {
        name: group(
            **{
                setting.name: resolved[setting.name]
                for setting in declared_settings(group)
            }
        )
        for name, group in _GROUPS.items()
    }
    settings = Settings(**groups)
    conflicts = tuple(_conflicts(settings))
    return Err(conflicts) if conflicts else Ok(settings)


def _conflicts(settings: Settings) -> Iterator[SettingError]:
    ports = {
        '--caller-port': settings.callers.caller_port,
        '--admin-port': settings.admin.admin_port,
        '--peer-port': settings.peers.peer_port,
    }
    flag_by_port: dict[int, str] = {}
    for flag, port in ports.items():
        first_flag = flag_by_port.setdefault(port, flag)
        if port and first_flag != flag:
            yield _conflict(flag, f'port {port} is also used by {first_flag}')
    forward = settings.forward
    if forward.hold_bytes > forward.chunk_buffer_bytes:
        yield _conflict('--hold-bytes', 'is larger than --chunk-buffer-bytes')


def _conflict(source: str, detail: str) -> SettingError:
    return SettingError(SettingErrorKind.CLASH, source, detail)
