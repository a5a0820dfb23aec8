"""Positions in the store: order across eras, plain offsets, limits."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from turmericpost_core.fleet.store_position import (
    MAX_ERA,
    START,
    StorePosition,
    new_position,
)

MAX_OFFSET = 2**40 - 1
eras = st.none() | st.integers(0, MAX_ERA)
offsets = st.integers(0, MAX_OFFSET)


class StorePositionTest(unittest.TestCase):
    @given(eras, offsets)
    def test_position_holds_era_and_offset(
        self, era: int | None, offset: int
    ) -> None:
        position = new_position(era, offset)
        self.assertEqual((position.era, position.offset), (era, offset))
        self.assertEqual(StorePosition(int(position)).era, era)

    @given(eras, offsets, eras, offsets)
    def test_later_era_comes_after_all_positions_of_earlier_ones(
        self,
        era: int | None,
        offset: int,
        other_era: int | None,
        other_offset: int,
    ) -> None:
        first = new_position(era, offset)
        second = new_position(other_era, other_offset)
        first_key = (-1 if era is None else era, offset)
        second_key = (-1 if other_era is None else other_era, other_offset)
        self.assertEqual(first < second, first_key < second_key)

    @given(offsets)
    def test_position_of_unknown_era_is_its_offset(self, offset: int) -> None:
        self.assertEqual(new_position(None, offset), offset)
        self.assertIsNone(StorePosition(offset).era)

    def test_era_0_is_not_the_unknown_era(self) -> None:
        position = new_position(0, 0)
        self.assertGreater(position, new_position(None, MAX_OFFSET))
        self.assertTrue(position.is_of_era(0))
        self.assertFalse(position.is_of_era(None))
        self.assertFalse(position.is_of_era(1))

    def test_start_comes_before_all_others_and_is_false(self) -> None:
        self.assertFalse(START)
        self.assertIsNone(START.era)
        self.assertLess(START, new_position(0, 0))

    # Other releases of the entry read a position as a signed 64-bit integer.
    def test_largest_position_fits_into_63_bits(self) -> None:
        self.assertLess(new_position(MAX_ERA, MAX_OFFSET), 2**63)

    def test_values_out_of_range_are_refused(self) -> None:
        for era, offset in (
            (0, MAX_OFFSET + 1),
            (None, MAX_OFFSET + 1),
            (0, -1),
            (-1, 0),
            (MAX_ERA + 1, 0),
        ):
            with self.subTest(era=era, offset=offset):
                with self.assertRaises(ValueError):
                    new_position(era, offset)
