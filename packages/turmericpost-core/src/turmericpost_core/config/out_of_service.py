"""Determine the failure domains that are out of service at a given time."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime

from turmericpost_core.config.document import Document
from turmericpost_core.config.local_time import (
    DepartureInterval,
    planned_departures,
)


@dataclass(frozen=True)
class OutOfServiceDomains:
    """Names of the failure domains that are out of service.

    ``next_change_utc`` is the time of the next planned departure or return,
    ``None`` if there is none.
    """

    names: frozenset[str]
    next_change_utc: datetime | None


def out_of_service_domains(
    document: Document, now_utc: datetime
) -> OutOfServiceDomains:
    """Return the failure domains that must not get new calls at ``now_utc``."""
    intervals = planned_departures(document.failure_domains)
    by_setting = {
        domain.name
        for domain in document.failure_domains
        if domain.out_of_service
    }
    by_departure = {
        interval.failure_domain
        for interval in intervals
        if interval.leaves_utc <= now_utc < interval.returns_utc
    }
    return OutOfServiceDomains(
        names=frozenset(by_setting | by_departure),
        next_change_utc=_next_change(intervals, now_utc),
    )


def _next_change(
    intervals: tuple[DepartureInterval, ...],
    now_utc: datetime,
) -> datetime | None:
    change_times = [
        change_time
        for interval in intervals
        for change_time in (interval.leaves_utc, interval.returns_utc)
        if change_time > now_utc
    ]
    return min(change_times, default=None)
