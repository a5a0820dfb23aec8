"""Convert planned departures from local time to UTC.

A local time may be ambiguous or skipped when the clock changes. A departure
then uses the earliest possible UTC time and a return the latest, so that the
failure domain stays out of service for the longest possible period.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from importlib import metadata
from zoneinfo import ZoneInfo

from turmericpost_core.config.document import (
    FailureDomain,
    PlannedDeparture,
)


@dataclass(frozen=True)
class DepartureInterval:
    """A planned departure of one failure domain, in local time and UTC.

    ``rules`` names the version of the time zone database that was used.
    """

    failure_domain: str
    departure: PlannedDeparture
    leaves_utc: datetime
    returns_utc: datetime
    rules: str


def departure_interval(
    domain: str,
    departure: PlannedDeparture,
) -> DepartureInterval:
    """Convert a departure to UTC with the installed time zone database."""
    zone = ZoneInfo(departure.time_zone)
    return DepartureInterval(
        failure_domain=domain,
        departure=departure,
        leaves_utc=min(_utc_candidates(departure.leaves_local, zone)),
        returns_utc=max(_utc_candidates(departure.returns_local, zone)),
        rules=f'tzdata {metadata.version("tzdata")}',
    )


def planned_departures(
    domains: tuple[FailureDomain, ...],
) -> tuple[DepartureInterval, ...]:
    """Return all planned departures of the domains, the earliest first."""
    intervals = [
        departure_interval(domain.name, departure)
        for domain in domains
        for departure in domain.departures
    ]
    return tuple(sorted(intervals, key=_leaves_utc))


def _leaves_utc(interval: DepartureInterval) -> datetime:
    return interval.leaves_utc


def _utc_candidates(
    local: datetime, zone: ZoneInfo
) -> tuple[datetime, datetime]:
    return (
        local.replace(tzinfo=zone, fold=0).astimezone(UTC),
        local.replace(tzinfo=zone, fold=1).astimezone(UTC),
    )
