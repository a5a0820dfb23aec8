"""Servers that report their load, after a response without a report."""

from __future__ import annotations

import unittest

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
    PermitGrant,
)

_STEP_S = 0.02
_REQUESTS = 50


class MissingLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.broker = new_broker(1)
        self.name = backend(0).backend_id

    # Guards against a server that turned cold unannounced and got any number
    # of requests, since one response without a report had lifted its limit.
    def test_response_without_a_report_does_not_lift_the_cold_limit(
        self,
    ) -> None:
        self._probe(reports_load=True)
        self._probe(reports_load=False)
        self.assertLessEqual(self._count_grants(4), SPEC.cold_per_s + 1)

    def test_server_that_never_reports_its_load_is_not_limited(self) -> None:
        self._probe(reports_load=False)
        self.assertGreater(self._count_grants(4), SPEC.cold_per_s + 1)

    def _probe(self, *, reports_load: bool) -> None:
        load = reported_load() if reports_load else None
        self.broker.record_probe(self.name, load, 0, is_healthy=True)

    def _count_grants(self, begin_s: float) -> int:
        """Count what the server gets in a second, with loads but no probes."""
        return sum(
            self._is_granted(number, begin_s + number * _STEP_S)
            for number in range(_REQUESTS)
        )

    def _is_granted(self, number: int, now_s: float) -> bool:
        """Return whether a request is granted, and end its attempt."""
        request = new_request(number, now_s)
        grants = [
            decision
            for decision in self.broker.request(request, now_s)
            if isinstance(decision, PermitGrant)
        ]
        (server,) = self.broker.backend_states()
        load = reported_load(cold_left_s=None) if server.reports_load else None
        ended = AttemptReport(AttemptOutcome.SUCCESS, 0.1, load)
        for grant in grants:
            self.broker.release_permit(grant.permit_id, ended, now_s)
        self.broker.cancel(request.permit_request_id)
        return bool(grants)


if __name__ == '__main__':
    unittest.main()
