"""Estimates of service times: what they refuse, and what corrects them."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from tests.grants.samples import (
    OBJECTIVE_S,
    new_broker,
    new_request,
    reported_load,
)
from tests.grants.test_broker import denials_in
from turmericpost_core.grants.limits import INITIAL_SERVICE_TIME_SHARE
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    Decision,
    PermitDenial,
    PermitGrant,
    ProbeRequest,
)
from turmericpost_core.grants.service_times import MEASUREMENT_INTERVAL_S

SERVERS = 2
STEP_S = 0.01
ADDED_AT_S = 20.0
WATCHED_S = 15.0
STEADY_AFTER_S = 4.0
MIN_RATIO = 0.25


@dataclass
class Stream:
    """Calls of one route at a steady rate, and how they ended."""

    per_s: float
    objective_s: float
    deadline_s: float
    work_s: float
    rank: int = 1
    may_redirect: bool = False
    next_s: float = 0
    ends: Counter[str] = field(default_factory=Counter)

    @property
    def served_share(self) -> float:
        """Return the share of the calls that ended in time."""
        return self.ends['served'] / max(self.ends.total(), 1)


@dataclass(frozen=True, order=True)
class Attempt:
    """An attempt that ends at a time."""

    end_s: float
    permit_id: str
    latency_s: float
    is_served: bool


class PoolSimulation:
    """A broker and its servers, which are always at normal speed."""

    def __init__(self, streams: Iterable[Stream]) -> None:
        self.streams = list(streams)
        self._broker = new_broker(SERVERS)
        self._now_s = float(0)
        self._requests = 0
        self._by_request: dict[str, Stream] = {}
        self._attempts: list[Attempt] = []

    def run(self, duration_s: float) -> None:
        """Play for a while."""
        for _ in range(round(duration_s / STEP_S)):
            self._now_s += STEP_S
            self._end_attempts()
            for stream in self.streams:
                if self._now_s >= stream.next_s:
                    stream.next_s = self._now_s + 1 / stream.per_s
                    self._request(stream)
            self._apply(self._broker.decide(self._now_s))

    def add(self, stream: Stream) -> None:
        """Add a route; forget how the calls of the others have ended."""
        for known in self.streams:
            known.ends.clear()
        self.streams.append(stream)

    def _request(self, stream: Stream) -> None:
        self._requests += 1
        request = new_request(
            self._requests,
            self._now_s,
            rank=stream.rank,
            objective_at_s=self._now_s + stream.objective_s,
            deadline_at_s=self._now_s + stream.deadline_s,
            may_redirect=stream.may_redirect,
        )
        self._by_request[request.permit_request_id] = stream
        self._apply(self._broker.request(request, self._now_s))

    def _apply(self, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeRequest):
                backend_id = decision.backend.backend_id
                probed = self._broker.record_probe(
                    backend_id, reported_load(), self._now_s, is_healthy=True
                )
                self._apply(probed)
            elif isinstance(decision, PermitDenial):
                self._stream(decision).ends['refused'] += 1
            elif isinstance(decision, PermitGrant):
                self._start(decision)

    def _start(self, grant: PermitGrant) -> None:
        stream = self._stream(grant)
        left_s = grant.request.deadline_at_s - self._now_s
        is_served = stream.work_s <= left_s
        stream.ends['served' if is_served else 'late'] += 1
        latency_s = min(stream.work_s, left_s)
        self._attempts.append(
            Attempt(
                self._now_s + latency_s, grant.permit_id, latency_s, is_served
            )
        )

    def _end_attempts(self) -> None:
        ended = [one for one in self._attempts if one.end_s <= self._now_s]
        for attempt in sorted(ended):
            self._attempts.remove(attempt)
            report = AttemptReport(
                AttemptOutcome.SUCCESS
                if attempt.is_served
                else AttemptOutcome.FAILURE,
                attempt.latency_s,
                reported_load() if attempt.is_served else None,
            )
            self._apply(
                self._broker.release_permit(
                    attempt.permit_id, report, self._now_s
                )
            )

    def _stream(self, decision: PermitGrant | PermitDenial) -> Stream:
        return self._by_request[decision.request.permit_request_id]


def long_calls() -> Stream:
    return Stream(per_s=2, objective_s=3, deadline_s=6, work_s=1.2)


def short_calls() -> Stream:
    return Stream(per_s=8, objective_s=0.4, deadline_s=1, work_s=0.08)


class AddedRouteTest(unittest.TestCase):
    # Guards against an added route that is refused for good, since its calls are
    # taken to be as long as those of another route of the service.
    def test_short_calls_beside_long_ones_are_served(self) -> None:
        self._assert_both_served(long_calls(), short_calls())

    def test_long_calls_beside_short_ones_are_served(self) -> None:
        self._assert_both_served(short_calls(), long_calls())

    # Guards against the same fault where both routes have one objective.
    def test_short_calls_with_the_objective_of_long_ones_are_served(
        self,
    ) -> None:
        added = Stream(per_s=8, objective_s=3, deadline_s=1, work_s=0.08)
        self._assert_both_served(long_calls(), added)

    def _assert_both_served(self, first: Stream, added: Stream) -> None:
        simulation = PoolSimulation((first,))
        simulation.run(ADDED_AT_S)
        simulation.add(added)
        simulation.run(WATCHED_S)
        self.assertGreater(first.served_share, 0.9, first.ends)
        self.assertGreater(
            added.served_share, MIN_RATIO * first.served_share, added.ends
        )


class CorrectedEstimateTest(unittest.TestCase):
    # Guards against calls that are refused for good by the service time that
    # they had before the servers became faster than a tenth of the objective.
    def test_calls_are_served_once_servers_are_fast_again(self) -> None:
        for work_s in (0.5, 0.02):
            with self.subTest(work_s=work_s):
                stream = Stream(5, objective_s=2, deadline_s=4, work_s=1.9)
                simulation = PoolSimulation((stream,))
                simulation.run(ADDED_AT_S)
                stream.work_s = work_s
                stream.deadline_s = 0.6
                stream.ends.clear()
                simulation.run(WATCHED_S)
                self.assertGreater(stream.served_share, 0.5, stream.ends)

    # Guards against a failure domain that refers all calls to others for good.
    def test_calls_are_no_longer_redirected_once_servers_are_fast(self) -> None:
        stream = Stream(5, objective_s=1, deadline_s=4, work_s=1.2)
        simulation = PoolSimulation((stream,))
        simulation.run(ADDED_AT_S)
        stream.work_s = 0.05
        stream.may_redirect = True
        stream.ends.clear()
        simulation.run(WATCHED_S)
        self.assertGreater(stream.served_share, 0.5, stream.ends)

    # Guards against slots that are wasted on calls which can't end in time.
    def test_calls_that_take_too_long_are_still_refused_at_once(self) -> None:
        stream = Stream(10, objective_s=2, deadline_s=4, work_s=1.2)
        simulation = PoolSimulation((stream,))
        simulation.run(ADDED_AT_S)
        stream.deadline_s = 0.8
        simulation.run(STEADY_AFTER_S)
        stream.ends.clear()
        simulation.run(4 * WATCHED_S)
        self.assertLess(stream.ends['late'], 8, stream.ends)
        self.assertEqual(stream.ends['served'], 0)

    # Guards against callers that are held nearly to their deadlines to measure a
    # pool that has no room, and against more than one of them at a time.
    def test_call_that_measures_hardly_waits(self) -> None:
        broker = new_broker(1)
        now_s = float(0)
        requests = []
        for number in range(4):
            deadline_s = INITIAL_SERVICE_TIME_SHARE * OBJECTIVE_S / 2
            requests.append(
                new_request(number, now_s, deadline_at_s=now_s + deadline_s)
            )
            now_s += MEASUREMENT_INTERVAL_S / 2 if number < 2 else 0
        first, second, third, fourth = requests
        self.assertTrue(denials_in(broker.request(first, 0)))
        self.assertTrue(denials_in(broker.request(second, second.arrived_s)))
        self.assertFalse(denials_in(broker.request(third, now_s)))
        self.assertTrue(denials_in(broker.request(fourth, now_s)))
        now_s += OBJECTIVE_S / 8
        (denial,) = denials_in(broker.decide(now_s))
        self.assertIs(denial.request, third)
