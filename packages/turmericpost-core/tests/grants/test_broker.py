"""Broker: who gets a permit, for which server, and who waits or is refused."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tests.grants.samples import (
    BOUNDS,
    DEADLINE_S,
    OBJECTIVE_S,
    backend,
    broker,
    report,
    reported_load,
    request,
)
from turmericpost_core.grants.limits import OBJECTIVE_SHARE
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    DenialReason,
    PermitDenial,
    PermitGrant,
    ProbeRequest,
)


def granted(decisions: tuple[object, ...]) -> list[PermitGrant]:
    return [one for one in decisions if isinstance(one, PermitGrant)]


def denied(decisions: tuple[object, ...]) -> list[PermitDenial]:
    return [one for one in decisions if isinstance(one, PermitDenial)]


class ChoiceTest(unittest.TestCase):
    def test_probes_before_it_chooses(self) -> None:
        made = broker(2)
        decisions = made.request(request(1, 0), 0)
        self.assertEqual(
            {type(one) for one in decisions},
            {ProbeRequest},
        )
        self.assertEqual(len(granted(report(made, 0, 0.01))), 1)

    def test_noisy_server_is_passed_over(self) -> None:
        """Load pattern: machines slow down fourfold for 300 ms."""
        made = broker(2)
        made.request(request(1, 0), 0)
        self.assertFalse(granted(report(made, 0, 0.01, slowness=400)))
        (permit,) = granted(report(made, 1, 0.02, slowness=100))
        self.assertEqual(permit.backend.backend_id, 'b1')

    def test_slow_server_is_taken_when_the_objective_allows(self) -> None:
        made = broker(1)
        made.request(request(1, 0, objective_at_s=60.0, deadline_at_s=90.0), 0)
        made.record_probe('b0', reported_load(400), 0.01, is_healthy=True)
        finish = AttemptReport(AttemptOutcome.SUCCESS, 0.2, reported_load(400))
        made.release_permit('vm0.1/1', finish, 0.2)
        late = request(2, 1, objective_at_s=61.0, deadline_at_s=90.0)
        made.request(late, 1)
        self.assertEqual(len(granted(report(made, 0, 1.01, 400))), 1)

    def test_slow_server_is_taken_after_a_wait(self) -> None:
        made = broker(1)
        made.request(request(1, 0, deadline_at_s=5.0), 0)
        self.assertFalse(granted(report(made, 0, 0.3, 400)))
        self.assertEqual(len(granted(report(made, 0, 0.4, 400))), 1)

    def test_no_server_is_filled_above_its_knee(self) -> None:
        made = broker(1)
        for number in range(5):
            made.request(request(number, 0), 0)
        self.assertEqual(len(granted(report(made, 0, 0.01))), 2)

    def test_freed_slot_goes_to_the_next_in_order(self) -> None:
        made = broker(1)
        for number, rank in enumerate((1, 1, 2, 0)):
            made.request(request(number, 0, rank=rank), 0)
        first = granted(report(made, 0, 0.01))
        self.assertEqual(
            [one.request.permit_request_id for one in first],
            ['vm1.3', 'vm1.0'],
        )
        finish = AttemptReport(
            AttemptOutcome.SUCCESS, 0.2, reported_load(100, running=2)
        )
        (third,) = granted(made.release_permit(first[0].permit_id, finish, 0.2))
        self.assertEqual(third.request.permit_request_id, 'vm1.1')

    def test_late_calls_stand_behind_those_on_time(self) -> None:
        """Load pattern: a queue of calls that miss their objective anyway."""
        made = broker(1)
        made.request(request(1, 0, objective_at_s=0.05), 0)
        made.request(request(2, 0.01), 0.01)
        made.request(request(3, 0.02), 0.02)
        order = [
            one.request.permit_request_id
            for one in granted(report(made, 0, 0.06))
        ]
        self.assertEqual(order, ['vm1.2', 'vm1.3'])

    def test_failing_server_is_shunned(self) -> None:
        made = broker(1)
        made.request(request(1, 0), 0)
        (permit,) = granted(report(made, 0, 0.01))
        made.release_permit(
            permit.permit_id, AttemptReport(AttemptOutcome.FAILURE), 0.02
        )
        made.request(request(2, 0.03), 0.03)
        self.assertFalse(granted(report(made, 0, 0.1)))
        self.assertEqual(len(granted(report(made, 0, 0.3))), 1)


class RefusalTest(unittest.TestCase):
    def test_no_servers_is_said_at_once(self) -> None:
        (reason,) = denied(broker(0).request(request(1, 0), 0))
        self.assertIs(reason.reason, DenialReason.NO_BACKEND)

    def test_hopeless_call_is_refused_at_once(self) -> None:
        """Load pattern: more calls than the servers end within a deadline."""
        made = broker(1)
        ends = [
            reason
            for number in range(40)
            for reason in denied(made.request(request(number, 0), 0))
        ]
        self.assertTrue(ends)
        self.assertIs(ends[0].reason, DenialReason.OVERLOADED)
        self.assertGreater(ends[0].retry_after_s, 0)

    def test_call_may_go_elsewhere_in_time(self) -> None:
        made = broker(1)
        for number in range(12):
            made.request(request(number, 0), 0)
        (reason,) = denied(made.request(request(99, 0, may_redirect=True), 0))
        self.assertIs(reason.reason, DenialReason.OTHER_DOMAIN)

    def test_call_that_may_not_wait_is_told_soon(self) -> None:
        made = broker(1)
        made.request(request(1, 0, may_wait=False), 0)
        (reason,) = denied(report(made, 0, 0.05, 400))
        self.assertIs(reason.reason, DenialReason.OVERLOADED)

    def test_passing_call_is_told_at_once_that_all_are_slow(self) -> None:
        """Pattern: short objectives, and a tour of several domains."""
        made = broker(2)
        report(made, 0, 0, 400)
        report(made, 1, 0, 400)
        (reason,) = denied(made.request(request(1, 0, may_wait=False), 0))
        self.assertIs(reason.reason, DenialReason.OVERLOADED)

    def test_passing_call_waits_for_reports_that_are_old(self) -> None:
        made = broker(2)
        report(made, 0, 0, 400)
        self.assertEqual(
            denied(made.request(request(1, 0, may_wait=False), 0)), []
        )
        self.assertEqual(len(granted(report(made, 1, 0.01))), 1)

    def test_second_send_has_time_for_another_look(self) -> None:
        made = broker(1)
        report(made, 0, 0, 400)
        second = request(1, 0, may_wait=False, is_retry=True)
        self.assertEqual(denied(made.request(second, 0)), [])

    def test_call_leaves_while_another_domain_ends_it_in_time(self) -> None:
        """Pattern: all servers of a small domain are slow for a moment."""
        made = broker(2)
        made.request(request(1, 0, may_redirect=True), 0)
        ends: list[PermitDenial] = []
        now_s = float(0)
        while not ends:
            now_s += 0.02
            ends = denied(report(made, 0, now_s, 400))
        self.assertIs(ends[0].reason, DenialReason.OTHER_DOMAIN)
        usual_s = OBJECTIVE_SHARE * OBJECTIVE_S
        self.assertLess(now_s + 1.8 * usual_s, OBJECTIVE_S)
        self.assertGreater(now_s, 0.1)

    def test_no_time_left_ends_the_wait(self) -> None:
        made = broker(1)
        made.request(request(1, 0), 0)
        (reason,) = denied(made.decide(DEADLINE_S - 0.1))
        self.assertIs(reason.reason, DenialReason.DEADLINE)


class ColdTest(unittest.TestCase):
    def test_unknown_server_counts_as_cold(self) -> None:
        made = broker(1)
        made.record_probe(
            'b0', reported_load(cold_left_s=None), 0, is_healthy=True
        )
        self.assertEqual(self._sent_in_a_second(made), 3)

    def test_server_that_says_warm_is_not_paced(self) -> None:
        self.assertGreater(self._sent_in_a_second(broker(1), warm=True), 10)

    def test_other_start_is_cold_again(self) -> None:
        made = broker(1)
        report(made, 0, 0)
        made.install_backends([backend(0, started_ms=2)], 0)
        self.assertEqual(self._sent_in_a_second(made), 3)

    def _sent_in_a_second(self, made: object, *, warm: bool = False) -> int:
        sent = 0
        cold_left_s = 0 if warm else None
        for step in range(50):
            now_s = step / 50
            decisions = made.request(request(step, now_s), now_s)
            decisions += made.record_probe(
                'b0',
                reported_load(cold_left_s=cold_left_s),
                now_s,
                is_healthy=True,
            )
            permits = granted(decisions)
            while permits:
                sent += 1
                done = AttemptReport(
                    AttemptOutcome.SUCCESS, 0.01, reported_load(100, 1, None)
                )
                permit_id = permits.pop().permit_id
                permits.extend(
                    granted(made.release_permit(permit_id, done, now_s))
                )
        return sent


class RepeatTest(unittest.TestCase):
    def test_broker_that_has_just_begun_repeats_nothing(self) -> None:
        made = broker(1)
        made.request(request(1, 0, is_retry=True), 0)
        (reason,) = denied(report(made, 0, 0.01))
        self.assertIs(reason.reason, DenialReason.RETRY_BUDGET)

    def test_repeats_stay_below_ratio_and_part_of_slack(self) -> None:
        made = broker(1)
        repeats = 0
        calls = 0
        for step in range(2000):
            now_s = step / 100
            is_retry = not step % 2
            decisions = made.request(
                request(step, now_s, is_retry=is_retry), now_s
            )
            decisions += report(made, 0, now_s)
            for permit in granted(decisions):
                repeats += permit.request.is_retry
                calls += not permit.request.is_retry
                made.release_permit(
                    permit.permit_id,
                    AttemptReport(
                        AttemptOutcome.SUCCESS, 0.01, reported_load(100, 1)
                    ),
                    now_s,
                )
        slack = BOUNDS.slack * BOUNDS.slack_share
        self.assertGreater(repeats, 0)
        self.assertLessEqual(repeats, BOUNDS.ratio * calls + 2 * slack)


class HolderTest(unittest.TestCase):
    def test_ask_that_comes_again_gets_the_same_permit(self) -> None:
        made = broker(1)
        first = request(1, 0)
        made.request(first, 0)
        (permit,) = granted(report(made, 0, 0.01))
        (again,) = granted(made.request(first, 0.05))
        self.assertEqual(again.permit_id, permit.permit_id)

    def test_cancelled_ask_frees_its_permit(self) -> None:
        made = broker(1)
        made.request(request(1, 0), 0)
        report(made, 0, 0.01)
        made.cancel('vm1.1')
        (use,) = made.backend_states()
        self.assertEqual(use.permits, 0)

    def test_new_broker_takes_over_what_is_held(self) -> None:
        made = broker(1)
        made.reconcile_permits('vm7', {'vm3.1/5': 'b0', 'vm3.1/6': 'b0'}, 0)
        made.request(request(1, 0), 0)
        self.assertFalse(granted(report(made, 0, 0.01)))
        made.reconcile_permits('vm7', {}, 1)
        made.request(request(2, 1), 1)
        self.assertTrue(granted(report(made, 0, 1.01)))

    def test_lost_vm_frees_its_permits(self) -> None:
        made = broker(1)
        made.request(request(1, 0), 0)
        report(made, 0, 0.01)
        made.release_lost_vm('vm1', 0.1)
        (use,) = made.backend_states()
        self.assertEqual(use.permits, 0)

    def test_permits_run_out_after_their_deadline(self) -> None:
        made = broker(1)
        made.request(request(1, 0), 0)
        report(made, 0, 0.01)
        made.expire(DEADLINE_S + 1)
        (use,) = made.backend_states()
        self.assertEqual(use.permits, 0)

    def test_load_of_others_is_counted(self) -> None:
        made = broker(1)
        made.request(request(1, 0), 0)
        busy = replace(reported_load(), running=2)
        self.assertFalse(
            granted(made.record_probe('b0', busy, 0.01, is_healthy=True)),
        )
        self.assertLess(0.01, OBJECTIVE_S)


class EstimateTest(unittest.TestCase):
    def test_calls_without_work_do_not_shorten_usual_work(self) -> None:
        """Load pattern: calls that only test a route, ending at once."""
        made = broker(1)
        for step in range(60):
            now_s = step / 10
            decisions = made.request(request(step, now_s), now_s)
            decisions += report(made, 0, now_s)
            for permit in granted(decisions):
                done = AttemptReport(
                    AttemptOutcome.SUCCESS, 0.003, reported_load(100, 1)
                )
                made.release_permit(permit.permit_id, done, now_s)
        made.request(request(99, 7), 7)
        self.assertFalse(granted(report(made, 0, 7.01, slowness=400)))

    def test_those_at_the_back_are_refused_before_their_deadline(self) -> None:
        """Load pattern: servers that turned slow under a queue."""
        made = broker(1)
        decisions: list[object] = []
        for number in range(12):
            decisions.extend(made.request(request(number, 0), 0))
        decisions.extend(report(made, 0, 0.01))
        decisions.extend(made.decide(0.5))
        decisions.extend(made.decide(0.9))
        ends = denied(tuple(decisions))
        self.assertGreater(len(ends), 5)
        for reason in ends:
            self.assertIs(reason.reason, DenialReason.OVERLOADED)
            self.assertGreater(reason.retry_after_s, 0)
