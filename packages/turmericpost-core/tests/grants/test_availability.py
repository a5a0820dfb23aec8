"""Servers that leave or ask for a pause: statements, broker, histories."""

from __future__ import annotations

import unittest
from collections import Counter
from unittest.mock import patch

from tests.grants.availability_history import (
    AvailabilitySimulation,
    sent_after_leaving,
    sent_in_a_pause,
)
from tests.grants.samples import (
    backend,
    new_broker,
    new_request,
    probe_backend,
    reported_load,
)
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.availability import (
    MAX_INSTANCES,
    MAX_PAUSE_S,
    UNDATED_LEAVING_S,
    AvailabilityTable,
)
from turmericpost_core.grants.backend_state import BackendHealth
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    Decision,
    DenialReason,
    PermitDenial,
    PermitGrant,
    Pool,
    ProbeRequest,
)
from turmericpost_core.grants.pool_state import RETURN_SPREAD_S
from turmericpost_core.grants.rate_limits import (
    BackendInstance,
    instance_of,
    pool_of,
)

_SERVER = backend(1)
_POOL = pool_of(_SERVER)
_INSTANCE = instance_of(_SERVER)
_RUNS = 1000
_RUNS_WITH_FAULT = 40


class AvailabilityTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = AvailabilityTable()

    def pause(self, stated_s: float, pause_s: float) -> bool:
        return self.table.record_pause(_POOL, _INSTANCE, stated_s, pause_s)

    def test_pause_holds_until_its_end(self) -> None:
        self.assertTrue(self.pause(10, 3))
        self.assertFalse(self.table.may_send(_SERVER, 10))
        self.assertFalse(self.table.may_send(_SERVER, 12.9))
        self.assertTrue(self.table.may_send(_SERVER, 13))

    # Guards against a second rejection that lets requests through early.
    def test_second_pause_lengthens_the_first_but_does_not_shorten_it(
        self,
    ) -> None:
        self.pause(10, 3)
        self.assertFalse(self.pause(11, 0.1))
        self.assertFalse(self.table.may_send(_SERVER, 12.9))
        self.assertFalse(self.pause(12, 3))
        self.assertFalse(self.table.may_send(_SERVER, 14.9))

    def test_pause_after_the_end_of_another_is_new(self) -> None:
        self.pause(10, 3)
        self.assertTrue(self.pause(13, 1))

    def test_very_long_pause_is_bounded(self) -> None:
        self.pause(0, 10**12)
        self.assertFalse(self.table.may_send(_SERVER, MAX_PAUSE_S - 1))
        self.assertTrue(self.table.may_send(_SERVER, MAX_PAUSE_S))

    # Guards against a server that leaves and is used again after a pause.
    def test_leaving_holds_whatever_pause_follows(self) -> None:
        self.assertTrue(self.table.record_leaving(_POOL, _INSTANCE, 5))
        self.assertFalse(self.table.record_leaving(_POOL, _INSTANCE, 6))
        self.pause(7, 1)
        self.assertFalse(self.table.may_send(_SERVER, 10**6))
        stated = self.table.in_force(_SERVER, 10**6)
        self.assertEqual(stated.stated_s, 5)

    # Guards against a server that stays unused after it has started again.
    def test_statements_hold_for_one_life_of_a_server(self) -> None:
        self.table.record_leaving(_POOL, _INSTANCE, 5)
        for other in (
            backend(1, started_ms=2),
            backend(2),
            backend(1, service='other'),
        ):
            self.assertTrue(self.table.may_send(other, 6))

    def test_leaving_without_a_start_time_is_forgotten(self) -> None:
        undated = backend(1, started_ms=0)
        self.table.record_leaving(_POOL, instance_of(undated), 5)
        self.assertFalse(self.table.may_send(undated, UNDATED_LEAVING_S))
        self.assertTrue(self.table.may_send(undated, 5 + UNDATED_LEAVING_S))

    # Guards against a table that grows with each release of a service.
    def test_number_of_servers_is_bounded(self) -> None:
        for number in range(MAX_INSTANCES + 10):
            self.table.record_leaving(_POOL, (f'b{number}', 1), number)
        self.table.forget_old(MAX_INSTANCES)
        kept = self.table.in_pool(_POOL, MAX_INSTANCES)
        self.assertEqual(len(kept), MAX_INSTANCES)
        self.assertNotIn(('b9', 1), kept)

    def test_ended_pauses_are_forgotten(self) -> None:
        self.pause(10, 3)
        self.table.forget_old(13)
        self.assertEqual(self.table.in_pool(_POOL, 0), {})


class BrokerAvailabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.broker = new_broker(2)
        for number in (0, 1):
            probe_backend(self.broker, number, 0)

    def leave(self, server: Backend, now_s: float) -> None:
        self.broker.availability.record_leaving(
            pool_of(server), instance_of(server), now_s
        )

    def pause(self, number: int, now_s: float, pause_s: float) -> None:
        server = backend(number)
        self.broker.availability.record_pause(
            pool_of(server), instance_of(server), now_s, pause_s
        )

    def request(self, number: int, now_s: float, **changes: object) -> object:
        return self.broker.request(
            new_request(number, now_s, **changes), now_s
        )[0]

    def test_server_that_leaves_gets_no_permits_and_no_probes(self) -> None:
        self.leave(backend(0), 0)
        decisions = []
        for number in range(20):
            now_s = 0.01 * number
            decisions.extend(
                self.broker.request(new_request(number, now_s), now_s)
            )
            decisions.extend(self.broker.decide(now_s + 0.005))
        used = {
            decision.backend.backend_id
            for decision in decisions
            if isinstance(decision, PermitGrant | ProbeRequest)
        }
        self.assertEqual(used, {'b1'})

    def test_health_tells_why_a_server_is_not_used(self) -> None:
        self.leave(backend(0), 0)
        self.pause(1, 0, 3)
        self.request(1, 0.01)
        self.assertEqual(
            [state.health(1) for state in self.broker.backend_states()],
            [BackendHealth.LEAVING, BackendHealth.PAUSED],
        )

    def test_server_without_a_start_time_is_used_again_after_a_while(
        self,
    ) -> None:
        undated = backend(0, started_ms=0)
        self.broker.install_backends([undated], 0)
        self.leave(undated, 0)
        self.assertIsInstance(self.request(1, 1), PermitDenial)
        late_s = UNDATED_LEAVING_S + 1
        probe_backend(self.broker, 0, late_s)
        self.assertIsInstance(self.request(2, late_s), PermitGrant)

    # Guards against callers that wait in a queue that no server will serve.
    def test_requests_are_denied_at_once_if_all_servers_are_closed(
        self,
    ) -> None:
        self.leave(backend(0), 0)
        self.pause(1, 0, 3)
        denial = self.request(1, 0.5)
        self.assertIsInstance(denial, PermitDenial)
        self.assertIs(denial.reason, DenialReason.NO_BACKEND)
        self.assertGreaterEqual(denial.retry_after_s, 2.5)
        self.assertLessEqual(denial.retry_after_s, 2.5 + RETURN_SPREAD_S)

    def test_queued_requests_are_denied_when_the_last_server_closes(
        self,
    ) -> None:
        self.leave(backend(0), 0)
        for number in range(5):
            self.broker.request(new_request(number, 0.01), 0.01)
        self.assertTrue(self.broker.has_waiting)
        self.pause(1, 0.03, 3)
        denials = self.broker.decide(0.04)
        self.assertTrue(denials)
        for denial in denials:
            self.assertIs(denial.reason, DenialReason.NO_BACKEND)

    # Guards against callers that all come back in the instant in which a pause
    # ends.
    def test_callers_are_told_to_come_back_over_some_time(self) -> None:
        for number in (0, 1):
            self.pause(number, 0, 3)
        times_s = sorted(
            self.request(number, 1).retry_after_s for number in range(50)
        )
        gaps_s = [
            later_s - earlier_s
            for earlier_s, later_s in zip(times_s, times_s[1:], strict=False)
        ]
        self.assertLess(max(gaps_s), 0.1 * RETURN_SPREAD_S)
        self.assertGreater(times_s[-1] - times_s[0], 0.8 * RETURN_SPREAD_S)

    # Guards against a burst at a server in the instant in which its pause ends.
    def test_server_gets_one_attempt_at_a_time_after_its_pause(self) -> None:
        self.leave(backend(0), 0)
        self.pause(1, 0, 1)
        self.request(1, 0.5)
        probe_backend(self.broker, 1, 1.01)
        first = self.request(2, 1.02)
        self.assertIsInstance(first, PermitGrant)
        second = self.broker.request(new_request(3, 1.03), 1.03)
        self.assertFalse(
            any(isinstance(decision, PermitGrant) for decision in second)
        )
        report = AttemptReport(AttemptOutcome.SUCCESS, 0.1, reported_load())
        after = self.broker.release_permit(first.permit_id, report, 1.1)
        self.assertIsInstance(after[0], PermitGrant)

    # Guards against a server that draws load since it rejects it quickly.
    def test_server_that_rejects_everything_attracts_no_work(self) -> None:
        pool = _LoadedPool(self.broker)
        for number in range(1000):
            pool.step(number)
        self.assertGreater(pool.sent['b1'], 100)
        self.assertLess(pool.sent['b0'], 0.1 * pool.sent['b1'], pool.sent)


class _LoadedPool:
    """A pool in which ``b0`` rejects each attempt at once; ``b1`` takes 0.1 s."""

    def __init__(self, broker: Broker) -> None:
        self.sent: Counter[str] = Counter()
        self._broker = broker
        self._running: list[tuple[float, str]] = []
        self._now_s = float(0)

    def step(self, number: int) -> None:
        self._now_s += 0.01
        due = [one for one in self._running if one[0] <= self._now_s]
        self._running = [one for one in self._running if one[0] > self._now_s]
        for _, permit_id in due:
            self._release(permit_id, AttemptOutcome.SUCCESS)
        request = new_request(number, self._now_s)
        self._apply(self._broker.request(request, self._now_s))
        self._apply(self._broker.decide(self._now_s))

    def _apply(self, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeRequest):
                name = decision.backend.backend_id
                self._apply(
                    probe_backend(self._broker, int(name[1:]), self._now_s)
                )
            elif isinstance(decision, PermitGrant):
                self._attempt(decision)

    def _attempt(self, grant: PermitGrant) -> None:
        self.sent[grant.backend.backend_id] += 1
        if grant.backend.backend_id == 'b0':
            self._release(grant.permit_id, AttemptOutcome.SHED)
        else:
            self._running.append((self._now_s + 0.1, grant.permit_id))

    def _release(self, permit_id: str, outcome: AttemptOutcome) -> None:
        load = reported_load() if outcome is AttemptOutcome.SUCCESS else None
        report = AttemptReport(outcome, 0.1, load)
        self._apply(self._broker.release_permit(permit_id, report, self._now_s))


class AvailabilityHistoriesTest(unittest.TestCase):
    def test_statements_are_kept_in_every_run(self) -> None:
        sent = 0
        for seed in range(_RUNS):
            simulation = AvailabilitySimulation(seed)
            simulation.run()
            sent += len(simulation.arrivals)
            self.assertFalse(sent_after_leaving(simulation), seed)
            self.assertFalse(sent_in_a_pause(simulation), seed)
        self.assertGreater(sent, _RUNS)

    def test_check_detects_a_vm_that_ignores_what_it_was_told(self) -> None:
        with patch.object(AvailabilityTable, 'in_force', return_value=None):
            simulations = self._simulations()
        self.assertTrue(any(map(sent_after_leaving, simulations)))
        self.assertTrue(any(map(sent_in_a_pause, simulations)))

    def test_check_detects_a_pause_that_ends_early(self) -> None:
        record_pause = AvailabilityTable.record_pause

        def record_less(
            table: AvailabilityTable,
            pool: Pool,
            instance: BackendInstance,
            stated_s: float,
            pause_s: float,
        ) -> bool:
            return record_pause(table, pool, instance, stated_s, pause_s / 5)

        with patch.object(AvailabilityTable, 'record_pause', record_less):
            simulations = self._simulations()
        self.assertTrue(any(map(sent_in_a_pause, simulations)))

    def _simulations(self) -> list[AvailabilitySimulation]:
        simulations = []
        for seed in range(_RUNS_WITH_FAULT):
            simulation = AvailabilitySimulation(seed)
            simulation.run()
            simulations.append(simulation)
        return simulations


if __name__ == '__main__':
    unittest.main()
