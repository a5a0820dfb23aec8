"""Timeline of one backend server: who granted what, under which share."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

from turmericpost_ctl.log_lines import event_time, parse_event, timestamp
from turmericpost_ctl.server_attempts import (
    ServerAttempt,
    cold_grants,
    find_attempts,
)

BROKERING_CHANGED = 'brokering-changed'
SERVER_FOUND_COLD = 'server-found-cold'
LINES_LEFT_OUT = 'lines-left-out'
BACKEND_CHANGED = 'backend-changed'

_LEFT_OUT_KINDS = frozenset(
    (None, 'calls', 'cold-permits', 'found-cold', 'brokering')
)
"""Kinds of lines left out that matter; without a kind it may be any."""


@dataclass(frozen=True)
class TimeSpan:
    """Time span in UTC, both ends included."""

    since_utc: datetime
    until_utc: datetime

    def holds(self, at_utc: datetime | None) -> bool:
        """Return whether a time lies in the span."""
        if at_utc is None:
            return False
        return self.since_utc <= at_utc <= self.until_utc

    def is_after(self, at_utc: datetime | None) -> bool:
        """Return whether the span begins after a time."""
        return at_utc is not None and at_utc < self.since_utc


@dataclass
class ServerTimeline:
    """Attempts at a server in a time span, and what its brokers logged.

    ``brokering`` holds, for each VM that granted, its last line about the
    server's pool before the span, and those in it. ``left_out`` holds the lines
    that tell how many others were left out. ``unreadable_lines`` counts those
    among the lines about the server that hold no JSON object.
    """

    span: TimeSpan
    attempts: list[ServerAttempt] = field(default_factory=list)
    found_cold: list[dict[str, Any]] = field(default_factory=list)
    changes: list[dict[str, Any]] = field(default_factory=list)
    brokering: list[dict[str, Any]] = field(default_factory=list)
    left_out: list[dict[str, Any]] = field(default_factory=list)
    unreadable_lines: int = 0


def read_server_timeline(
    lines: Iterable[str], server: str, span: TimeSpan
) -> ServerTimeline:
    """Collect the lines about a server from the logs of all VMs."""
    timeline = ServerTimeline(span)
    events: list[dict[str, Any]] = []
    for line in lines:
        if not _may_matter(line, server):
            continue
        event = parse_event(line)
        if event is None:
            timeline.unreadable_lines += 1
        else:
            events.append(event)
    events.sort(key=timestamp)
    _fill_timeline(timeline, events, server)
    return timeline


def _may_matter(line: str, server: str) -> bool:
    return server in line or BROKERING_CHANGED in line or LINES_LEFT_OUT in line


def _fill_timeline(
    timeline: ServerTimeline, events: list[dict[str, Any]], server: str
) -> None:
    span = timeline.span
    timeline.attempts = [
        attempt
        for attempt in find_attempts(events, server)
        if span.holds(attempt.at_utc)
    ]
    in_span = [event for event in events if span.holds(event_time(event))]
    of_server = [event for event in in_span if event.get('backend') == server]
    timeline.found_cold = _named(of_server, SERVER_FOUND_COLD)
    timeline.changes = _named(of_server, BACKEND_CHANGED)
    timeline.left_out = [
        event
        for event in _named(in_span, LINES_LEFT_OUT)
        if event.get('of') in _LEFT_OUT_KINDS
    ]
    timeline.brokering = _brokering(timeline, events)


def _named(events: Iterable[dict[str, Any]], name: str) -> list[dict[str, Any]]:
    return [event for event in events if event.get('name') == name]


def _brokering(
    timeline: ServerTimeline, events: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return the lines about the server's pool of the VMs that granted."""
    grants = (*cold_grants(timeline.attempts), *timeline.found_cold)
    pools = {_pool(event) for event in grants}
    brokers = {
        *(attempt.broker for attempt in timeline.attempts),
        *(event.get('vm') for event in timeline.found_cold),
    }
    related = [
        event
        for event in _named(events, BROKERING_CHANGED)
        if _pool(event) in pools and event.get('vm') in brokers
    ]
    last_before = {
        (event.get('vm'), _pool(event)): event
        for event in related
        if timeline.span.is_after(_change_time(event))
    }
    in_span = [
        event for event in related if timeline.span.holds(_change_time(event))
    ]
    return [*last_before.values(), *in_span]


def _change_time(event: dict[str, Any]) -> datetime | None:
    """Return when the change was that a line tells some time later."""
    at_utc = event_time(event)
    if at_utc is None:
        return None
    return at_utc - timedelta(seconds=event.get('ago_s') or 0)


def _pool(event: dict[str, Any]) -> tuple[object, object]:
    return event.get('service'), event.get('domain')
