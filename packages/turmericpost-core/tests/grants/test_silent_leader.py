"""Calls that turn to other brokers while the first is slow to answer.

The load: every server sheds half of its calls for ten seconds, and the first
broker, on a small VM, leaves every second ask without an answer in time.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random

from tests.grants.history import most_within
from tests.grants.samples import SPEC, backend, reported_load, request
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.limits import RetryLimits
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    PermitGrant,
)

BOUNDS = RetryLimits(ratio=0.2, slack=240, window_s=10, slack_share=0.125)
BROKERS = 12
SERVERS = 12
CALLS_PER_S = 25
LENGTH_S = 22
SHED = 0.55
SILENT = 0.5
MOST_SENDS = 4
WINDOW_S = BOUNDS.window_s


class SilentLeader:
    """Brokers of one pool; the first leads."""

    def __init__(self, seed: int, *, others_lead: bool = False) -> None:
        self.calls_s: list[float] = []
        self.repeats_s: list[float] = []
        self._random = Random(seed)
        self._brokers = [self._broker(one) for one in range(BROKERS)]
        if not others_lead:
            for broker in self._brokers[1:]:
                broker.leads = _never

    def play(self) -> SilentLeader:
        for number in range(CALLS_PER_S * LENGTH_S):
            now_s = number / CALLS_PER_S
            self._report(now_s)
            self.calls_s.append(now_s)
            for send in range(MOST_SENDS):
                if not self._sends(number, send, now_s):
                    break
        return self

    def _broker(self, number: int) -> Broker:
        made = Broker('.'.join(('vm', str(number))), BOUNDS)
        made.visible_share = 1
        made.install_services({SPEC.name: SPEC})
        made.install_backends(map(backend, range(SERVERS)), 0)
        return made

    def _report(self, now_s: float) -> None:
        for broker in self._brokers:
            for number in range(SERVERS):
                name = backend(number).backend_id
                broker.record_probe(
                    name, reported_load(), now_s, is_healthy=True
                )

    def _sends(self, number: int, send: int, now_s: float) -> bool:
        """Send a call once; return whether it was shed."""
        wish = request(number, now_s, is_retry=send > 0)
        wish = replace(
            wish,
            permit_request_id='.'.join((wish.permit_request_id, str(send))),
        )
        broker = self._brokers[0]
        granted = _granted(broker, wish, now_s)
        if self._random.uniform(0, 1) < SILENT:
            broker.cancel(wish.permit_request_id)
            broker = self._random.choice(self._brokers[1:])
            granted = _granted(broker, wish, now_s)
        if granted is None:
            return False
        if send:
            self.repeats_s.append(now_s)
        is_shed = self._random.uniform(0, 1) < SHED
        outcome = AttemptOutcome.SHED if is_shed else AttemptOutcome.SUCCESS
        broker.release_permit(
            granted.permit_id, AttemptReport(outcome, 0.2), now_s
        )
        return is_shed


def _never(_pool: object) -> bool:
    return False


def _granted(broker: Broker, wish: object, now_s: float) -> PermitGrant | None:
    for decision in broker.request(wish, now_s):
        if isinstance(decision, PermitGrant):
            return decision
    broker.cancel(wish.permit_request_id)
    return None


class SilentLeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.allowed = BOUNDS.ratio * CALLS_PER_S * WINDOW_S
        self.allowed += BOUNDS.slack * BOUNDS.slack_share

    def test_repeats_stay_within_the_budget_of_one_broker(self) -> None:
        for seed in range(2):
            played = SilentLeader(seed).play()
            most = most_within(played.repeats_s, WINDOW_S)
            self.assertLessEqual(most, self.allowed, seed)
            self.assertGreater(most, self.allowed / 4, seed)

    def test_check_sees_brokers_that_all_take_the_slack(self) -> None:
        played = SilentLeader(0, others_lead=True).play()
        most = most_within(played.repeats_s, WINDOW_S)
        self.assertGreater(most, self.allowed)
