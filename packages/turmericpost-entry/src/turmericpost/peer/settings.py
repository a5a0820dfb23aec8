"""Settings of the peer streams between entry VMs."""

from __future__ import annotations

from dataclasses import dataclass

from turmericpost_command.settings.declare import Bounds, setting


@dataclass(frozen=True)
class PeerSettings:
    """Identity of this entry VM, and settings of its peer streams."""

    failure_domain: str = setting('failure domain this VM stands in')
    region: str = setting('region this VM stands in')
    peer_host: str = setting(
        'IP number other entry VMs connect to',
        default='127.0.0.1',
    )
    peer_port: int = setting(
        'port other entry VMs connect to',
        default=8082,
        bounds=Bounds(1, 65535),
    )
    heartbeat_interval_s: float = setting(
        'time between heartbeats',
        default=0.4,
        bounds=Bounds(0.05, 10),
    )
    lost_after_s: float = setting(
        'silence after which an entry VM counts as lost',
        default=1.2,
        bounds=Bounds(0.1, 60),
    )
    max_peer_streams: int = setting(
        'most streams accepted from other entry VMs; beyond them, the oldest '
        'one without a greeting is closed',
        default=128,
        bounds=Bounds(1, 65536),
    )
    max_peer_memory_bytes: int = setting(
        'memory for incomplete messages of all streams that were accepted',
        default=67108864,
        bounds=Bounds(1048576, 1099511627776),
    )
