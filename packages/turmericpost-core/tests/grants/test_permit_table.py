"""Permits in use: given, taken over, taken back, dropped and expired."""

from __future__ import annotations

import unittest

from tests.grants.samples import DEADLINE_S, backend, request
from turmericpost_core.grants.limits import HELD_CHECK_S
from turmericpost_core.grants.permit_table import PermitTable
from turmericpost_core.grants.permits import PermitGrant, PermitRecord


class GrantBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = PermitTable('vm0.5')
        self.granted = self._open(1)

    def _open(self, number: int) -> PermitGrant:
        wish = request(number, 0)
        permit_id = self.book.new_id()
        granted = PermitGrant(wish, backend(0), permit_id, 100, 0, 0.2)
        self.book.open(
            granted, PermitRecord('b0', wish.requester, 0, DEADLINE_S)
        )
        return granted

    def test_ids_tell_the_broker_and_its_start(self) -> None:
        self.assertEqual(self.granted.permit_id, 'vm0.5/1')
        self.assertNotEqual(self._open(2).permit_id, self.granted.permit_id)

    def test_ask_that_comes_again_gets_its_answer(self) -> None:
        permit_request_id = self.granted.request.permit_request_id
        self.assertIs(self.book.answer_to(permit_request_id), self.granted)
        self.book.forget_old_answers(DEADLINE_S)
        self.assertIsNone(self.book.answer_to(permit_request_id))

    def test_permit_ends_once(self) -> None:
        permit_id = self.granted.permit_id
        self.assertIsNotNone(self.book.close(permit_id))
        self.assertIsNone(self.book.close(permit_id))
        self.assertIsNone(
            self.book.take_back(self.granted.request.permit_request_id)
        )

    def test_permit_that_is_taken_back_is_not_in_use(self) -> None:
        granted, grant = self.book.take_back(
            self.granted.request.permit_request_id
        )
        self.assertIs(granted, self.granted)
        self.assertEqual(grant.backend_id, 'b0')
        self.assertNotIn(self.granted.permit_id, self.book)

    def test_permit_that_its_holder_does_not_list_is_dropped(self) -> None:
        self.assertEqual(self._dropped({}, HELD_CHECK_S), [])
        late_s = HELD_CHECK_S + 0.1
        permit_id = self.granted.permit_id
        self.assertEqual(self._dropped({}, late_s), [permit_id])
        self.assertEqual(self._dropped({permit_id: 'b0'}, late_s), [])

    def test_permit_that_was_taken_over_never_expires(self) -> None:
        taken = PermitRecord('b0', 'vm7', 0, float('inf'))
        self.book.take_over('vm3.1/9', taken)
        expired = list(self.book.expired(10 * DEADLINE_S))
        self.assertEqual(expired, [self.granted.permit_id])
        self.assertEqual(list(self.book.of_vm('vm7')), ['vm3.1/9'])

    def _dropped(self, held_permits: dict[str, str], now_s: float) -> list[str]:
        return list(self.book.dropped('vm1', held_permits, now_s))
