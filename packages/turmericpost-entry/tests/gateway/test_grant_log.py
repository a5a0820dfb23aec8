"""Lines and counts about permits for cold servers, and who granted them."""

from __future__ import annotations

import json
import unittest
from dataclasses import asdict, replace
from typing import Any
from unittest.mock import Mock, patch

from twisted.internet.testing import MemoryReactorClock

from tests.gateway.call_harness import backend
from tests.gateway.node_harness import started_node
from tests.gateway.test_permit_client import vm
from tests.harness import FakeClock, FakeTransport
from turmericpost.gateway.gateway_metrics import (
    GatewayCollector,
    GatewayMetrics,
)
from turmericpost.gateway.grant_log import (
    COLD_PERMIT_LINES_PER_S,
    DENIAL_LINES_PER_S,
    FOUND_COLD_LINES_PER_S,
    GrantLog,
)
from turmericpost.observe.events import LogEvent
from turmericpost_core.fleet.operator_config import ServiceSpec
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.limits import RetryLimits
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    Decision,
    PermitDenial,
    PermitGrant,
    PermitRequest,
    ReportedLoad,
)
from turmericpost_core.membership.domain_view import DomainView


class GrantLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.clock = FakeClock(self.reactor)
        self.metrics = GatewayMetrics()
        self.domain = 'nasr'
        self.grant_log = self._new_grant_log('nasr')
        self.broker = Broker('own.5', RetryLimits(0.2, 60, 10, 0.1))
        self.broker.observer = self.grant_log
        self.broker.visible_share = 0.9
        self._install_pace(3)
        self.broker.install_backends([backend(1)], self.now_s)
        self.request_count = 0
        self.logged = self._patch('turmericpost.gateway.grant_log.log_event')
        self._patch('turmericpost.gateway.brokered_pools.log_event')

    @property
    def now_s(self) -> float:
        return self.clock.monotonic_s()

    def test_permit_for_a_cold_server_names_its_grounds(self) -> None:
        self._report(cold_left_s=5)
        self._grant()
        grant = self._grant()
        (_, line) = self._lines(LogEvent.COLD_PERMIT_GRANTED)
        self.assertEqual(
            line,
            {
                'backend': 'b1',
                'service': 'press',
                'domain': 'nasr',
                'permit': grant.permit_id,
                'request': grant.request.permit_request_id,
                'is_known_cold': True,
                'is_retry': False,
                'attempts_in_s': 2,
                'allowed_in_s': 2,
                'cold_per_s': 2.7,
                'share': 0.9,
                'leads': True,
                'warm_report_s': None,
            },
        )
        json.dumps(line, allow_nan=False)

    def test_permit_for_a_warm_server_has_no_line(self) -> None:
        self._report(cold_left_s=0)
        self._grant()
        self.assertEqual(self.logged.call_args_list, [])
        self.assertEqual(self.metrics.cold_permits, {})

    def test_permit_for_a_server_no_longer_known_to_be_warm_has_a_line(
        self,
    ) -> None:
        self._report(cold_left_s=0)
        self.reactor.advance(2)
        self._report(cold_left_s=None)
        self._grant()
        (line,) = self._lines(LogEvent.COLD_PERMIT_GRANTED)
        self.assertFalse(line['is_known_cold'])
        self.assertEqual(line['warm_report_s'], 2)

    def test_permit_without_lead_shows_the_part_that_is_allowed(self) -> None:
        self._install_pace(10)
        self.broker.lead_share = lambda _pool: 0.25
        self._report(cold_left_s=5)
        self._grant()
        (line,) = self._lines(LogEvent.COLD_PERMIT_GRANTED)
        shown = [
            line[name]
            for name in ('leads', 'share', 'cold_per_s', 'allowed_in_s')
        ]
        self.assertEqual(shown, [False, 0.225, 2.25, 2])

    # Guards against a least rate of one attempt a second for each VM that is
    # asked, which adds up over the VMs of a domain.
    def test_cold_server_gets_no_permit_without_a_share(self) -> None:
        self.broker.lead_share = lambda _pool: 0
        self._report(cold_left_s=5)
        self.assertIsInstance(self._decision(), PermitDenial)
        self.assertEqual(self.metrics.cold_permits, {})

    def test_resent_request_is_counted_once(self) -> None:
        self._report(cold_left_s=5)
        grant = self._grant()
        self.broker.request(grant.request, self.now_s)
        self.assertEqual(self.metrics.cold_permits, {'lead': 1})

    def test_cold_permits_are_counted_by_lead_and_domain(self) -> None:
        self._install_pace(10)
        self._report(cold_left_s=60)
        for domain in ('nasr', 'giza'):
            self.broker.observer = self._new_grant_log(domain)
            for share in (1, 0.25):
                self.broker.lead_share = lambda _pool, share=share: share
                self.reactor.advance(2)
                self._report(cold_left_s=60)
                self._grant()
        text = self._exposition()
        for kind in (
            'lead',
            'no-lead',
            'other-domain-lead',
            'other-domain-no-lead',
        ):
            line = f'turmericpost_cold_permits_total{{by="{kind}"}} 1.0'
            self.assertIn(line, text)

    def test_gauge_keeps_the_most_permits_in_a_second(self) -> None:
        self._report(cold_left_s=60)
        self._grant()
        self._grant()
        self.reactor.advance(2)
        self._report(cold_left_s=60)
        self._grant()
        self.assertEqual(self.grant_log.gauges()['cold_permits_in_s_max'], 2)

    def test_server_found_cold_shows_what_it_got_while_believed_warm(
        self,
    ) -> None:
        self._report(cold_left_s=0)
        self._grant()
        self._grant()
        self.reactor.advance(0.5)
        self._report(cold_left_s=8)
        self._report(cold_left_s=7)
        (line,) = self._lines(LogEvent.SERVER_FOUND_COLD)
        self.assertEqual(
            line,
            {
                'backend': 'b1',
                'service': 'press',
                'domain': 'nasr',
                'attempts': 2,
                'attempts_in_s': 2,
                'warm_report_s': 0.5,
            },
        )
        self.assertIn(
            'turmericpost_servers_found_cold_total 1.0', self._exposition()
        )

    def test_server_not_believed_warm_is_not_found_cold(self) -> None:
        self._report(cold_left_s=8)
        self.assertEqual(self._lines(LogEvent.SERVER_FOUND_COLD), [])
        self.assertEqual(self.metrics.servers_found_cold, 0)

    def test_lines_are_bounded_and_the_dropped_ones_counted(self) -> None:
        self._report(cold_left_s=5)
        grant = self._grant()
        (server,) = self.broker.backend_states()
        terms = Mock(leads=True, share=1, cold_per_s=3, allowed_in_s=3)
        for _ in range(COLD_PERMIT_LINES_PER_S + 9):
            self.grant_log.permit_granted(grant, server, terms, self.now_s)
        for _ in range(FOUND_COLD_LINES_PER_S + 7):
            self.grant_log.found_cold(server, self.now_s)
        self.grant_log.log_changes()
        self.grant_log.log_changes()
        self.assertEqual(
            len(self._lines(LogEvent.COLD_PERMIT_GRANTED)),
            COLD_PERMIT_LINES_PER_S,
        )
        self.assertEqual(
            len(self._lines(LogEvent.SERVER_FOUND_COLD)),
            FOUND_COLD_LINES_PER_S,
        )
        self.assertEqual(
            self._lines(LogEvent.LINES_LEFT_OUT),
            [
                {'lines': 10, 'of': 'cold-permits'},
                {'lines': 7, 'of': 'found-cold'},
            ],
        )

    # Guards against refusals of which no log tells whether servers had no room or
    # the calls seemed to take too long.
    def test_denial_shows_on_what_it_was_based(self) -> None:
        request = PermitRequest(
            permit_request_id='vm1.1',
            requester='vm1',
            service='press',
            failure_domain='nasr',
            rank=1,
            arrived_s=self.now_s,
            requested_s=self.now_s,
            objective_at_s=self.now_s + 1,
            deadline_at_s=self.now_s + 0.1,
        )
        for _ in range(DENIAL_LINES_PER_S + 3):
            self.broker.request(request, self.now_s)
        lines = self._lines(LogEvent.PERMIT_DENIED)
        self.assertEqual(len(lines), DENIAL_LINES_PER_S)
        self.assertEqual(lines[0]['deadline_in_s'], 0.1)
        self.assertEqual(lines[0]['service_time_s'], 0.37)
        self.assertEqual(lines[0]['queued'], 0)
        self.assertIn(
            'turmericpost_permit_denials_total{reason="overloaded"} 5.0',
            self._exposition(),
        )

    def _install_pace(self, cold_per_s: float) -> None:
        spec = ServiceSpec('press', '/health', 260, 3, cold_per_s)
        self.broker.install_services({'press': spec})

    def _patch(self, name: str) -> Any:
        patcher = patch(name)
        self.addCleanup(patcher.stop)
        return patcher.start()

    def _new_grant_log(self, domain: str) -> GrantLog:
        own = Mock(**asdict(vm('own')))
        own.failure_domain = domain
        return GrantLog(self.clock, DomainView(own), self.metrics)

    def _report(self, cold_left_s: float | None) -> None:
        self.broker.record_probe(
            'b1',
            ReportedLoad(0, 0, 3, cold_left_s=cold_left_s),
            self.now_s,
            is_healthy=True,
        )

    def _grant(self) -> PermitGrant:
        grant = self._decision()
        assert isinstance(grant, PermitGrant)
        unused = AttemptReport(AttemptOutcome.UNUSED)
        self.broker.release_permit(grant.permit_id, unused, self.now_s)
        return grant

    def _decision(self) -> Decision:
        self.request_count += 1
        now_s = self.now_s
        request = PermitRequest(
            permit_request_id=f'own.5.{self.request_count}',
            requester='own',
            service='press',
            failure_domain='nasr',
            rank=1,
            arrived_s=now_s,
            requested_s=now_s,
            objective_at_s=now_s + 1,
            deadline_at_s=now_s + 3,
        )
        (decision,) = self.broker.request(request, now_s)
        return decision

    def _lines(self, event: LogEvent) -> list[dict[str, Any]]:
        return [
            call.kwargs
            for call in self.logged.call_args_list
            if call.args == (event,)
        ]

    def _exposition(self) -> str:
        collector = GatewayCollector(self.metrics, dict, dict, {})
        return collector.exposition().decode()


class NodeGrantLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.node = started_node(self.reactor)
        for _ in range(20):
            self.reactor.advance(0.2)

    def test_grant_of_a_vm_gets_a_line(self) -> None:
        with patch('turmericpost.gateway.brokered_pools.log_event') as logged:
            self._grant()
            self.reactor.advance(0.3)
        (call,) = logged.call_args_list
        self.assertEqual(call.args, (LogEvent.BROKERING_CHANGED,))
        self.assertEqual(call.kwargs['why'], 'no-valid-digest')

    # Guards against counters that no metrics address shows.
    def test_cold_permit_of_a_leader_is_on_its_metrics_address(self) -> None:
        own = self.node.view.own
        self._grant(domain=own.failure_domain, cold_left_s=5)
        metrics = self._metrics()
        for line in (
            'turmericpost_pools_led 1.0',
            'turmericpost_pools_brokered_without_lead 0.0',
            'turmericpost_cold_permits_in_s_max 1.0',
            'turmericpost_cold_permits_total{by="lead"} 1.0',
        ):
            self.assertIn(line, metrics)

    def test_grant_of_a_vm_is_on_its_metrics_address(self) -> None:
        self._grant()
        metrics = self._metrics()
        for line in (
            'turmericpost_pools_led 0.0',
            'turmericpost_pools_brokered_without_lead 1.0',
            'turmericpost_cold_permits_in_s_max 0.0',
        ):
            self.assertIn(line, metrics)

    def _grant(self, domain: str = 'nasr', cold_left_s: float = 0) -> None:
        broker = self.node.call_path.broker_service.broker
        now_s = self.node.clock.monotonic_s()
        server = replace(backend(1), failure_domain=domain)
        broker.install_backends([server], now_s)
        load = ReportedLoad(0, 0, 3, cold_left_s=cold_left_s)
        broker.record_probe('b1', load, now_s, is_healthy=True)
        times_s = (now_s, now_s, now_s + 1, now_s + 2)
        request = PermitRequest(
            'edge-9.5.1', 'edge-9', 'press', domain, 1, *times_s
        )
        (grant,) = broker.request(request, now_s)
        self.assertIsInstance(grant, PermitGrant)

    def _metrics(self) -> str:
        (factory,) = [
            server[1] for server in self.reactor.tcpServers if server[0] == 4
        ]
        protocol = factory.buildProtocol(None)
        transport = FakeTransport()
        protocol.makeConnection(transport)
        protocol.dataReceived(b'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n')
        return bytes(transport.value()).decode()
