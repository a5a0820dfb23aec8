"""Pools whose servers are cold, at a broker without a part of their rate."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tests.grants.history import max_count_in_window
from tests.grants.samples import (
    SPEC,
    backend,
    new_broker,
    new_request,
    reported_load,
)
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    DenialReason,
    PermitDenial,
    PermitGrant,
)
from turmericpost_core.grants.pool_state import RETURN_SPREAD_S
from turmericpost_core.grants.rate_limits import (
    RateLimitStatement,
    instance_of,
    pool_of,
)
from turmericpost_core.grants.rate_share import RATE_WINDOW_S, UNUSED_RECHECK_S

_COLD_S = 5.0


class ColdPoolTest(unittest.TestCase):
    def setUp(self) -> None:
        self.broker = new_broker(2)
        self._report(cold_left_s=_COLD_S)

    # Guards against calls that wait for their deadlines at a broker that may
    # not use any server.
    def test_call_is_refused_at_once_without_a_part(self) -> None:
        self.broker.visible_share = 0
        (denial,) = self.broker.request(new_request(1, 0), 0)
        assert isinstance(denial, PermitDenial)
        self.assertIs(denial.reason, DenialReason.OVERLOADED)
        self._check_retry_after(denial, UNUSED_RECHECK_S)

    # Guards against callers that stay away for a long warm-up though the
    # leader of the pool is back before.
    def test_time_to_retry_is_no_longer_than_the_warm_up(self) -> None:
        self.broker.visible_share = 0
        now_s = _COLD_S - 0.3
        (denial,) = self.broker.request(new_request(1, now_s), now_s)
        assert isinstance(denial, PermitDenial)
        self._check_retry_after(denial, 0.3)

    def test_call_that_may_go_elsewhere_is_redirected(self) -> None:
        self.broker.visible_share = 0
        request = replace(new_request(1, 0), may_redirect=True)
        (denial,) = self.broker.request(request, 0)
        assert isinstance(denial, PermitDenial)
        self.assertIs(denial.reason, DenialReason.OTHER_DOMAIN)

    def test_queued_calls_are_refused_when_the_part_is_lost(self) -> None:
        grants = [self._request(number) for number in range(9)]
        self.assertIsInstance(grants[0], PermitGrant)
        self.broker.visible_share = 0
        denials = self.broker.decide(0.02)
        self.assertEqual(len(denials), grants.count(None))
        self.assertTrue(denials)

    # Guards against a wait without end, or a division by a rate of zero.
    def test_call_is_refused_for_a_second_if_all_servers_state_limits(
        self,
    ) -> None:
        self.broker.visible_share = 0
        self._report(cold_left_s=0)
        for number in range(2):
            server = backend(number)
            self.broker.rate_limits.record(
                pool_of(server),
                instance_of(server),
                RateLimitStatement(5, 0),
            )
        (denial,) = self.broker.request(new_request(1, 0), 0)
        assert isinstance(denial, PermitDenial)
        self.assertIs(denial.reason, DenialReason.OVERLOADED)
        self._check_retry_after(denial, UNUSED_RECHECK_S)

    def test_call_waits_for_its_turn_at_the_cold_rate(self) -> None:
        decisions = [self._request(number) for number in range(7)]
        self.assertIsNone(decisions[-1])

    def test_second_in_rank_waits_longer_than_the_usual_window(self) -> None:
        self.broker.lead_share = lambda _pool: 0.25
        granted_s = []
        for step in range(500):
            now_s = step / 100
            self._report(cold_left_s=60, now_s=now_s)
            request = new_request(step, now_s)
            for decision in self.broker.request(request, now_s):
                if isinstance(decision, PermitGrant):
                    granted_s.append(now_s)
                    unused = AttemptReport(AttemptOutcome.UNUSED)
                    self.broker.release_permit(
                        decision.permit_id, unused, now_s
                    )
            self.broker.cancel(request.permit_request_id)
        window_s = RATE_WINDOW_S / (0.25 * SPEC.cold_per_s)
        self.assertLessEqual(max_count_in_window(granted_s, window_s * 0.9), 2)
        self.assertGreaterEqual(len(granted_s), 2 * 3)

    def test_warm_server_is_used_without_a_part(self) -> None:
        self.broker.visible_share = 0
        self._report(cold_left_s=0)
        self.assertIsInstance(self._request(1), PermitGrant)

    def _check_retry_after(self, denial: PermitDenial, least_s: float) -> None:
        self.assertGreaterEqual(denial.retry_after_s, least_s - 0.001)
        self.assertLess(denial.retry_after_s, least_s + RETURN_SPREAD_S)

    def _request(self, number: int) -> PermitGrant | PermitDenial | None:
        """Request a permit and return it at once; None if queued."""
        decisions = self.broker.request(new_request(number, 0), 0)
        for decision in decisions:
            if isinstance(decision, PermitGrant):
                unused = AttemptReport(AttemptOutcome.UNUSED)
                self.broker.release_permit(decision.permit_id, unused, 0)
            if isinstance(decision, PermitGrant | PermitDenial):
                return decision
        return None

    def _report(self, cold_left_s: float, now_s: float = 0) -> None:
        for number in range(2):
            self.broker.record_probe(
                backend(number).backend_id,
                reported_load(cold_left_s=cold_left_s),
                now_s,
                is_healthy=True,
            )


if __name__ == '__main__':
    unittest.main()
