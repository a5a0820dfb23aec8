"""Times of attempts that a broker keeps of a server."""

from __future__ import annotations

import unittest

from tests.grants.samples import backend, new_broker, new_request, reported_load
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    PermitGrant,
)

_ATTEMPTS = 400
_ATTEMPTS_PER_S = 10
_MAX_KEPT = 200


class KeptAttemptsTest(unittest.TestCase):
    # Guards against a list of attempts that grows as long as a server is warm.
    def test_attempts_of_a_warm_server_are_not_kept(self) -> None:
        broker = new_broker(1)
        for number in range(_ATTEMPTS):
            now_s = number / _ATTEMPTS_PER_S
            broker.record_probe(
                backend(0).backend_id, reported_load(), now_s, is_healthy=True
            )
            (grant,) = broker.request(new_request(number, now_s), now_s)
            assert isinstance(grant, PermitGrant)
            ended = AttemptReport(AttemptOutcome.SUCCESS, 0.1, reported_load())
            broker.release_permit(grant.permit_id, ended, now_s)
        (server,) = broker.backend_states()
        self.assertLess(server.kept_attempts, _MAX_KEPT)


if __name__ == '__main__':
    unittest.main()
