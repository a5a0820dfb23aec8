"""Incremental configuration updates: small, and equivalent to full ones."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random

from tests.fleet.test_state import config, route
from turmericpost_core.fleet.config_updates import (
    MAX_KEPT_CONFIGS,
    ConfigHistory,
)
from turmericpost_core.fleet.operator_config import (
    OperatorConfig,
    OperatorRoute,
)

MANY_ROUTES = 1400
RUNS = 200


def config_with_routes(version: int, *routes: OperatorRoute) -> OperatorConfig:
    return replace(config(version), routes=routes)


def make_routes(count: int) -> tuple[OperatorRoute, ...]:
    return tuple(route(f'/{number}/') for number in range(count))


class ConfigHistoryTest(unittest.TestCase):
    def test_update_contains_only_the_changed_route(self) -> None:
        """Load pattern: frequent changes to a configuration of 1,400 routes."""
        sender, receiver = ConfigHistory(), ConfigHistory()
        routes = make_routes(MANY_ROUTES)
        for history in (sender, receiver):
            history.install(config_with_routes(1, *routes))
        changed = replace(routes[0], timeout_s=9)
        sender.install(config_with_routes(2, changed, *routes[2:]))
        update = sender.update_since(1)
        self.assertEqual(update.routes, (changed,))
        self.assertEqual(update.removed, (routes[1].name,))
        applied = receiver.apply(update)
        self.assertEqual(set(applied.routes), {changed, *routes[2:]})

    def test_same_version_needs_no_update(self) -> None:
        history = ConfigHistory()
        self.assertIsNone(history.update_since(None))
        history.install(config(4))
        self.assertIsNone(history.update_since(4))

    def test_update_from_a_dropped_version_is_full(self) -> None:
        history = ConfigHistory()
        for version in range(1, MAX_KEPT_CONFIGS + 2):
            history.install(config(version))
        self.assertIsNone(history.update_since(1).base)
        self.assertEqual(history.update_since(2).base, 2)

    def test_update_without_its_base_is_rejected(self) -> None:
        sender = ConfigHistory()
        sender.install(config(1))
        sender.install(config(2))
        self.assertIsNone(ConfigHistory().apply(sender.update_since(1)))

    def test_random_changes_lead_to_the_same_routes(self) -> None:
        for seed in range(RUNS):
            random = Random(seed)
            sender, receiver = ConfigHistory(), ConfigHistory()
            for version in range(1, 30):
                paths = random.sample(range(12), random.randrange(1, 9))
                routes = (
                    replace(route(f'/{one}/'), rank=random.randrange(3))
                    for one in paths
                )
                sender.install(config_with_routes(version, *routes))
                if random.uniform(0, 1) < 1 / 3:
                    self._sync(sender, receiver, seed)

    def _sync(
        self,
        sender: ConfigHistory,
        receiver: ConfigHistory,
        seed: int,
    ) -> None:
        newest = receiver.newest
        known = None if newest is None else newest.version
        receiver.install(receiver.apply(sender.update_since(known)))
        sent_routes = frozenset(sender.newest.routes)
        self.assertEqual(frozenset(receiver.newest.routes), sent_routes, seed)
