"""Settings of an entry VM on the platform."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

Address: TypeAlias = tuple[str, int]


@dataclass(frozen=True)
class OperatingBounds:
    """Time limits and retry budgets that the platform sets for all VMs.

    ``drain_s`` and ``config_s`` are the times within which a draining backend
    server and a new configuration take effect, ``grace_s`` is the time that a
    stopping process has, and ``addresses_valid_max_s`` is the longest validity
    of an address response. Within ``retry_window_s`` seconds, all VMs together
    may send ``retry_ratio`` times as many retries of a service as there are
    calls, plus ``retry_slack``.
    """

    drain_s: float
    grace_s: float
    config_s: float
    addresses_valid_max_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float


@dataclass(frozen=True)
class VmResources:
    """Memory and descriptors that the VM has for this process."""

    memory_bytes: int = 209_715_200
    max_descriptors: int = 1024


@dataclass(frozen=True)
class GatewaySettings:
    """Identity, listening addresses and peers of an entry VM.

    ``domain_regions`` maps every failure domain to its region. ``callers``,
    ``readiness``, ``directory`` and ``metrics`` are the addresses on which the
    VM serves calls, readiness checks, address queries and metrics.
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
    resources: VmResources = VmResources()
