"""Part of a pool's shared limits that the rank of a VM allows."""

from __future__ import annotations

import unittest
from datetime import UTC, datetime

from turmericpost_core.grants.pool_lead import (
    HANDOVER_S,
    STANDBY_SHARE,
    PoolLead,
    pool_subject,
)
from turmericpost_core.membership.domain_view import (
    DomainDigest,
    DomainView,
    Vm,
    VmReadiness,
)
from turmericpost_core.membership.ring import rendezvous_owners

_DOMAIN = 'nasr'
_POOL = ('press', _DOMAIN)
_NAMES = ('vm0', 'vm1', 'vm2', 'vm3')
_RANKED = rendezvous_owners(pool_subject(*_POOL), _NAMES, len(_NAMES))
_STEP_S = 0.25


def vm(name: str, domain: str = _DOMAIN) -> Vm:
    return Vm(name, name, 7540, f'{name}:80', domain, 'cairo', 1)


class PoolLeadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = float(100)

    def monotonic_s(self) -> float:
        return self.now_s

    def utc_now(self) -> datetime:
        return datetime.fromtimestamp(self.now_s, UTC)

    def test_shares_follow_the_rank(self) -> None:
        shares = [self._lead(rank).share(_POOL) for rank in range(len(_NAMES))]
        self.assertEqual(shares, [1, STANDBY_SHARE, 0, 0])

    # Guards against VMs of all other domains that each lead the pools of a
    # domain whose digest they lack.
    def test_pool_of_another_domain_is_never_led(self) -> None:
        lead = self._lead(0)
        self.assertEqual(lead.share(('press', 'giza')), 0)
        self.view.record_digest(
            DomainDigest('giza', self.now_s, ((vm('g'), VmReadiness.READY),))
        )
        self.now_s += 60
        self.assertEqual(lead.share(('press', 'giza')), 0)

    # Guards against a second leader that grants within a second of the first.
    def test_next_leader_waits_after_the_loss_of_the_first(self) -> None:
        lead = self._lead(1)
        lost_s = self.now_s + self.view.lost_after_s
        while lead.share(_POOL) < 1:
            self.now_s += _STEP_S
            self._hear(_RANKED[2], _RANKED[3])
        self.assertGreater(self.now_s, lost_s + HANDOVER_S)
        self.assertLess(self.now_s, lost_s + HANDOVER_S + 1)

    def test_leader_that_leaves_is_replaced_at_once(self) -> None:
        lead = self._lead(1)
        self.view.record_heartbeat(
            vm(_RANKED[0]), VmReadiness.LEAVING, self.now_s
        )
        self.assertEqual(lead.share(_POOL), 1)

    def _lead(self, rank: int) -> PoolLead:
        """Return the lead of the VM of some rank, which hears all others."""
        self.view = DomainView(vm(_RANKED[rank]))
        self.view.own_readiness = VmReadiness.READY
        self._hear(*_NAMES)
        return PoolLead(self, self.view)

    def _hear(self, *names: str) -> None:
        for name in names:
            self.view.record_heartbeat(vm(name), VmReadiness.READY, self.now_s)


if __name__ == '__main__':
    unittest.main()
