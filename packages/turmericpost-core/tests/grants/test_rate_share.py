"""Parts of a rate that brokers use without hearing each other."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from turmericpost_core.grants.rate_share import (
    MIN_RATE_PER_S,
    RATE_WINDOW_S,
    BrokerShare,
    attempt_pace,
    part_per_s,
)

WHOLE = BrokerShare(1, 1)
_RATES = st.floats(0, 400)
_PARTS = st.lists(st.integers(1, 40), min_size=1, max_size=40)


class RateShareTest(unittest.TestCase):
    # Guards against parts of a domain that together exceed the whole rate,
    # such as by a least rate for each of them.
    @given(_RATES, _PARTS)
    def test_parts_together_stay_within_the_rate(
        self, rate_per_s: float, parts: list[int]
    ) -> None:
        shares = [BrokerShare(part / sum(parts), 1) for part in parts]
        paces = [attempt_pace(rate_per_s, share) for share in shares]
        attempts = sum(pace.attempts for pace in paces)
        self.assertLessEqual(attempts, max(rate_per_s, 1) + 0.001)
        rates_per_s = [part_per_s(rate_per_s, share) for share in shares]
        whole_per_s = max(rate_per_s, MIN_RATE_PER_S)
        self.assertLessEqual(sum(rates_per_s), whole_per_s + 0.001)

    @given(_RATES)
    def test_whole_domain_uses_the_rate(self, rate_per_s: float) -> None:
        pace = attempt_pace(rate_per_s, WHOLE)
        self.assertGreaterEqual(pace.attempts, max(int(rate_per_s), 1))
        if rate_per_s >= 1:
            self.assertEqual(pace.window_s, RATE_WINDOW_S)
        else:
            longest_s = RATE_WINDOW_S / MIN_RATE_PER_S
            self.assertLessEqual(pace.window_s, longest_s)

    def test_rate_below_one_is_used_by_a_majority_only(self) -> None:
        self.assertEqual(attempt_pace(0.5, BrokerShare(0.5, 1)).attempts, 0)
        pace = attempt_pace(0.5, BrokerShare(0.8, 1))
        self.assertEqual(pace.attempts, 1)
        self.assertAlmostEqual(pace.window_s, RATE_WINDOW_S / 0.4)

    def test_no_share_allows_nothing(self) -> None:
        for share in (BrokerShare(0, 1), BrokerShare(1, 0)):
            self.assertEqual(attempt_pace(9, share).attempts, 0)
            self.assertEqual(part_per_s(9, share), 0)

    # Guards against cold servers that nobody uses for seconds when the leader
    # of a pool is lost.
    def test_second_in_rank_uses_a_small_rate_in_a_majority(self) -> None:
        pace = attempt_pace(2.9, BrokerShare(0.9, 0.25))
        self.assertEqual(pace.attempts, 1)
        self.assertLess(pace.window_s, 2)
        minority = BrokerShare(0.5, 0.25)
        self.assertEqual(attempt_pace(2.9, minority).attempts, 0)


if __name__ == '__main__':
    unittest.main()
