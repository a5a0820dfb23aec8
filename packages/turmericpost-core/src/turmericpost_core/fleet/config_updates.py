"""Differences between versions of the configuration.

The configuration planned for in two years has over a thousand routes, and a
change affects only a few of them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from turmericpost_core.fleet.operator_config import (
    CallerLimits,
    OperatorConfig,
    OperatorRoute,
    ServiceSpec,
)

MAX_KEPT_CONFIGS = 8
"""Number of versions that differences can be computed from.

Bursts publish three versions a second. A VM that has received none of them
for over two seconds gets the full configuration.
"""


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """Changes of the configuration from version ``base`` to ``version``.

    ``routes`` are the added and changed routes, or all routes without
    ``base``; ``removed`` are names of routes. Services and limits are always
    complete, since they are few.
    """

    base: int | None
    version: int
    routes: tuple[OperatorRoute, ...]
    removed: tuple[str, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits


class ConfigHistory:
    """The configuration in force and some earlier versions."""

    def __init__(self) -> None:
        self.newest: OperatorConfig | None = None
        self._recent_configs: deque[OperatorConfig] = deque(
            maxlen=MAX_KEPT_CONFIGS
        )

    def install(self, config: OperatorConfig) -> bool:
        """Put a version in force if it is newer; return whether it is."""
        if self.newest is not None and config.version <= self.newest.version:
            return False
        self.newest = config
        self._recent_configs.append(config)
        return True

    def update_since(self, version: int | None) -> ConfigUpdate | None:
        """Return the update for a VM that has ``version``.

        ``version`` is ``None`` if the VM has no configuration. Returns
        ``None`` if the VM already has the newest version.
        """
        newest = self.newest
        if newest is None or newest.version == version:
            return None
        base = self._find(version)
        routes = newest.routes
        removed: tuple[str, ...] = ()
        if base is not None:
            base_routes = frozenset(base.routes)
            names = {route.name for route in routes}
            removed = tuple(
                route.name for route in base.routes if route.name not in names
            )
            routes = tuple(
                route for route in routes if route not in base_routes
            )
        return ConfigUpdate(
            base=None if base is None else base.version,
            version=newest.version,
            routes=routes,
            removed=removed,
            services=newest.services,
            limits=newest.limits,
        )

    def apply(self, update: ConfigUpdate) -> OperatorConfig | None:
        """Return the configuration that results from an update.

        ``None`` if the base version of the update is not kept here.
        """
        routes = update.routes
        if update.base is not None:
            base = self._find(update.base)
            if base is None:
                return None
            replaced_names = {route.name for route in routes}.union(
                update.removed
            )
            kept_routes = tuple(
                route
                for route in base.routes
                if route.name not in replaced_names
            )
            routes = kept_routes + routes
        return OperatorConfig(
            update.version,
            routes,
            update.services,
            update.limits,
        )

    def _find(self, version: int | None) -> OperatorConfig | None:
        for config in self._recent_configs:
            if config.version == version:
                return config
        return None
