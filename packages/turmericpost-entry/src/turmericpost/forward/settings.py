"""Settings for forwarding calls to backend servers."""

from __future__ import annotations

from dataclasses import dataclass

from turmericpost_command.settings.declare import Bounds, setting

_BUFFER_BYTES_BOUNDS = Bounds(1024, 16777216)


@dataclass(frozen=True)
class ForwardSettings:
    """Limits of backend connections, buffers, operations and attempts."""

    connect_timeout_s: float = setting(
        'longest time to open a connection to a backend server',
        default=1,
        bounds=Bounds(0.01, 60),
    )
    idle_connections: int = setting(
        'unused connections kept for each backend server',
        default=8,
        bounds=Bounds(0, 10000),
    )
    hold_bytes: int = setting(
        'answers up to this size are passed on only when whole',
        default=65536,
        bounds=_BUFFER_BYTES_BOUNDS,
    )
    hold_ms: float = setting(
        'longest time an unfinished answer is held back',
        default=50,
        bounds=Bounds(0, 60000),
    )
    replay_bytes: int = setting(
        'request bodies up to this size can be sent a second time',
        default=65536,
        bounds=_BUFFER_BYTES_BOUNDS,
    )
    chunk_buffer_bytes: int = setting(
        'bytes of one body waiting in memory in each direction',
        default=262144,
        bounds=_BUFFER_BYTES_BOUNDS,
    )
    max_operations: int = setting(
        'keyed operations remembered at once',
        default=200000,
        bounds=Bounds(1, 100000000),
    )
    max_attempts: int = setting(
        'times a call is sent at most',
        default=3,
        bounds=Bounds(1, 10),
    )
