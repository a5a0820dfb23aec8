"""Settings of the admin port."""

from __future__ import annotations

from dataclasses import dataclass

from turmericpost_command.settings.declare import Bounds, setting


@dataclass(frozen=True)
class AdminSettings:
    """Address and port that operators connect to."""

    admin_host: str = setting(
        'IP number operators connect to',
        default='127.0.0.1',
    )
    admin_port: int = setting(
        'port operators connect to; 0 takes a free one',
        default=8081,
        bounds=Bounds(0, 65535),
    )
    max_admin_connections: int = setting(
        'most connections of operators; beyond them, the oldest one is closed',
        default=64,
        bounds=Bounds(1, 65536),
    )
