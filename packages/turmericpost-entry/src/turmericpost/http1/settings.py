"""Settings of the caller port."""

from __future__ import annotations

from dataclasses import dataclass

from turmericpost_command.settings.declare import Bounds, setting

_PORT_BOUNDS = Bounds(0, 65535)


@dataclass(frozen=True)
class CallerSettings:
    """Address of the caller port, size limits and timeouts of callers."""

    caller_host: str = setting(
        'IP number callers connect to',
        default='127.0.0.1',
    )
    caller_port: int = setting(
        'port callers connect to; 0 takes a free one',
        default=8080,
        bounds=_PORT_BOUNDS,
    )
    max_header_bytes: int = setting(
        'largest request head',
        default=32768,
        bounds=Bounds(1024, 1048576),
    )
    max_body_bytes: int = setting(
        'largest request body',
        default=67108864,
        bounds=Bounds(0, 1099511627776),
    )
    caller_silence_s: float = setting(
        'longest silence of a caller within a request or answer',
        default=10,
        bounds=Bounds(0.1, 3600),
    )
    caller_idle_s: float = setting(
        'longest time a caller connection stays open unused',
        default=75,
        bounds=Bounds(1, 86400),
    )
    max_caller_connections: int = setting(
        'most caller connections; beyond them, the oldest one without a '
        'complete request is closed, else the one that is idle for longest',
        default=600,
        bounds=Bounds(1, 1048576),
    )
    max_caller_memory_bytes: int = setting(
        'memory for heads, bodies and unread responses of all callers; beyond '
        'it, connections above their equal part are refused',
        default=33554432,
        bounds=Bounds(1048576, 1099511627776),
    )
