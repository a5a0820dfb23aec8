"""Servers that restart within the validity of a report that they are warm."""

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

_RESTART_S = 0.3
_STEP_S = 0.02
_REQUESTS = 40


class RestartedServerTest(unittest.TestCase):
    # Guards against a server that restarts cold and gets any number of
    # requests, by a report that its life before was warm.
    def test_warm_report_ends_with_a_failed_attempt(self) -> None:
        broker = new_broker(1)
        name = backend(0).backend_id
        broker.record_probe(name, reported_load(), 0, is_healthy=True)
        (lost,) = broker.request(new_request(0, 0), 0)
        assert isinstance(lost, PermitGrant)
        failed = AttemptReport(AttemptOutcome.FAILURE)
        broker.release_permit(lost.permit_id, failed, 0)
        grants = 0
        for number in range(1, _REQUESTS):
            now_s = _RESTART_S + number * _STEP_S
            request = new_request(number, now_s)
            load = reported_load(cold_left_s=None)
            broker.record_probe(name, load, now_s, is_healthy=True)
            for decision in broker.request(request, now_s):
                if isinstance(decision, PermitGrant):
                    grants += 1
                    ended = AttemptReport(AttemptOutcome.SUCCESS, 0.1, load)
                    broker.release_permit(decision.permit_id, ended, now_s)
            broker.cancel(request.permit_request_id)
        self.assertGreater(grants, 0)
        self.assertLessEqual(grants, SPEC.cold_per_s)


if __name__ == '__main__':
    unittest.main()
