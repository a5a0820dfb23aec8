"""Load pattern: short calls in a steady stream, so that reports never age."""

from __future__ import annotations

import heapq
import unittest
from collections.abc import Iterable

from tests.grants.samples import new_broker, new_request, reported_load
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    Decision,
    PermitDenial,
    PermitGrant,
    ProbeRequest,
)

_SERVERS = 3
_STEP_S = 0.01
_CALLS_PER_STEP = 2
_SERVICE_TIME_S = 0.02
_PROBE_S = 0.005
_STEPS = 800
_MAX_WAIT_S = 0.1


class SteadyLoad:
    """A broker whose servers are busy with short calls all the time."""

    def __init__(self) -> None:
        self.broker = new_broker(_SERVERS)
        self.denials: list[PermitDenial] = []
        self.waits_s: list[float] = []
        self.probes = 0
        self._now_s = float(0)
        self._event_count = 0
        self._events: list[tuple[float, int, Decision]] = []

    def run(self) -> None:
        for number in range(_STEPS):
            self._end_events_until(number * _STEP_S)
            self._now_s = number * _STEP_S
            for call in range(_CALLS_PER_STEP):
                request = new_request(
                    number * _CALLS_PER_STEP + call, self._now_s
                )
                self._apply(self.broker.request(request, self._now_s))

    def _end_events_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            time_s, _, decision = heapq.heappop(self._events)
            self._now_s = time_s
            self._apply(self._end(decision))
            self._apply(self.broker.decide(self._now_s))

    def _end(self, decision: Decision) -> tuple[Decision, ...]:
        if isinstance(decision, PermitGrant):
            report = AttemptReport(
                AttemptOutcome.SUCCESS,
                _SERVICE_TIME_S,
                reported_load(cold_left_s=None),
            )
            return self.broker.release_permit(
                decision.permit_id, report, self._now_s
            )
        return self.broker.record_probe(
            decision.backend.backend_id,
            reported_load(cold_left_s=0),
            self._now_s,
            is_healthy=True,
        )

    def _apply(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, PermitDenial):
                self.denials.append(decision)
            elif isinstance(decision, ProbeRequest):
                self.probes += 1
                self._add_event(_PROBE_S, decision)
            else:
                wait_s = self._now_s - decision.request.arrived_s
                self.waits_s.append(wait_s)
                self._add_event(_SERVICE_TIME_S, decision)

    def _add_event(self, delay_s: float, decision: Decision) -> None:
        self._event_count += 1
        event = (self._now_s + delay_s, self._event_count, decision)
        heapq.heappush(self._events, event)


class SteadyLoadTest(unittest.TestCase):
    # Guards against a pool that stands still and refuses calls while its
    # servers are idle, since none was probed that has not reported to be warm
    # for a while: its reports came with responses alone.
    def test_servers_with_fresh_reports_stay_in_use(self) -> None:
        load = SteadyLoad()
        load.run()
        self.assertEqual(load.denials, [])
        self.assertLess(max(load.waits_s), _MAX_WAIT_S)
        self.assertLess(load.probes, _STEPS * _STEP_S * _SERVERS)


if __name__ == '__main__':
    unittest.main()
