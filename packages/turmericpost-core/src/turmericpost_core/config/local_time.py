"""Planned departures: from local times to UTC, gaps and folds included.

Of the readings a local time can have, the earliest is taken for a departure
and the latest for a return, so that work stays out longest.
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
    """A planned departure of one failure domain, in local time and UTC."""

    failure_domain: str
    departure: PlannedDeparture
    leaves_utc: datetime
    returns_utc: datetime
    rules: str


def departure_interval(
    domain: str,
    departure: PlannedDeparture,
) -> DepartureInterval:
    """Return the interval in UTC under the clock rules in force."""
    zone = ZoneInfo(departure.time_zone)
    return DepartureInterval(
        failure_domain=domain,
        departure=departure,
        leaves_utc=min(_readings(departure.leaves_local, zone)),
        returns_utc=max(_readings(departure.returns_local, zone)),
        rules=f'tzdata {metadata.version("tzdata")}',
    )


def planned_departures(
    domains: tuple[FailureDomain, ...],
) -> tuple[DepartureInterval, ...]:
    """Return every planned departure, the earliest first."""
    intervals = [
        departure_interval(domain.name, departure)
        for domain in domains
        for departure in domain.departures
    ]
    return tuple(sorted(intervals, key=_leaves_utc))


def _leaves_utc(interval: DepartureInterval) -> datetime:
    return interval.leaves_utc


def _readings(local: datetime, zone: ZoneInfo) -> tuple[datetime, datetime]:
    return (
        local.replace(tzinfo=zone, fold=0).astimezone(UTC),
        local.replace(tzinfo=zone, fold=1).astimezone(UTC),
    )
