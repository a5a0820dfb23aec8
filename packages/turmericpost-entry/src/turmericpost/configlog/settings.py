"""Settings for the store and the VM list of the platform."""

from __future__ import annotations

from dataclasses import dataclass

from turmericpost_command.settings.declare import Bounds, setting


@dataclass(frozen=True)
class PlatformSettings:
    """Addresses, intervals and timeouts of the platform services."""

    store_address: str = setting('HOST:PORT of the platform store')
    vm_list_url: str = setting('URL of the VM list service')
    store_region: str = setting(
        'region the store stands in; none claims no keys of calls '
        'that are bound to home regions',
        default='none',
    )
    configuration_stream: str = setting(
        'stream of the configuration',
        default='turmericpost-configuration',
    )
    snapshot_interval_s: float = setting(
        'time between snapshots of the configuration on the log; less than '
        'half of the time for which the store keeps records',
        default=600,
        bounds=Bounds(1, 86400),
    )
    vm_list_interval_s: float = setting(
        'time between readings of the VM list',
        default=1,
        bounds=Bounds(0.1, 3600),
    )
    vm_list_bytes_per_s: float = setting(
        'bytes a second spent on reading the VM list; a long list is read '
        'less often',
        default=500,
        bounds=Bounds(10, 1000000),
    )
    platform_timeout_s: float = setting(
        'longest time to wait for an answer of the platform',
        default=3,
        bounds=Bounds(0.1, 60),
    )
