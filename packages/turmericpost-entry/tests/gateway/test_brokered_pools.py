"""Lines about the pools that a VM brokers, and by which right it does."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import Mock, patch

from tests.gateway.test_permit_client import vm
from turmericpost.gateway.brokered_pools import (
    IDLE_AFTER_S,
    MAX_LINES_PER_CHECK,
    MAX_WAITING_LINES,
    MIN_SHARE_CHANGE,
    BrokeredPools,
)
from turmericpost.observe.events import LogEvent
from turmericpost_core.grants.grant_observer import GrantTerms
from turmericpost_core.membership.domain_view import (
    MAX_DIGEST_AGE_S,
    DomainDigest,
    DomainView,
    VmReadiness,
)

_LEADING = GrantTerms(True, 1, 3, 3)
_NOT_LEADING = GrantTerms(False, 0, 0, 1)


class BrokeredPoolsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = DomainView(vm('own'))
        self.view.record_heartbeat(vm('a'), VmReadiness.READY, 0)
        self.view.add_known_vms([vm('silent')], 0)
        self.pools = BrokeredPools(self.view)
        patcher = patch('turmericpost.gateway.brokered_pools.log_event')
        self.logged = patcher.start()
        self.addCleanup(patcher.stop)

    def test_first_grant_is_logged_with_what_the_vm_knows(self) -> None:
        self._grant(_LEADING, 0)
        self._grant(_LEADING, 0.1)
        self.assertEqual(
            self._lines(0.2),
            [
                {
                    'ago_s': 0.2,
                    'change': 'begun',
                    'service': 'press',
                    'domain': 'nasr',
                    'why': 'first-in-rank',
                    'leads': True,
                    'share': 1,
                    'cold_per_s': 3,
                    'allowed_in_s': 3,
                    'heard': 2,
                    'known': 3,
                    'digest_age_s': None,
                    'grants': 0,
                    'without_lead': 0,
                }
            ],
        )
        self.assertEqual(self._lines(0.4), [])

    def test_lost_lead_is_logged_with_the_grants_before(self) -> None:
        self._grant(_LEADING, 0)
        self._grant(_LEADING, 0)
        self._grant(_NOT_LEADING, 1, requester='b')
        _, line = self._lines(1)
        self.assertEqual(line['change'], 'changed')
        self.assertEqual(line['why'], 'asked-by-other-vm')
        self.assertEqual((line['grants'], line['without_lead']), (2, 0))
        self.assertEqual((line['share'], line['allowed_in_s']), (0, 1))

    def test_own_request_without_lead_tells_that_the_others_are_silent(
        self,
    ) -> None:
        self._grant(_NOT_LEADING, 0, requester='own')
        (line,) = self._lines(0)
        self.assertEqual(line['why'], 'others-silent')

    # Guards against VMs outside a domain that rank themselves alone there
    # and grant at full pace, which no line told.
    def test_lead_of_another_domain_shows_that_no_digest_is_known(
        self,
    ) -> None:
        self._grant(_LEADING, 0, domain='giza')
        (line,) = self._lines(0)
        self.assertEqual(line['why'], 'no-valid-digest')
        self.assertEqual((line['heard'], line['known']), (0, 0))
        self.assertIsNone(line['digest_age_s'])

    def test_lead_of_another_domain_shows_the_age_of_its_digest(self) -> None:
        members = ((vm('g1'), VmReadiness.READY), (vm('g2'), VmReadiness.READY))
        self.view.record_digest(DomainDigest('giza', 1, members))
        self._grant(_NOT_LEADING, 2, domain='giza')
        (line,) = self._lines(2)
        self.assertEqual((line['heard'], line['known']), (2, 2))
        self.assertEqual(line['digest_age_s'], 1)
        now_s = 1 + MAX_DIGEST_AGE_S + 0.5
        self._grant(_LEADING, now_s, domain='giza')
        (line,) = self._lines(now_s)
        self.assertEqual(line['why'], 'no-valid-digest')
        self.assertEqual((line['heard'], line['known']), (0, 2))
        self.assertEqual(line['digest_age_s'], MAX_DIGEST_AGE_S + 0.5)

    def test_only_a_large_change_of_the_share_is_logged(self) -> None:
        self._grant(_LEADING, 0)
        small = 1 - MIN_SHARE_CHANGE / 2
        self._grant(GrantTerms(True, small, 2.8, 2), 0)
        self.assertEqual(len(self._lines(0)), 1)
        self._grant(GrantTerms(True, 24 / 35, 72 / 35, 2), 0)
        (line,) = self._lines(0)
        self.assertEqual((line['change'], line['share']), ('changed', 0.686))

    def test_pool_without_grants_ends(self) -> None:
        self._grant(_NOT_LEADING, 0)
        self._lines(IDLE_AFTER_S)
        self.assertEqual(self.pools.gauges()['pools_brokered_without_lead'], 1)
        (line,) = self._lines(IDLE_AFTER_S + 0.1)
        self.assertEqual((line['change'], line['why']), ('ended', 'no-grants'))
        self.assertEqual((line['grants'], line['without_lead']), (1, 1))
        self.assertEqual(self.pools.gauges()['pools_brokered_without_lead'], 0)

    def test_gauges_count_pools_with_and_without_lead(self) -> None:
        for index in range(3):
            self._grant(_LEADING, 0, service=f's{index}')
        self._grant(_NOT_LEADING, 0)
        self.assertEqual(
            self.pools.gauges(),
            {'pools_led': 3, 'pools_brokered_without_lead': 1},
        )

    def test_lines_are_spread_and_none_is_lost(self) -> None:
        count = 3 * MAX_LINES_PER_CHECK
        for index in range(count):
            self._grant(_LEADING, 0, service=f's{index}')
        checks = [self._lines(check / 4) for check in range(4)]
        self.assertEqual(
            [len(lines) for lines in checks], [MAX_LINES_PER_CHECK] * 3 + [0]
        )
        services = {line['service'] for lines in checks for line in lines}
        self.assertEqual(len(services), count)

    def test_lines_beyond_the_bound_are_counted(self) -> None:
        for index in range(MAX_WAITING_LINES + 4):
            self._grant(_LEADING, 0, service=f's{index}')
        self.pools.log_changes(0)
        self.logged.assert_called_with(
            LogEvent.LINES_LEFT_OUT, lines=4, of='brokering'
        )

    def _grant(
        self,
        terms: GrantTerms,
        now_s: float,
        *,
        service: str = 'press',
        domain: str = 'nasr',
        requester: str = 'a',
    ) -> None:
        request = Mock(pool=(service, domain), requester=requester)
        self.pools.record_grant(request, terms, now_s)

    def _lines(self, now_s: float) -> list[dict[str, Any]]:
        self.logged.reset_mock()
        self.pools.log_changes(now_s)
        return [
            call.kwargs
            for call in self.logged.call_args_list
            if call.args == (LogEvent.BROKERING_CHANGED,)
        ]
