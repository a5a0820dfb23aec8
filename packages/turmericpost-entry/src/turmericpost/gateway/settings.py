"""Settings of an entry VM on the users' platform."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

Address: TypeAlias = tuple[str, int]


@dataclass(frozen=True)
class OperatingBounds:
    """Times and budgets within which things must be in force, all VMs."""

    drain_s: float
    grace_s: float
    config_s: float
    answers_valid_max_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float


@dataclass(frozen=True)
class GatewaySettings:
    """Who this VM is, where it listens and whom it talks to.

    ``domain_regions`` maps every failure domain to its region. ``metrics``
    is where the metrics are served.
    """

    name: str
    host: str
    failure_domain: str
    region: str
    domain_regions: Mapping[str, str]
    callers: Address
    readiness: Address
    directory: Address
    metrics: Address
    peer_port: int
    seed_hosts: tuple[str, ...]
    store: Address
    operating_bounds: OperatingBounds
