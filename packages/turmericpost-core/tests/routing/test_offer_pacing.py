"""Tests of offer pacing: overload must not cause too many offers."""

from __future__ import annotations

import unittest

from turmericpost_core.routing.offer_pacing import (
    FIRST_BACKOFF_S,
    MAX_DOUBLINGS,
    OfferPacing,
)


class OfferPacingTest(unittest.TestCase):
    def test_offers_to_a_vm_that_always_declines_are_bounded(self) -> None:
        pacing = OfferPacing()
        offers = 0
        for tick in range(10_000):
            now_s = tick / 10_000
            if pacing.may_offer('vm', now_s):
                offers += 1
                pacing.record_offer('vm', now_s)
                pacing.record_declined('vm', now_s)
        longest_pause_s = FIRST_BACKOFF_S * 2**MAX_DOUBLINGS
        self.assertLessEqual(offers, 1 / longest_pause_s + MAX_DOUBLINGS)

    def test_an_accepted_offer_resets_the_backoff(self) -> None:
        pacing = OfferPacing()
        for _ in range(3):
            pacing.record_declined('vm', 0)
        pacing.record_accepted('vm')
        pacing.record_declined('vm', 1)
        self.assertFalse(pacing.may_offer('vm', 1))
        self.assertTrue(pacing.may_offer('vm', 1 + FIRST_BACKOFF_S))


if __name__ == '__main__':
    unittest.main()
