"""Creates all platform clients from the settings."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from turmericpost.configlog.follower import (
    ConfigurationFollower,
    ConfigurationListener,
)
from turmericpost.configlog.http import PlatformHttpClient
from turmericpost.configlog.publisher import Publisher
from turmericpost.configlog.settings import PlatformSettings
from turmericpost.configlog.snapshots import SnapshotWriter
from turmericpost.configlog.vm_list import VmListClient
from turmericpost.gateway.settings import Address
from turmericpost.observe.metrics import Metrics
from turmericpost.platform.store_client import StoreClient
from turmericpost_core.clock import Clock


@dataclass(frozen=True)
class PlatformClients:
    """Clients of the platform's VM list and store.

    ``log`` is the client of the store that holds the configuration log.
    """

    http: PlatformHttpClient
    log: StoreClient
    vm_list: VmListClient
    follower: ConfigurationFollower
    publisher: Publisher
    snapshots: SnapshotWriter


def new_platform_clients(
    reactor: Any,
    settings: PlatformSettings,
    clock: Clock,
    metrics: Metrics,
    on_configuration: ConfigurationListener,
) -> PlatformClients:
    """Create the platform clients; no request is sent yet."""
    http = PlatformHttpClient(reactor, settings.platform_timeout_s, metrics)
    log = StoreClient(
        reactor,
        store_address(settings.store_address),
        metrics.count_platform_bytes,
    )
    stream = settings.configuration_stream
    follower = ConfigurationFollower(
        reactor,
        log,
        stream,
        on_configuration,
    )
    snapshots = SnapshotWriter(
        log,
        stream,
        follower,
        clock,
        timedelta(seconds=settings.snapshot_interval_s),
    )
    return PlatformClients(
        http=http,
        log=log,
        vm_list=VmListClient(http, settings.vm_list_url),
        follower=follower,
        publisher=Publisher(log, stream, follower, clock, snapshots),
        snapshots=snapshots,
    )


def store_address(text: str) -> Address:
    """Split ``HOST:PORT`` into host and port."""
    host, _, port = text.rpartition(':')
    return host, int(port)
