"""Differences of configurations: small, and leading to the same version."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random

from tests.fleet.test_state import config, route
from turmericpost_core.fleet.config_updates import KEPT_CONFIGS, ConfigHistory
from turmericpost_core.fleet.operator_config import (
    OperatorConfig,
    OperatorRoute,
)

MANY_ROUTES = 1400
HISTORIES = 200


def configured(version: int, *routes: OperatorRoute) -> OperatorConfig:
    return replace(config(version), routes=routes)


def many(count: int) -> tuple[OperatorRoute, ...]:
    return tuple(route(f'/{number}/') for number in range(count))


class ConfigHistoryTest(unittest.TestCase):
    def test_change_of_one_route_among_many_tells_one(self) -> None:
        """Pattern: a configuration of 1,400 routes, changed often."""
        teller, hearer = ConfigHistory(), ConfigHistory()
        routes = many(MANY_ROUTES)
        for history in (teller, hearer):
            history.install(configured(1, *routes))
        changed = replace(routes[0], timeout_s=9)
        teller.install(configured(2, changed, *routes[2:]))
        update = teller.update_since(1)
        self.assertEqual(update.routes, (changed,))
        self.assertEqual(update.removed, (routes[1].name,))
        applied = hearer.apply(update)
        self.assertEqual(set(applied.routes), {changed, *routes[2:]})

    def test_same_version_needs_no_update(self) -> None:
        history = ConfigHistory()
        self.assertIsNone(history.update_since(None))
        history.install(config(4))
        self.assertIsNone(history.update_since(4))

    def test_version_that_is_kept_no_more_gets_the_whole(self) -> None:
        history = ConfigHistory()
        for version in range(1, KEPT_CONFIGS + 2):
            history.install(config(version))
        self.assertIsNone(history.update_since(1).base)
        self.assertEqual(history.update_since(2).base, 2)

    def test_update_whose_base_is_missing_is_not_applied(self) -> None:
        teller = ConfigHistory()
        teller.install(config(1))
        teller.install(config(2))
        self.assertIsNone(ConfigHistory().apply(teller.update_since(1)))

    def test_seeded_successions_lead_to_the_same_routes(self) -> None:
        for seed in range(HISTORIES):
            random = Random(seed)
            teller, hearer = ConfigHistory(), ConfigHistory()
            for version in range(1, 30):
                paths = random.sample(range(12), random.randrange(1, 9))
                routes = (
                    replace(route(f'/{one}/'), rank=random.randrange(3))
                    for one in paths
                )
                teller.install(configured(version, *routes))
                if random.uniform(0, 1) < 1 / 3:
                    self._tell(teller, hearer, seed)

    def _tell(
        self,
        teller: ConfigHistory,
        hearer: ConfigHistory,
        seed: int,
    ) -> None:
        newest = hearer.newest
        known = None if newest is None else newest.version
        hearer.install(hearer.apply(teller.update_since(known)))
        told = frozenset(teller.newest.routes)
        self.assertEqual(frozenset(hearer.newest.routes), told, seed)
