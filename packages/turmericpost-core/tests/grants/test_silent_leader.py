"""Retries when requests go to other brokers because the leader is slow.

Load pattern: every server sheds half of its calls for ten seconds, and the
leading broker, on a small VM, replies too late to every second request.
Without a limit for the other brokers, each would spend its own retry slack.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random

from tests.grants.history import max_count_in_window
from tests.grants.samples import SPEC, backend, new_request, reported_load
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.limits import RetryLimits
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    PermitGrant,
)

RETRY_LIMITS = RetryLimits(ratio=0.2, slack=240, window_s=10, slack_share=0.125)
BROKERS = 12
SERVERS = 12
CALLS_PER_S = 25
DURATION_S = 22
SHED_PROBABILITY = 0.55
SILENCE_PROBABILITY = 0.5
MAX_ATTEMPTS = 4
WINDOW_S = RETRY_LIMITS.window_s


class SilentLeaderSimulation:
    """Brokers of one pool, of which the first is the leader."""

    def __init__(self, seed: int, *, everyone_leads: bool = False) -> None:
        self.calls_s: list[float] = []
        self.retries_s: list[float] = []
        self._random = Random(seed)
        self._brokers = [self._broker(one) for one in range(BROKERS)]
        if not everyone_leads:
            for broker in self._brokers[1:]:
                broker.lead_share = _never_leads

    def run(self) -> SilentLeaderSimulation:
        for number in range(CALLS_PER_S * DURATION_S):
            now_s = number / CALLS_PER_S
            self._report_loads(now_s)
            self.calls_s.append(now_s)
            for attempt_number in range(MAX_ATTEMPTS):
                if not self._attempt_call(number, attempt_number, now_s):
                    break
        return self

    def _broker(self, number: int) -> Broker:
        broker = Broker('.'.join(('vm', str(number))), RETRY_LIMITS)
        broker.visible_share = 1
        broker.install_services({SPEC.name: SPEC})
        broker.install_backends(map(backend, range(SERVERS)), 0)
        return broker

    def _report_loads(self, now_s: float) -> None:
        for broker in self._brokers:
            for number in range(SERVERS):
                name = backend(number).backend_id
                broker.record_probe(
                    name, reported_load(), now_s, is_healthy=True
                )

    def _attempt_call(
        self, number: int, attempt_number: int, now_s: float
    ) -> bool:
        """Send one attempt of a call; return whether it was shed."""
        permit_request = new_request(number, now_s, is_retry=attempt_number > 0)
        permit_request = replace(
            permit_request,
            permit_request_id='.'.join(
                (permit_request.permit_request_id, str(attempt_number))
            ),
        )
        broker = self._brokers[0]
        grant = _request_permit(broker, permit_request, now_s)
        if self._random.uniform(0, 1) < SILENCE_PROBABILITY:
            broker.cancel(permit_request.permit_request_id)
            broker = self._random.choice(self._brokers[1:])
            grant = _request_permit(broker, permit_request, now_s)
        if grant is None:
            return False
        if attempt_number:
            self.retries_s.append(now_s)
        is_shed = self._random.uniform(0, 1) < SHED_PROBABILITY
        outcome = AttemptOutcome.SHED if is_shed else AttemptOutcome.SUCCESS
        broker.release_permit(
            grant.permit_id, AttemptReport(outcome, 0.2), now_s
        )
        return is_shed


def _never_leads(_pool: object) -> float:
    return 0


def _request_permit(
    broker: Broker, permit_request: object, now_s: float
) -> PermitGrant | None:
    for decision in broker.request(permit_request, now_s):
        if isinstance(decision, PermitGrant):
            return decision
    broker.cancel(permit_request.permit_request_id)
    return None


class SilentLeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.max_retries = RETRY_LIMITS.ratio * CALLS_PER_S * WINDOW_S
        self.max_retries += RETRY_LIMITS.slack * RETRY_LIMITS.slack_share

    def test_retries_stay_within_the_budget_of_one_broker(self) -> None:
        for seed in range(2):
            simulation = SilentLeaderSimulation(seed).run()
            max_count = max_count_in_window(simulation.retries_s, WINDOW_S)
            self.assertLessEqual(max_count, self.max_retries, seed)
            self.assertGreater(max_count, self.max_retries / 4, seed)

    def test_check_detects_brokers_that_all_use_the_slack(self) -> None:
        simulation = SilentLeaderSimulation(0, everyone_leads=True).run()
        max_count = max_count_in_window(simulation.retries_s, WINDOW_S)
        self.assertGreater(max_count, self.max_retries)
