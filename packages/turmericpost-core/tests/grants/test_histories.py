"""Broker invariants over many simulation runs.

Further tests break the broker on purpose to show that each check can fail.
"""

from __future__ import annotations

import unittest
from collections import defaultdict
from unittest.mock import PropertyMock, patch

from tests.grants.history import (
    COLD_BURST,
    COLD_PER_S,
    COLD_RATE_TOLERANCE,
    RATIO,
    SLACK,
    WINDOW_S,
    BrokerSimulation,
    SimulationResult,
    max_count_in_window,
)
from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.sliding_retry_budget import SlidingRetryBudget
from turmericpost_core.outcome.next_step import (
    AttemptHistory,
    NextStep,
)

POOL_SLACK = SLACK / 4
RUNS = 1000
RUNS_WITH_FAULT = 60


def exceeds_cold_rate(simulation_result: SimulationResult) -> bool:
    bound = COLD_PER_S * COLD_RATE_TOLERANCE + COLD_BURST
    for name, times_s in simulation_result.arrivals_s.items():
        until_s = simulation_result.cold_until_s[name]
        cold = [time_s for time_s in times_s if time_s < until_s]
        if max_count_in_window(cold, 1) > bound:
            return True
    return False


def exceeds_retry_budget(simulation_result: SimulationResult) -> bool:
    max_count = max_count_in_window(simulation_result.retries_s, WINDOW_S)
    return max_count > RATIO * len(simulation_result.calls_s) + POOL_SLACK


def ran_twice(simulation_result: SimulationResult) -> bool:
    return any(
        call.runs > 1
        for call in simulation_result.calls
        if not call.attempt_history.is_idempotent
    )


def falsely_reports_not_run(simulation_result: SimulationResult) -> bool:
    return any(
        call.runs and call.final_step is NextStep.FAIL_NOT_RUN
        for call in simulation_result.calls
    )


class BrokerInvariantsTest(unittest.TestCase):
    broken_seeds: dict[str, list[int]]
    runs: int

    @classmethod
    def setUpClass(cls) -> None:
        cls.broken_seeds = defaultdict(list)
        cls.runs = 0
        checks = (
            exceeds_cold_rate,
            exceeds_retry_budget,
            ran_twice,
            falsely_reports_not_run,
        )
        for seed in range(RUNS):
            simulation_result = BrokerSimulation(seed).run()
            cls.runs += sum(call.runs for call in simulation_result.calls)
            for check in checks:
                if check(simulation_result):
                    cls.broken_seeds[check.__name__].append(seed)

    # Guards against brokers whose parts of the cold rate add up to too much.
    def test_cold_rate_holds_in_every_run(self) -> None:
        self.assertFalse(self.broken_seeds[exceeds_cold_rate.__name__])

    # Guards against retries over the budget, and against calls that run twice
    # or are falsely reported as not run.
    def test_invariants_hold_in_every_run(self) -> None:
        for check in (exceeds_retry_budget, ran_twice, falsely_reports_not_run):
            self.assertFalse(self.broken_seeds[check.__name__], check.__name__)
        self.assertGreater(self.runs, RUNS)

    def test_check_detects_a_missing_cold_rate_limit(self) -> None:
        with patch.object(
            BackendState, 'is_within_cold_rate', return_value=True
        ):
            self.assertTrue(self._any_violation(exceeds_cold_rate))

    def test_check_detects_a_missing_retry_budget(self) -> None:
        always = PropertyMock(return_value=True)
        with (
            patch.object(SlidingRetryBudget, 'try_spend', return_value=True),
            patch.object(AttemptHistory, 'may_attempt', always),
            patch('tests.grants.history.SHED_WEIGHT', 30),
            patch.object(BackendState, '_back_off_after_rejection'),
        ):
            self.assertTrue(self._any_violation(exceeds_retry_budget))

    def test_check_detects_retries_of_calls_that_may_have_run(self) -> None:
        always = PropertyMock(return_value=True)
        with (
            patch.object(SlidingRetryBudget, 'try_spend', return_value=True),
            patch.object(AttemptHistory, 'may_attempt', always),
        ):
            self.assertTrue(self._any_violation(ran_twice))

    def test_check_detects_a_false_not_run_outcome(self) -> None:
        with patch(
            'turmericpost_core.outcome.next_step.failure_step',
            return_value=NextStep.FAIL_NOT_RUN,
        ):
            self.assertTrue(self._any_violation(falsely_reports_not_run))

    def _any_violation(self, check: object) -> bool:
        return any(
            check(BrokerSimulation(seed).run())
            for seed in range(RUNS_WITH_FAULT)
        )
