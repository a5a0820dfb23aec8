"""Differences between versions of the configuration.

The configuration of two years from now has some thousand routes, of which a
change touches a few.
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
"""Versions kept to tell what changed since: quick successions publish three
a second, and a VM that hears of none of them for two seconds takes the whole.
"""


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """What leads from one version of the configuration to a newer one.

    No ``base`` means that the routes are all of them. Services and limits
    are told whole: there are few.
    """

    base: int | None
    version: int
    routes: tuple[OperatorRoute, ...]
    removed: tuple[str, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits


class ConfigHistory:
    """The configuration in force, and some versions before it."""

    def __init__(self) -> None:
        self.newest: OperatorConfig | None = None
        self._kept: deque[OperatorConfig] = deque(maxlen=MAX_KEPT_CONFIGS)

    def install(self, config: OperatorConfig) -> bool:
        """Put a version in force unless an equal or newer one is."""
        if self.newest is not None and config.version <= self.newest.version:
            return False
        self.newest = config
        self._kept.append(config)
        return True

    def update_since(self, version: int | None) -> ConfigUpdate | None:
        """Return what a VM lacks that has a version, or none yet."""
        newest = self.newest
        if newest is None or newest.version == version:
            return None
        base = self._find(version)
        routes = newest.routes
        removed: tuple[str, ...] = ()
        if base is not None:
            known = frozenset(base.routes)
            names = {route.name for route in routes}
            removed = tuple(
                route.name for route in base.routes if route.name not in names
            )
            routes = tuple(route for route in routes if route not in known)
        return ConfigUpdate(
            base=None if base is None else base.version,
            version=newest.version,
            routes=routes,
            removed=removed,
            services=newest.services,
            limits=newest.limits,
        )

    def apply(self, update: ConfigUpdate) -> OperatorConfig | None:
        """Return the newer version; ``None`` if its base is not kept."""
        routes = update.routes
        if update.base is not None:
            base = self._find(update.base)
            if base is None:
                return None
            replaced = {route.name for route in routes}.union(update.removed)
            kept = tuple(
                route for route in base.routes if route.name not in replaced
            )
            routes = kept + routes
        return OperatorConfig(
            update.version,
            routes,
            update.services,
            update.limits,
        )

    def _find(self, version: int | None) -> OperatorConfig | None:
        for config in self._kept:
            if config.version == version:
                return config
        return None
