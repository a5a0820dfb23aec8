"""Tests of the broker: grants, choice of servers, queueing and denials."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tests.grants.samples import (
    DEADLINE_S,
    OBJECTIVE_S,
    RETRY_LIMITS,
    backend,
    new_broker,
    new_request,
    probe_backend,
    reported_load,
)
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.limits import INITIAL_SERVICE_TIME_SHARE
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    DenialReason,
    PermitDenial,
    PermitGrant,
    ProbeRequest,
)


def grants_in(decisions: tuple[object, ...]) -> list[PermitGrant]:
    return [one for one in decisions if isinstance(one, PermitGrant)]


def denials_in(decisions: tuple[object, ...]) -> list[PermitDenial]:
    return [one for one in decisions if isinstance(one, PermitDenial)]


class ChoiceTest(unittest.TestCase):
    def test_servers_are_probed_before_a_grant(self) -> None:
        broker = new_broker(2)
        decisions = broker.request(new_request(1, 0), 0)
        self.assertEqual(
            {type(one) for one in decisions},
            {ProbeRequest},
        )
        self.assertEqual(len(grants_in(probe_backend(broker, 0, 0.01))), 1)

    def test_slow_server_is_skipped(self) -> None:
        """Load pattern: machines slow down fourfold for 300 ms."""
        broker = new_broker(2)
        broker.request(new_request(1, 0), 0)
        self.assertFalse(
            grants_in(probe_backend(broker, 0, 0.01, slowness=400))
        )
        (permit,) = grants_in(probe_backend(broker, 1, 0.02, slowness=100))
        self.assertEqual(permit.backend.backend_id, 'b1')

    def test_slow_server_is_granted_if_the_objective_allows(self) -> None:
        broker = new_broker(1)
        broker.request(
            new_request(1, 0, objective_at_s=60.0, deadline_at_s=90.0), 0
        )
        broker.record_probe('b0', reported_load(400), 0.01, is_healthy=True)
        attempt_report = AttemptReport(
            AttemptOutcome.SUCCESS, 0.2, reported_load(400)
        )
        broker.release_permit('vm0.1/1', attempt_report, 0.2)
        late_request = new_request(
            2, 1, objective_at_s=61.0, deadline_at_s=90.0
        )
        broker.request(late_request, 1)
        self.assertEqual(len(grants_in(probe_backend(broker, 0, 1.01, 400))), 1)

    def test_slow_server_is_granted_after_a_wait(self) -> None:
        broker = new_broker(1)
        broker.request(new_request(1, 0, deadline_at_s=5.0), 0)
        self.assertFalse(grants_in(probe_backend(broker, 0, 0.3, 400)))
        self.assertEqual(len(grants_in(probe_backend(broker, 0, 0.4, 400))), 1)

    # Guards against an exception that stopped the decisions about all pools
    # while requests were queued for a pool whose servers had all left.
    def test_queued_request_is_denied_when_the_last_server_leaves(self) -> None:
        broker = new_broker(1)
        broker.request(new_request(1, 0), 0)
        broker.install_backends([], 0.1)
        (denial,) = denials_in(broker.decide(0.1))
        self.assertEqual(denial.reason, DenialReason.NO_BACKEND)
        self.assertFalse(broker.has_waiting)

    def test_no_server_gets_more_than_its_usable_slots(self) -> None:
        broker = new_broker(1)
        for number in range(5):
            broker.request(new_request(number, 0), 0)
        self.assertEqual(len(grants_in(probe_backend(broker, 0, 0.01))), 2)

    def test_freed_slot_goes_to_the_next_request_in_order(self) -> None:
        broker = new_broker(1)
        for number, rank in enumerate((1, 1, 2, 0)):
            broker.request(new_request(number, 0, rank=rank), 0)
        first = grants_in(probe_backend(broker, 0, 0.01))
        self.assertEqual(
            [one.request.permit_request_id for one in first],
            ['vm1.3', 'vm1.0'],
        )
        attempt_report = AttemptReport(
            AttemptOutcome.SUCCESS, 0.2, reported_load(100, running=2)
        )
        (third,) = grants_in(
            broker.release_permit(first[0].permit_id, attempt_report, 0.2)
        )
        self.assertEqual(third.request.permit_request_id, 'vm1.1')

    def test_late_requests_are_served_after_those_on_time(self) -> None:
        """Load pattern: some queued calls already miss their objective.

        Serving these first would make the others late, too.
        """
        broker = new_broker(1)
        broker.request(new_request(1, 0, objective_at_s=0.05), 0)
        broker.request(new_request(2, 0.01), 0.01)
        broker.request(new_request(3, 0.02), 0.02)
        order = [
            one.request.permit_request_id
            for one in grants_in(probe_backend(broker, 0, 0.06))
        ]
        self.assertEqual(order, ['vm1.2', 'vm1.3'])

    def test_failing_server_gets_a_backoff(self) -> None:
        broker = new_broker(1)
        broker.request(new_request(1, 0), 0)
        (permit,) = grants_in(probe_backend(broker, 0, 0.01))
        broker.release_permit(
            permit.permit_id, AttemptReport(AttemptOutcome.FAILURE), 0.02
        )
        broker.request(new_request(2, 0.03), 0.03)
        self.assertFalse(grants_in(probe_backend(broker, 0, 0.1)))
        self.assertEqual(len(grants_in(probe_backend(broker, 0, 0.3))), 1)


class DenialTest(unittest.TestCase):
    def test_request_without_servers_is_denied_at_once(self) -> None:
        (denial,) = denials_in(new_broker(0).request(new_request(1, 0), 0))
        self.assertIs(denial.reason, DenialReason.NO_BACKEND)

    def test_request_that_would_miss_its_deadline_is_denied_at_once(
        self,
    ) -> None:
        """Load pattern: more calls than can be served by their deadline."""
        broker = new_broker(1)
        denials = [
            denial
            for number in range(40)
            for denial in denials_in(broker.request(new_request(number, 0), 0))
        ]
        self.assertTrue(denials)
        self.assertIs(denials[0].reason, DenialReason.OVERLOADED)
        self.assertGreater(denials[0].retry_after_s, 0)

    def test_request_is_redirected_if_the_queue_is_too_long(self) -> None:
        broker = new_broker(1)
        for number in range(12):
            broker.request(new_request(number, 0), 0)
        (denial,) = denials_in(
            broker.request(new_request(99, 0, may_redirect=True), 0)
        )
        self.assertIs(denial.reason, DenialReason.OTHER_DOMAIN)

    def test_request_that_may_not_wait_is_denied_soon(self) -> None:
        broker = new_broker(1)
        broker.request(new_request(1, 0, may_wait=False), 0)
        (denial,) = denials_in(probe_backend(broker, 0, 0.05, 400))
        self.assertIs(denial.reason, DenialReason.OVERLOADED)

    def test_request_that_may_not_wait_is_denied_at_once_if_all_are_slow(
        self,
    ) -> None:
        """Load pattern: calls with short objectives try several domains."""
        broker = new_broker(2)
        probe_backend(broker, 0, 0, 400)
        probe_backend(broker, 1, 0, 400)
        (denial,) = denials_in(
            broker.request(new_request(1, 0, may_wait=False), 0)
        )
        self.assertIs(denial.reason, DenialReason.OVERLOADED)

    def test_request_that_may_not_wait_is_kept_while_reports_are_stale(
        self,
    ) -> None:
        broker = new_broker(2)
        probe_backend(broker, 0, 0, 400)
        self.assertEqual(
            denials_in(broker.request(new_request(1, 0, may_wait=False), 0)), []
        )
        self.assertEqual(len(grants_in(probe_backend(broker, 1, 0.01))), 1)

    def test_retry_that_may_not_wait_is_not_denied_at_once(self) -> None:
        broker = new_broker(1)
        probe_backend(broker, 0, 0, 400)
        retry = new_request(1, 0, may_wait=False, is_retry=True)
        self.assertEqual(denials_in(broker.request(retry, 0)), [])

    def test_request_is_redirected_early_enough_for_another_domain(
        self,
    ) -> None:
        """Load pattern: all servers of a small domain are briefly slow."""
        broker = new_broker(2)
        broker.request(new_request(1, 0, may_redirect=True), 0)
        denials: list[PermitDenial] = []
        now_s = float(0)
        while not denials:
            now_s += 0.02
            denials = denials_in(probe_backend(broker, 0, now_s, 400))
        self.assertIs(denials[0].reason, DenialReason.OTHER_DOMAIN)
        typical_service_time_s = INITIAL_SERVICE_TIME_SHARE * OBJECTIVE_S
        self.assertLess(now_s + 1.8 * typical_service_time_s, OBJECTIVE_S)
        self.assertGreater(now_s, 0.1)

    def test_queued_request_is_denied_near_its_deadline(self) -> None:
        broker = new_broker(1)
        broker.request(new_request(1, 0), 0)
        (denial,) = denials_in(broker.decide(DEADLINE_S - 0.1))
        self.assertIs(denial.reason, DenialReason.DEADLINE)


class ColdTest(unittest.TestCase):
    def test_server_without_a_report_counts_as_cold(self) -> None:
        broker = new_broker(1)
        broker.record_probe(
            'b0', reported_load(cold_left_s=None), 0, is_healthy=True
        )
        self.assertEqual(self._attempts_in_a_second(broker), 3)

    def test_cold_rate_does_not_limit_a_warm_server(self) -> None:
        self.assertGreater(
            self._attempts_in_a_second(new_broker(1), warm=True), 10
        )

    def test_restarted_server_counts_as_cold(self) -> None:
        broker = new_broker(1)
        probe_backend(broker, 0, 0)
        broker.install_backends([backend(0, started_ms=2)], 0)
        self.assertEqual(self._attempts_in_a_second(broker), 3)

    def _attempts_in_a_second(
        self, broker: object, *, warm: bool = False
    ) -> int:
        sent = 0
        cold_left_s = 0 if warm else None
        for step in range(50):
            now_s = step / 50
            decisions = broker.request(new_request(step, now_s), now_s)
            decisions += broker.record_probe(
                'b0',
                reported_load(cold_left_s=cold_left_s),
                now_s,
                is_healthy=True,
            )
            permits = grants_in(decisions)
            while permits:
                sent += 1
                done = AttemptReport(
                    AttemptOutcome.SUCCESS, 0.01, reported_load(100, 1, None)
                )
                permit_id = permits.pop().permit_id
                permits.extend(
                    grants_in(broker.release_permit(permit_id, done, now_s))
                )
        return sent


class RetryBudgetTest(unittest.TestCase):
    def test_new_broker_grants_no_retries(self) -> None:
        broker = new_broker(1)
        broker.request(new_request(1, 0, is_retry=True), 0)
        (denial,) = denials_in(probe_backend(broker, 0, 0.01))
        self.assertIs(denial.reason, DenialReason.RETRY_BUDGET)

    def test_retries_stay_below_ratio_and_share_of_slack(self) -> None:
        broker = new_broker(1)
        retries = 0
        calls = 0
        for step in range(2000):
            now_s = step / 100
            is_retry = not step % 2
            decisions = broker.request(
                new_request(step, now_s, is_retry=is_retry), now_s
            )
            decisions += probe_backend(broker, 0, now_s)
            for permit in grants_in(decisions):
                retries += permit.request.is_retry
                calls += not permit.request.is_retry
                broker.release_permit(
                    permit.permit_id,
                    AttemptReport(
                        AttemptOutcome.SUCCESS, 0.01, reported_load(100, 1)
                    ),
                    now_s,
                )
        slack = RETRY_LIMITS.slack * RETRY_LIMITS.slack_share
        self.assertGreater(retries, 0)
        self.assertLessEqual(retries, RETRY_LIMITS.ratio * calls + 2 * slack)


class HolderTest(unittest.TestCase):
    def test_duplicate_request_gets_the_same_permit(self) -> None:
        broker = new_broker(1)
        first = new_request(1, 0)
        broker.request(first, 0)
        (permit,) = grants_in(probe_backend(broker, 0, 0.01))
        (duplicate,) = grants_in(broker.request(first, 0.05))
        self.assertEqual(duplicate.permit_id, permit.permit_id)

    def test_cancelled_request_releases_its_permit(self) -> None:
        broker = new_broker(1)
        broker.request(new_request(1, 0), 0)
        probe_backend(broker, 0, 0.01)
        broker.cancel('vm1.1')
        (server,) = broker.backend_states()
        self.assertEqual(server.permits, 0)

    def test_new_broker_adopts_held_permits(self) -> None:
        broker = new_broker(1)
        broker.reconcile_permits('vm7', {'vm3.1/5': 'b0', 'vm3.1/6': 'b0'}, 0)
        broker.request(new_request(1, 0), 0)
        self.assertFalse(grants_in(probe_backend(broker, 0, 0.01)))
        broker.reconcile_permits('vm7', {}, 1)
        broker.request(new_request(2, 1), 1)
        self.assertTrue(grants_in(probe_backend(broker, 0, 1.01)))

    def test_permits_of_a_lost_vm_are_released(self) -> None:
        broker = new_broker(1)
        broker.request(new_request(1, 0), 0)
        probe_backend(broker, 0, 0.01)
        broker.release_lost_vm('vm1', 0.1)
        (server,) = broker.backend_states()
        self.assertEqual(server.permits, 0)

    # Guards against a broker that was paused and grants permits for servers
    # that have left meanwhile, or beside the broker that has taken over.
    def test_broker_that_settles_after_a_pause_grants_nothing(self) -> None:
        broker = new_broker(1)
        probe_backend(broker, 0, 3)
        settled_s = 3.4
        broker.is_settling = lambda now_s: now_s < settled_s
        self.assertEqual(broker.request(new_request(1, 3), 3), ())
        self.assertEqual(broker.decide(3.3), ())
        decisions = probe_backend(broker, 0, settled_s)
        self.assertEqual(len(grants_in(decisions)), 1)

    def test_permits_expire_after_their_deadline(self) -> None:
        broker = new_broker(1)
        broker.request(new_request(1, 0), 0)
        probe_backend(broker, 0, 0.01)
        broker.expire(DEADLINE_S + 1)
        (server,) = broker.backend_states()
        self.assertEqual(server.permits, 0)

    def test_load_from_other_sources_is_counted(self) -> None:
        broker = new_broker(1)
        broker.request(new_request(1, 0), 0)
        busy = replace(reported_load(), running=2)
        self.assertFalse(
            grants_in(broker.record_probe('b0', busy, 0.01, is_healthy=True)),
        )
        self.assertLess(0.01, OBJECTIVE_S)


class ServiceTimeEstimateTest(unittest.TestCase):
    # Guards against a pool that denies all calls for good: one response waited
    # for a paused VM, so that its service time is longer than any deadline.
    def test_pool_serves_calls_after_a_very_long_service_time(self) -> None:
        broker = new_broker(1)
        self._finish_call(broker, 1, 0, latency_s=4)
        for number in range(2, 6):
            self._finish_call(broker, number, 5 + number, latency_s=0.3)

    def test_one_long_service_time_does_not_redirect_later_calls(self) -> None:
        broker = new_broker(1)
        self._finish_call(broker, 1, 0, latency_s=4)
        request = new_request(2, 5, may_redirect=True)
        decisions = broker.request(request, 5) + probe_backend(broker, 0, 5)
        self.assertEqual(len(grants_in(decisions)), 1)

    def _finish_call(
        self, broker: Broker, number: int, now_s: float, *, latency_s: float
    ) -> None:
        decisions = broker.request(new_request(number, now_s), now_s)
        decisions += probe_backend(broker, 0, now_s)
        (permit,) = grants_in(decisions)
        report = AttemptReport(
            AttemptOutcome.SUCCESS, latency_s, reported_load(100)
        )
        broker.release_permit(permit.permit_id, report, now_s + latency_s)

    def test_very_short_calls_do_not_lower_the_service_time(self) -> None:
        """Load pattern: calls that only test a route and end at once."""
        broker = new_broker(1)
        for step in range(60):
            now_s = step / 10
            decisions = broker.request(new_request(step, now_s), now_s)
            decisions += probe_backend(broker, 0, now_s)
            for permit in grants_in(decisions):
                done = AttemptReport(
                    AttemptOutcome.SUCCESS, 0.003, reported_load(100, 1)
                )
                broker.release_permit(permit.permit_id, done, now_s)
        broker.request(new_request(99, 7), 7)
        self.assertFalse(
            grants_in(probe_backend(broker, 0, 7.01, slowness=400))
        )

    # Guards against an estimate of 0 s after the call of an adopted permit, for
    # which the broker knows no objective; requests then wait to their deadlines.
    def test_adopted_permit_does_not_lower_the_service_time(self) -> None:
        broker = new_broker(1)
        broker.reconcile_permits('vm7', {'vm3.1/5': 'b0'}, 0)
        report = AttemptReport(AttemptOutcome.SUCCESS, 0.3, reported_load())
        broker.release_permit('vm3.1/5', report, 0.3)
        almost_s = INITIAL_SERVICE_TIME_SHARE * OBJECTIVE_S / 2
        request = new_request(1, 1, deadline_at_s=1 + almost_s)
        self.assertTrue(denials_in(broker.request(request, 1)))

    def test_last_requests_in_a_slow_queue_are_denied_before_deadline(
        self,
    ) -> None:
        """Load pattern: servers that become slow while requests queue."""
        broker = new_broker(1)
        decisions: list[object] = []
        for number in range(12):
            decisions.extend(broker.request(new_request(number, 0), 0))
        decisions.extend(probe_backend(broker, 0, 0.01))
        decisions.extend(broker.decide(0.5))
        decisions.extend(broker.decide(0.9))
        denials = denials_in(tuple(decisions))
        self.assertGreater(len(denials), 5)
        for denial in denials:
            self.assertIs(denial.reason, DenialReason.OVERLOADED)
            self.assertGreater(denial.retry_after_s, 0)
