"""Rate limits that backend servers state: which statement holds."""

from __future__ import annotations

import unittest

from tests.grants.samples import backend
from turmericpost_core.grants.rate_limits import (
    STATEMENT_VALIDITY_S,
    RateLimitStatement,
    RateLimitTable,
    instance_of,
    pool_of,
)

_SERVER = backend(1)
_RESTARTED = backend(1, started_ms=2)


def record(
    table: RateLimitTable, requests_per_s: float | None, stated_s: float
) -> None:
    table.record(
        pool_of(_SERVER),
        instance_of(_SERVER),
        RateLimitStatement(requests_per_s, stated_s),
    )


class RateLimitTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RateLimitTable()

    def test_newest_statement_holds(self) -> None:
        record(self.table, 3, 5)
        record(self.table, 8, 4)
        self.assertEqual(self.table.limit_of(_SERVER), 3)
        record(self.table, 2, 6)
        self.assertEqual(self.table.limit_of(_SERVER), 2)

    def test_limit_ends_with_a_response_to_a_later_request(self) -> None:
        record(self.table, 3, 5)
        record(self.table, None, 4.9)
        self.assertEqual(self.table.limit_of(_SERVER), 3)
        record(self.table, None, 5.1)
        self.assertIsNone(self.table.limit_of(_SERVER))
        self.assertEqual(self.table.in_force(pool_of(_SERVER)), {})

    def test_restarted_server_has_no_limit(self) -> None:
        record(self.table, 3, 5)
        self.assertIsNone(self.table.limit_of(_RESTARTED))

    def test_old_statement_is_forgotten(self) -> None:
        record(self.table, 3, 5)
        self.table.forget_old(5 + STATEMENT_VALIDITY_S)
        self.assertEqual(self.table.limit_of(_SERVER), 3)
        self.table.forget_old(6 + STATEMENT_VALIDITY_S)
        self.assertIsNone(self.table.limit_of(_SERVER))
