"""Renders the timeline of a backend server as text."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

from turmericpost_ctl.log_lines import timestamp
from turmericpost_ctl.server_attempts import (
    ServerAttempt,
    cold_grants,
    most_in_a_second,
)
from turmericpost_ctl.server_timeline import ServerTimeline

_OMITTED_FIELDS = frozenset(('at_utc', 'vm', 'event', 'level', 'name'))
_TERMS = ('leads', 'share', 'cold_per_s', 'allowed_in_s')


def server_lines(timeline: ServerTimeline, server: str) -> Iterator[str]:
    """Yield the attempts in each second, who granted them, and the rest."""
    since_utc = timeline.span.since_utc.isoformat(timespec='milliseconds')
    until_utc = timeline.span.until_utc.isoformat(timespec='milliseconds')
    yield f'server {server} from {since_utc} to {until_utc}'
    yield from _seconds_lines(timeline.attempts)
    yield from _grants_lines(timeline.attempts)
    yield from _event_lines('found cold:', timeline.found_cold)
    yield from _event_lines('brokers of its pool:', timeline.brokering)
    yield from _event_lines('state as its brokers saw it:', timeline.changes)
    yield from _event_lines('lines left out:', timeline.left_out)
    if timeline.unreadable_lines:
        yield f'{timeline.unreadable_lines} lines could not be decoded'


def _seconds_lines(attempts: list[ServerAttempt]) -> Iterator[str]:
    """Yield the known attempts of each second by broker, then the most."""
    by_second: defaultdict[str, list[ServerAttempt]] = defaultdict(list)
    for attempt in attempts:
        second = attempt.at_utc.isoformat(timespec='seconds')
        by_second[second].append(attempt)
    yield 'attempts in each second, by broker:'
    for second, in_second in by_second.items():
        yield f'  {second} {_counted(in_second)}'
    if not attempts:
        yield '  none is known'
        return
    most = most_in_a_second(attempts)
    first_utc = most[0].at_utc.isoformat(timespec='milliseconds')
    yield f'most within one second, from {first_utc}: {_counted(most)}'


def _counted(attempts: list[ServerAttempt]) -> str:
    may_be_cold = sum(attempt.grant is not None for attempt in attempts)
    by_broker = Counter(attempt.broker for attempt in attempts)
    brokers = ', '.join(
        f'{broker} {count}' for broker, count in by_broker.most_common()
    )
    total = len(attempts)
    return f'{total}, {may_be_cold} while it may have been cold: {brokers}'


def _grants_lines(attempts: list[ServerAttempt]) -> Iterator[str]:
    """Yield the permits while it may have been cold, by broker and terms."""
    grants = cold_grants(attempts)
    if not grants:
        return
    yield 'permits while it may have been cold, by broker:'
    counts: Counter[str] = Counter()
    most_in_s: Counter[str] = Counter()
    for grant in grants:
        broker = _broker_and_terms(grant)
        counts[broker] += 1
        in_s = int(grant.get('attempts_in_s') or 0)
        most_in_s[broker] = max(most_in_s[broker], in_s)
    for granter, count in sorted(counts.items()):
        yield f'  {granter} permits={count} most_in_s={most_in_s[granter]}'


def _broker_and_terms(grant: dict[str, Any]) -> str:
    terms = ' '.join(f'{name}={grant.get(name)}' for name in _TERMS)
    return f'{grant.get("vm")}: {terms}'


def _event_lines(
    heading: str, events: Iterable[dict[str, Any]]
) -> Iterator[str]:
    rows = [f'  {_event_text(event)}' for event in events]
    if rows:
        yield heading
    yield from rows


def _event_text(event: dict[str, Any]) -> str:
    fields = ' '.join(
        f'{name}={field_value}'
        for name, field_value in event.items()
        if name not in _OMITTED_FIELDS
    )
    return f'{timestamp(event)} {event.get("vm")}: {event.get("name")} {fields}'
