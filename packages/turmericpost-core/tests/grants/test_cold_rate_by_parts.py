"""Cold rate of one server in a domain of 35 VMs that is cut into parts.

Every part is offered ten requests a second. Shares and leaders come from the
views of the VMs, which hear only those of their own part.

By hand: ``python -m tests.grants.test_cold_rate_by_parts``.
"""

from __future__ import annotations

import sys
import unittest
from datetime import UTC, datetime
from unittest.mock import patch

from tests.grants.history import max_count_in_window
from tests.grants.samples import (
    SPEC,
    backend,
    new_broker,
    new_request,
    reported_load,
)
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    Decision,
    PermitGrant,
    ProbeRequest,
)
from turmericpost_core.grants.pool_lead import PoolLead, pool_subject
from turmericpost_core.grants.rate_share import RATE_WINDOW_S, AttemptPace
from turmericpost_core.grants.visible_share import VisibleShare
from turmericpost_core.membership.domain_view import (
    FORGET_AFTER_S,
    SETTLED_S,
    DomainView,
    Vm,
    VmReadiness,
)

VMS = 35
PARTS = (1, 3, 9, 12, 14, VMS)
MAX_IN_A_SECOND = 12
REQUESTS_PER_S = 10
DEMAND_S = 4
HEARTBEAT_S = 0.5
DIVIDED_S = 8.0
LONG_DIVIDED_S = FORGET_AFTER_S + 6
COLD_S = 200.0
SERVICE_TIME_S = 0.05
DOMAIN = backend(0).failure_domain


class PartedVm:
    """View and broker of one VM; its clock is set by the caller."""

    def __init__(self, number: int) -> None:
        name = f'vm{number}'
        self.now_s = float(0)
        self.view = DomainView(
            Vm(name, name, 1, name, DOMAIN, 'region', 1),
        )
        self.view.own_readiness = VmReadiness.READY
        self.broker: Broker = new_broker(0, name=f'{name}.1')
        self.broker.install_backends([backend(0, cold_left_s=COLD_S)], 0)
        self.broker.lead_share = PoolLead(self, self.view).share
        self._visible_share = VisibleShare()

    def broker_name(self) -> str:
        """Return the VM to which this one sends its permit requests."""
        subject = pool_subject(SPEC.name, DOMAIN)
        return self.view.ranked(subject, DOMAIN, self.now_s)[0].name

    def hear(self, others: list[PartedVm], now_s: float) -> None:
        self.now_s = now_s
        for other in others:
            self.view.record_heartbeat(other.view.own, VmReadiness.READY, now_s)
        self.view.update_liveness(now_s)
        share = self.view.live_share(SETTLED_S + now_s, now_s)
        self.broker.visible_share = self._visible_share.record(share, now_s)

    def monotonic_s(self) -> float:
        """Return the time; the VM is the clock of its components."""
        return self.now_s

    def utc_now(self) -> datetime:
        """Return the time of day, which nothing here depends on."""
        return datetime.fromtimestamp(self.now_s, UTC)


class PartedDomain:
    """A domain that is whole at first and then cut into parts of its VMs."""

    def __init__(self, parts: int) -> None:
        self.arrivals_s: list[float] = []
        self._vms = [PartedVm(number) for number in range(VMS)]
        self._by_name = {vm.view.own.name: vm for vm in self._vms}
        self._sides = [self._vms[side::parts] for side in range(parts)]
        self._requests = 0

    def max_in_a_second(self, divided_s: float = DIVIDED_S) -> int:
        """Return the arrivals of the worst second over all parts.

        ``divided_s`` is the time from the cut until calls arrive.
        """
        self._beat([self._vms], 0)
        now_s = float(0)
        while now_s < divided_s:
            now_s += HEARTBEAT_S
            self._beat(self._sides, now_s)
        for step in range(REQUESTS_PER_S * DEMAND_S):
            step_s = divided_s + step / REQUESTS_PER_S
            if step % (REQUESTS_PER_S * HEARTBEAT_S) == 0:
                self._beat(self._sides, step_s)
            for side in self._sides:
                self._request(side[step % len(side)], step_s)
        return max_count_in_window(self.arrivals_s, 1)

    def _beat(self, sides: list[list[PartedVm]], now_s: float) -> None:
        for side in sides:
            for vm in side:
                vm.hear(side, now_s)

    def _request(self, vm: PartedVm, now_s: float) -> None:
        """Request a permit and use it; the attempt ends before the next."""
        for one in self._vms:
            one.now_s = now_s
        self._requests += 1
        request = new_request(self._requests, now_s, requester=vm.view.own.name)
        broker = self._by_name[vm.broker_name()].broker
        self._apply(broker, broker.request(request, now_s), now_s)
        broker.cancel(request.permit_request_id)

    def _apply(
        self, broker: Broker, decisions: tuple[Decision, ...], now_s: float
    ) -> None:
        """Use permits, and answer probes as a cold server."""
        for decision in decisions:
            if isinstance(decision, PermitGrant):
                self.arrivals_s.append(now_s)
                report = AttemptReport(AttemptOutcome.SUCCESS, SERVICE_TIME_S)
                broker.release_permit(decision.permit_id, report, now_s)
            elif isinstance(decision, ProbeRequest):
                next_decisions = broker.record_probe(
                    decision.backend.backend_id,
                    reported_load(cold_left_s=COLD_S - now_s),
                    now_s,
                    is_healthy=True,
                )
                self._apply(broker, next_decisions, now_s)


def worst_seconds() -> dict[int, int]:
    """Return the arrivals of the worst second by the number of parts."""
    return {parts: PartedDomain(parts).max_in_a_second() for parts in PARTS}


class ColdRateByPartsTest(unittest.TestCase):
    worst: dict[int, int]

    @classmethod
    def setUpClass(cls) -> None:
        cls.worst = worst_seconds()

    # Guards against a least rate of each part, which adds up over the parts.
    def test_parts_together_keep_the_cold_rate(self) -> None:
        over = {
            parts: count
            for parts, count in self.worst.items()
            if count > MAX_IN_A_SECOND
        }
        self.assertFalse(over)

    # Guards against a rule that leaves a cold server of a whole domain unused.
    # Guards against parts that forget each other and then use the whole rate
    # each.
    def test_parts_that_have_long_been_cut_keep_the_cold_rate(self) -> None:
        for parts in PARTS[1:]:
            worst = PartedDomain(parts).max_in_a_second(LONG_DIVIDED_S)
            self.assertLessEqual(worst, MAX_IN_A_SECOND, parts)

    def test_whole_domain_uses_its_cold_server(self) -> None:
        self.assertGreaterEqual(self.worst[1], 3)

    # Guards against a table that counts nothing.
    def test_check_detects_a_least_rate_for_each_broker(self) -> None:
        least = AttemptPace(1, RATE_WINDOW_S)
        with patch(
            'turmericpost_core.grants.broker.attempt_pace', return_value=least
        ):
            self.assertGreater(
                PartedDomain(PARTS[-1]).max_in_a_second(), MAX_IN_A_SECOND
            )


if __name__ == '__main__':
    sys.stdout.write(f'{worst_seconds()}\n')
