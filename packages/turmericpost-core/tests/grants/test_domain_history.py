"""Cold servers and calls in domains of up to 40 VMs, over many histories.

Further tests break the broker on purpose to show that each check can fail.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest.mock import patch

from tests.grants.domain_history import DomainHistory
from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.broker import Broker

RUNS = 40
RUNS_WITH_FAULT = 12
FORMER_BREAKS = (41, 49, 62, 85, 92, 94, 96, 152)
HARD_FAULT_SEEDS = (8, 44, 69, 85, 136, 159, 169, 193, 224, 601, 679)
"""Seeds that broke a rule in earlier code or in a trial of another one."""


class DomainHistoryTest(unittest.TestCase):
    histories: dict[int, DomainHistory]

    @classmethod
    def setUpClass(cls) -> None:
        cls.histories = {
            seed: DomainHistory(seed).run()
            for seed in (*range(RUNS), *FORMER_BREAKS)
        }

    # Guards against brokers whose parts of the cold rate add up to too much.
    def test_cold_servers_get_no_more_than_their_rate(self) -> None:
        self._check_all(DomainHistory.cold_rate_breaks)

    # Guards against calls that no broker answers once the faults have ended.
    def test_calls_end_by_their_deadlines(self) -> None:
        self._check_all(DomainHistory.late_calls)

    # Guards against a limit that leaves cold servers unused in a whole domain.
    def test_cold_servers_are_used_after_the_faults(self) -> None:
        self._check_all(DomainHistory.unused_pools)

    # Guards against a check that counts no arrivals at cold servers.
    def test_check_detects_a_missing_cold_rate_limit(self) -> None:
        with patch.object(
            BackendState, 'is_within_cold_rate', return_value=True
        ):
            self.assertTrue(_any_break(DomainHistory.cold_rate_breaks))

    # Guards against a check that takes requests without decision as ended.
    def test_check_detects_calls_without_decision(self) -> None:
        with patch.object(Broker, 'request', return_value=()):
            self.assertTrue(_any_break(DomainHistory.late_calls))

    # Guards against a check that never expects an attempt.
    def test_check_detects_unused_cold_servers(self) -> None:
        with patch.object(
            BackendState, 'is_within_cold_rate', return_value=False
        ):
            self.assertTrue(_any_break(DomainHistory.unused_pools))

    def _check_all(self, check: Callable[[DomainHistory], list]) -> None:
        broken = {
            seed: found
            for seed, history in self.histories.items()
            if (found := check(history))
        }
        self.assertFalse(broken)


class HardFaultHistoryTest(unittest.TestCase):
    histories: dict[int, DomainHistory]

    @classmethod
    def setUpClass(cls) -> None:
        cls.histories = {
            seed: DomainHistory(seed, plays_hard_faults=True).run()
            for seed in HARD_FAULT_SEEDS
        }

    # Guards against leaders that nobody hears, each with the whole rate, and
    # against a warm report that stands for any number of attempts.
    def test_cold_servers_get_no_more_than_their_rate(self) -> None:
        broken = {
            seed: found
            for seed, history in self.histories.items()
            if (found := history.cold_rate_breaks())
        }
        self.assertFalse(broken)

    # Guards against requests that wait to their deadlines after the call of an
    # adopted permit.
    def test_calls_end_by_their_deadlines(self) -> None:
        late = {
            seed: found
            for seed, history in self.histories.items()
            if (found := history.late_calls())
        }
        self.assertFalse(late)


def _any_break(check: Callable[[DomainHistory], list]) -> bool:
    return any(
        check(DomainHistory(seed).run()) for seed in range(RUNS_WITH_FAULT)
    )
