"""Which failure domains are out of service at a point in time."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime

from turmericpost_core.config.document import Document
from turmericpost_core.config.local_time import (
    DepartureInterval,
    planned_departures,
)


@dataclass(frozen=True)
class DomainsOut:
    """Failure domains out of service, and when that next changes."""

    names: frozenset[str]
    next_change_utc: datetime | None


def out_of_service_domains(document: Document, now_utc: datetime) -> DomainsOut:
    """Return the failure domains that must get no new work at ``now_utc``."""
    intervals = planned_departures(document.failure_domains)
    by_order = {
        domain.name
        for domain in document.failure_domains
        if domain.out_of_service
    }
    by_plan = {
        interval.failure_domain
        for interval in intervals
        if interval.leaves_utc <= now_utc < interval.returns_utc
    }
    return DomainsOut(
        names=frozenset(by_order | by_plan),
        next_change_utc=_next_change(intervals, now_utc),
    )


def _next_change(
    intervals: tuple[DepartureInterval, ...],
    now_utc: datetime,
) -> datetime | None:
    edges = [
        edge
        for interval in intervals
        for edge in (interval.leaves_utc, interval.returns_utc)
        if edge > now_utc
    ]
    return min(edges, default=None)
