"""Who is served in time when more calls come than fit.

The loads are those of the heaviest days of the first deployments: short and
long work, a quarter to a third of the machines slow at any moment.
"""

from __future__ import annotations

import unittest
from unittest.mock import patch

from tests.grants.overload import Load, Overload, Tally

SEEDS = 4
LEAST_OF_IDEAL = 0.9
"""Share of what an ideal queue serves in time: slots never idle or slow."""

BOOKINGS = (4, 0.12, 0.3, 1)
LOOKUPS = (5, 0.09, 0.25, 0.8)
ORDERS = (4, 0.29, 0.8, 1.5)
VERSES = (7, 0.55, 1.5, 3)
THIRD_SLOW = 0.35
QUARTER_SLOW = 0.25
KINDS = (
    (BOOKINGS, THIRD_SLOW),
    (LOOKUPS, THIRD_SLOW),
    (ORDERS, QUARTER_SLOW),
    (VERSES, QUARTER_SLOW),
)


def play(sizes: tuple[float, ...], pressure: float, slow: float) -> Tally:
    load = Load(*sizes, pressure, slow)
    total = Tally()
    for seed in range(SEEDS):
        tally = Overload(load, seed).play()
        total.in_time += tally.in_time
        total.late += tally.late
        total.refused += tally.refused
    return total


class OverloadTest(unittest.TestCase):
    def test_calls_that_fit_in_time_are_served_in_time(self) -> None:
        """Pattern: a burst on servers whose speed changes all the while."""
        for pressure in (0.9, 1.25, 1.6):
            for sizes, slow in KINDS:
                with self.subTest(sizes=sizes, pressure=pressure):
                    self._assert_near_ideal(sizes, pressure, slow)

    def test_pool_without_a_fast_server_serves_late(self) -> None:
        """Pattern: every machine of a service is four times slower."""
        tally = play(VERSES, 0.7, 1)
        served = tally.in_time + tally.late
        self.assertGreater(served, LEAST_OF_IDEAL * tally.calls)

    def test_check_sees_slots_given_to_slow_servers(self) -> None:
        place = 'turmericpost_core.grants.backend_state.BackendState.is_fast'
        with patch(place, return_value=False):
            tally = play(VERSES, 1.25, QUARTER_SLOW)
        ideal = tally.calls / 1.25
        self.assertLess(tally.in_time, LEAST_OF_IDEAL * ideal)

    def _assert_near_ideal(
        self,
        sizes: tuple[float, ...],
        pressure: float,
        slow: float,
    ) -> None:
        tally = play(sizes, pressure, slow)
        ideal = tally.calls / max(pressure, 1)
        self.assertGreater(tally.in_time, LEAST_OF_IDEAL * ideal, tally)
