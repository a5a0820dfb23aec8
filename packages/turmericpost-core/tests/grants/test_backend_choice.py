"""Which server a call gets, of those that have room."""

from __future__ import annotations

import unittest

from tests.grants.samples import OBJECTIVE_S, backend, reported_load, request
from turmericpost_core.grants.backend_choice import choose_use, takers_of
from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.limits import FAST_MEMORY_S, SLOW_WAIT_S
from turmericpost_core.grants.permits import AttemptOutcome

USUAL_S = 0.3
NOW_S = 5.0


def use(
    number: int, slowness: float, reported_s: float = NOW_S
) -> BackendState:
    made = BackendState(backend(number), 0)
    made.report(reported_load(slowness), reported_s, 0)
    return made


def chosen(*uses: BackendState, waited_s: float = 0) -> str | None:
    takers = takers_of(uses, uses, NOW_S)
    call = request(
        1,
        NOW_S - waited_s,
        objective_at_s=NOW_S - waited_s + OBJECTIVE_S,
        deadline_at_s=NOW_S + 9,
    )
    found = choose_use(takers, call, USUAL_S, NOW_S)
    return None if found is None else found.backend.backend_id


class ChoiceTest(unittest.TestCase):
    def test_fast_server_goes_before_slow_ones(self) -> None:
        self.assertEqual(chosen(use(0, 400), use(1, 100)), 'b1')

    def test_less_used_of_equal_servers_is_taken(self) -> None:
        busy = use(0, 100)
        busy.start(NOW_S)
        self.assertEqual(chosen(busy, use(1, 100)), 'b1')

    def test_failing_server_comes_last(self) -> None:
        failing = use(0, 100)
        for _ in range(9):
            failing.start(NOW_S)
            failing.finish(AttemptOutcome.FAILURE, NOW_S)
        self.assertEqual(chosen(failing, use(1, 150)), 'b1')

    def test_slow_server_is_taken_where_the_call_is_in_time(self) -> None:
        self.assertEqual(chosen(use(0, 200)), 'b0')
        self.assertIsNone(chosen(use(0, 400)))

    def test_slow_server_is_the_last_resort_of_a_slow_pool(self) -> None:
        long_s = SLOW_WAIT_S + 0.1
        self.assertEqual(chosen(use(0, 400), waited_s=long_s), 'b0')

    def test_slow_server_is_left_while_another_was_fast_of_late(self) -> None:
        """Pattern: a fast server is full, and slow ones have room."""
        long_s = SLOW_WAIT_S + 0.1
        lately = use(1, 100, NOW_S - FAST_MEMORY_S / 2)
        self.assertIsNone(chosen(use(0, 400), lately, waited_s=long_s))
        before = use(1, 100, NOW_S - 2 * FAST_MEMORY_S)
        self.assertEqual(chosen(use(0, 400), before, waited_s=long_s), 'b0')
