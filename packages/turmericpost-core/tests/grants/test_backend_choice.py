"""Tests of the choice among available backend servers."""

from __future__ import annotations

import unittest

from tests.grants.samples import (
    OBJECTIVE_S,
    backend,
    new_request,
    reported_load,
)
from turmericpost_core.grants.backend_choice import (
    choose_backend,
    rank_candidates,
)
from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.limits import (
    FAST_REPORT_VALIDITY_S,
    SLOW_SERVER_WAIT_S,
)
from turmericpost_core.grants.permits import AttemptOutcome

TYPICAL_SERVICE_TIME_S = 0.3
NOW_S = 5.0


def server(
    number: int, slowness: float, reported_s: float = NOW_S
) -> BackendState:
    state = BackendState(backend(number), 0)
    state.record_load(reported_load(slowness), reported_s, 0)
    return state


def chosen_id(*servers: BackendState, waited_s: float = 0) -> str | None:
    candidates = rank_candidates(servers, servers, NOW_S)
    call = new_request(
        1,
        NOW_S - waited_s,
        objective_at_s=NOW_S - waited_s + OBJECTIVE_S,
        deadline_at_s=NOW_S + 9,
    )
    found = choose_backend(candidates, call, TYPICAL_SERVICE_TIME_S, NOW_S)
    return None if found is None else found.backend.backend_id


class ChoiceTest(unittest.TestCase):
    def test_fast_server_is_preferred_to_slow_ones(self) -> None:
        self.assertEqual(chosen_id(server(0, 400), server(1, 100)), 'b1')

    def test_less_loaded_of_equal_servers_is_chosen(self) -> None:
        busy = server(0, 100)
        busy.record_attempt_start(NOW_S)
        self.assertEqual(chosen_id(busy, server(1, 100)), 'b1')

    def test_failing_server_is_ranked_last(self) -> None:
        failing = server(0, 100)
        for _ in range(9):
            failing.record_attempt_start(NOW_S)
            failing.record_attempt_end(AttemptOutcome.FAILURE, NOW_S)
        self.assertEqual(chosen_id(failing, server(1, 150)), 'b1')

    def test_slow_server_is_chosen_if_the_objective_allows(self) -> None:
        self.assertEqual(chosen_id(server(0, 200)), 'b0')
        self.assertIsNone(chosen_id(server(0, 400)))

    def test_slow_server_is_chosen_after_a_wait_in_a_slow_pool(self) -> None:
        long_wait_s = SLOW_SERVER_WAIT_S + 0.1
        self.assertEqual(chosen_id(server(0, 400), waited_s=long_wait_s), 'b0')

    def test_slow_server_is_not_chosen_if_another_was_recently_fast(
        self,
    ) -> None:
        """A fast server that is only busy may soon have a free slot."""
        long_wait_s = SLOW_SERVER_WAIT_S + 0.1
        recently_fast = server(1, 100, NOW_S - FAST_REPORT_VALIDITY_S / 2)
        self.assertIsNone(
            chosen_id(server(0, 400), recently_fast, waited_s=long_wait_s)
        )
        formerly_fast = server(1, 100, NOW_S - 2 * FAST_REPORT_VALIDITY_S)
        self.assertEqual(
            chosen_id(server(0, 400), formerly_fast, waited_s=long_wait_s), 'b0'
        )
