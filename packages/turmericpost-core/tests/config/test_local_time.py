"""Planned departures at ambiguous and skipped local times."""

from __future__ import annotations

import unittest
from datetime import UTC, datetime, timedelta

from tests.samples import DOMAINS, document
from turmericpost_core.config.document import (
    FailureDomain,
    PlannedDeparture,
)
from turmericpost_core.config.local_time import departure_interval
from turmericpost_core.config.out_of_service import out_of_service_domains


def _utc(text: str) -> datetime:
    return datetime.fromisoformat(text).replace(tzinfo=UTC)


def _departure(leaves: str, returns: str, zone: str) -> PlannedDeparture:
    return PlannedDeparture(
        datetime.fromisoformat(leaves),
        datetime.fromisoformat(returns),
        zone,
    )


class LocalTimeTest(unittest.TestCase):
    def test_ambiguous_local_time_gives_longest_interval(self) -> None:
        interval = departure_interval(
            'montreal-a',
            _departure(
                '2026-11-01T01:30', '2026-11-01T01:45', 'America/Toronto'
            ),
        )
        self.assertEqual(interval.leaves_utc, _utc('2026-11-01T05:30'))
        self.assertEqual(interval.returns_utc, _utc('2026-11-01T06:45'))

    def test_skipped_local_time_gives_longest_interval(self) -> None:
        interval = departure_interval(
            'montreal-a',
            _departure(
                '2027-03-14T02:30', '2027-03-14T02:45', 'America/Toronto'
            ),
        )
        self.assertEqual(interval.leaves_utc, _utc('2027-03-14T06:30'))
        self.assertEqual(interval.returns_utc, _utc('2027-03-14T07:45'))

    def test_domain_is_out_of_service_from_departure_to_return(self) -> None:
        departure = _departure(
            '2026-12-04T22:00', '2026-12-05T02:00', 'Africa/Cairo'
        )
        leaving = FailureDomain('cairo-a', 'cairo', departures=(departure,))
        planned = document(failure_domains=(leaving, DOMAINS[1]))
        leaves_utc = _utc('2026-12-04T20:00')
        second = timedelta(seconds=1)
        before = out_of_service_domains(planned, leaves_utc - second)
        during = out_of_service_domains(planned, leaves_utc)
        after = out_of_service_domains(planned, _utc('2026-12-05T00:00'))
        self.assertEqual(before.names, frozenset())
        self.assertEqual(before.next_change_utc, leaves_utc)
        self.assertEqual(during.names, {'cairo-a'})
        self.assertEqual(after.names, frozenset())
        self.assertIsNone(after.next_change_utc)


if __name__ == '__main__':
    unittest.main()
