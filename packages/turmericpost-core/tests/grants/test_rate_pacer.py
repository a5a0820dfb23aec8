"""Pacing of attempts on a server with a rate limit."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from tests.grants.history import max_count_in_window
from turmericpost_core.grants.rate_pacer import BURST_S, RatePacer
from turmericpost_core.grants.rate_share import MIN_RATE_PER_S, BrokerShare

_STEP_S = 0.02
_WINDOW_S = 4.0


def start_times(pacer: RatePacer, begin_s: float, end_s: float) -> list[float]:
    """Start an attempt whenever the pacer allows one."""
    started_s = []
    for step in range(round(begin_s / _STEP_S), round(end_s / _STEP_S)):
        now_s = step * _STEP_S
        while not pacer.wait_s(now_s):
            pacer.record_attempt(now_s)
            started_s.append(now_s)
    return started_s


class RatePacerTest(unittest.TestCase):
    def test_attempts_are_not_limited_without_a_limit(self) -> None:
        pacer = RatePacer()
        pacer.set_limit(2, BrokerShare(1, 1), 0)
        pacer.set_limit(None, BrokerShare(1, 1), 1)
        self.assertEqual(pacer.wait_s(1), 0)

    @given(st.floats(0, 50), st.floats(0.1, 1))
    def test_no_window_has_more_attempts_than_rate_and_burst(
        self, limit: float, share: float
    ) -> None:
        pacer = RatePacer()
        pacer.set_limit(limit, BrokerShare(share, 1), 0)
        rate_per_s = share * max(limit, MIN_RATE_PER_S)
        bound = rate_per_s * _WINDOW_S + max(rate_per_s * BURST_S, 1)
        started_s = start_times(pacer, 0, 12)
        self.assertLessEqual(max_count_in_window(started_s, _WINDOW_S), bound)

    def test_first_attempt_waits_as_earlier_ones_are_not_known(self) -> None:
        pacer = RatePacer()
        pacer.set_limit(2, BrokerShare(1, 1), 0)
        self.assertEqual(pacer.wait_s(0), 0.5)

    def test_repeated_limit_does_not_change_the_wait(self) -> None:
        pacer = RatePacer()
        pacer.set_limit(2, BrokerShare(1, 1), 0)
        pacer.set_limit(2, BrokerShare(1, 1), 0.3)
        self.assertAlmostEqual(pacer.wait_s(0.4), 0.1)

    # Guards against a least share of a limit for each VM, which adds up over
    # the VMs of a domain.
    def test_server_is_not_used_without_a_share(self) -> None:
        pacer = RatePacer()
        pacer.set_limit(20, BrokerShare(0, 1), 0)
        self.assertEqual(pacer.wait_s(60), float('inf'))
        pacer.set_limit(20, BrokerShare(0.5, 1), 60)
        self.assertAlmostEqual(pacer.wait_s(60), 0.1)

    def test_server_that_accepts_nothing_is_tried_every_four_seconds(
        self,
    ) -> None:
        pacer = RatePacer()
        pacer.set_limit(0, BrokerShare(1, 1), 0)
        self.assertEqual(len(start_times(pacer, 0, 12.1)), 3)
