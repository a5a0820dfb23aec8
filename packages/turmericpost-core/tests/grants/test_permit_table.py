"""Tests of the permit table: grant, adopt, revoke, release and expire."""

from __future__ import annotations

import unittest

from tests.grants.samples import DEADLINE_S, backend, new_request
from turmericpost_core.grants.limits import UNLISTED_GRACE_S
from turmericpost_core.grants.permit_table import PermitTable
from turmericpost_core.grants.permits import PermitGrant, PermitRecord


class PermitTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = PermitTable('vm0.5')
        self.grant = self._add_grant(1)

    def _add_grant(self, number: int) -> PermitGrant:
        permit_request = new_request(number, 0)
        permit_id = self.table.new_permit_id()
        grant = PermitGrant(permit_request, backend(0), permit_id, 100, 0, 0.2)
        self.table.add_grant(
            grant, PermitRecord('b0', permit_request.requester, 0, DEADLINE_S)
        )
        return grant

    def test_permit_id_contains_the_broker_and_its_start(self) -> None:
        self.assertEqual(self.grant.permit_id, 'vm0.5/1')
        self.assertNotEqual(self._add_grant(2).permit_id, self.grant.permit_id)

    def test_grant_is_kept_for_duplicate_requests(self) -> None:
        permit_request_id = self.grant.request.permit_request_id
        self.assertIs(
            self.table.grant_for_request(permit_request_id), self.grant
        )
        self.table.forget_old_grants(DEADLINE_S)
        self.assertIsNone(self.table.grant_for_request(permit_request_id))

    def test_permit_can_be_removed_only_once(self) -> None:
        permit_id = self.grant.permit_id
        self.assertIsNotNone(self.table.pop_permit(permit_id))
        self.assertIsNone(self.table.pop_permit(permit_id))
        self.assertIsNone(
            self.table.revoke(self.grant.request.permit_request_id)
        )

    def test_revoked_permit_is_not_in_use(self) -> None:
        grant, record = self.table.revoke(self.grant.request.permit_request_id)
        self.assertIs(grant, self.grant)
        self.assertEqual(record.backend_id, 'b0')
        self.assertNotIn(self.grant.permit_id, self.table)

    def test_permit_missing_from_its_holders_list_is_reported(self) -> None:
        self.assertEqual(self._unlisted_permits({}, UNLISTED_GRACE_S), [])
        late_s = UNLISTED_GRACE_S + 0.1
        permit_id = self.grant.permit_id
        self.assertEqual(self._unlisted_permits({}, late_s), [permit_id])
        self.assertEqual(self._unlisted_permits({permit_id: 'b0'}, late_s), [])

    def test_adopted_permit_never_expires(self) -> None:
        adopted = PermitRecord('b0', 'vm7', 0, float('inf'))
        self.table.adopt('vm3.1/9', adopted)
        expired = list(self.table.expired_permits(10 * DEADLINE_S))
        self.assertEqual(expired, [self.grant.permit_id])
        self.assertEqual(list(self.table.permits_of_vm('vm7')), ['vm3.1/9'])

    def _unlisted_permits(
        self, held_permits: dict[str, str], now_s: float
    ) -> list[str]:
        return list(self.table.unlisted_permits('vm1', held_permits, now_s))
