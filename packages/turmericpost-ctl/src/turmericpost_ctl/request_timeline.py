"""Timeline of one request, built from the log lines of several VMs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

from turmericpost_ctl.log_lines import parse_event, timestamp

LOOKBACK = timedelta(seconds=10)
"""Period before a request for which related changes are shown.

It equals the window of the retry budget, the longest period that a decision
takes into account.
"""

_BACKEND_CHANGED = 'backend-changed'
_BACKEND_CLOSED = 'backend-closed'
_BROKER_CHANGED = 'broker-changed'
_KNOWLEDGE_CHANGED = 'knowledge-changed'
_STATE_BEHIND = 'state-behind'
_STATE_CAUGHT_UP = 'state-caught-up'


@dataclass
class RequestTimeline:
    """Log events of one request, and related changes of servers and brokers.

    ``unreadable_lines`` is the number of lines that hold no JSON object.
    """

    calls: list[dict[str, Any]] = field(default_factory=list)
    changes: list[dict[str, Any]] = field(default_factory=list)
    unreadable_lines: int = 0


def read_timeline(lines: Iterable[str], request_id: str) -> RequestTimeline:
    """Collect the log events of a request and the related changes.

    Text before the JSON object of a line is ignored, so that lines with a
    prefix from a log collector can be read.
    """
    timeline = RequestTimeline()
    candidate_changes: list[dict[str, Any]] = []
    for line in lines:
        event = parse_event(line)
        if event is None:
            timeline.unreadable_lines += bool(line.strip())
        elif event.get('call') == request_id:
            timeline.calls.append(event)
        elif event.get('name') in {
            _BACKEND_CHANGED,
            _BACKEND_CLOSED,
            _BROKER_CHANGED,
            _KNOWLEDGE_CHANGED,
            _STATE_BEHIND,
            _STATE_CAUGHT_UP,
        }:
            candidate_changes.append(event)
    timeline.calls.sort(key=timestamp)
    related = (
        *_related_changes(candidate_changes, timeline.calls),
        *_lags(candidate_changes, timeline.calls),
    )
    timeline.changes = sorted(related, key=timestamp)
    return timeline


def timeline_lines(timeline: RequestTimeline, request_id: str) -> Iterator[str]:
    """Yield the timeline as lines of text: its calls, then the changes."""
    for call in timeline.calls:
        yield from _call_lines(call, request_id)
    if timeline.changes:
        yield 'related changes:'
    for change in timeline.changes:
        yield (
            f'  {timestamp(change)} {change.get("vm")}: {_change_text(change)}'
        )
    if timeline.unreadable_lines:
        yield f'{timeline.unreadable_lines} lines could not be decoded'


def _call_lines(call: dict[str, Any], request_id: str) -> Iterator[str]:
    yield ' '.join(
        (
            f'{timestamp(call)} {call.get("vm")}: {call.get("name")}',
            f'{request_id} status {call.get("status", "none")}',
            f'reason {call.get("reason", "none")}',
            f'after {call.get("ms", "?")} ms',
        ),
    )
    for name in ('route', 'service', 'config', 'backends', 'retry_after_s'):
        if call.get(name) is not None:
            yield f'  {name}: {call[name]}'
    for step in call.get('trail', ()):
        yield (
            f'  {step.get("ms"):>6} ms {step.get("step")}: {_step_fields(step)}'
        )


def _step_fields(step: dict[str, Any]) -> str:
    fields = (
        f'{name}={field_value}'
        for name, field_value in step.items()
        if name not in {'ms', 'step'} and field_value != ''
    )
    return ' '.join(fields)


def _change_text(change: dict[str, Any]) -> str:
    omitted_fields = {'at_utc', 'vm', 'event', 'level', 'name'}
    fields = (
        f'{name}={field_value}'
        for name, field_value in change.items()
        if name not in omitted_fields
    )
    return ' '.join((str(change.get('name')), *fields))


def _related_changes(
    events: list[dict[str, Any]],
    calls: list[dict[str, Any]],
) -> Iterator[dict[str, Any]]:
    """Yield the changes of servers and brokers that the calls used."""
    trail_steps = [step for call in calls for step in call.get('trail', ())]
    backends = {step['backend'] for step in trail_steps if 'backend' in step}
    domains = {step['domain'] for step in trail_steps if 'domain' in step}
    services = {call.get('service') for call in calls}
    window_end = timestamp(calls[-1]) if calls else ''
    window_start = _lookback_start(window_end)
    for event in events:
        backends_of_event = {event.get('backend'), *event.get('lost', ())}
        is_related = bool(backends_of_event & backends)
        if event.get('domain') in domains:
            is_related = event.get('service') in services
        if is_related and window_start <= timestamp(event) <= window_end:
            yield event


def _lags(
    events: list[dict[str, Any]], calls: list[dict[str, Any]]
) -> Iterator[dict[str, Any]]:
    """Yield since when the VMs of the calls were behind, however long before.

    These are their last lines about each part of the state.
    """
    last_lines = {
        (call.get('vm'), event.get('part')): event
        for call in calls
        for event in sorted(events, key=timestamp)
        if event.get('name') in {_STATE_BEHIND, _STATE_CAUGHT_UP}
        and event.get('vm') == call.get('vm')
        and timestamp(event) <= timestamp(call)
    }
    for event in last_lines.values():
        if event.get('name') == _STATE_BEHIND:
            yield event


def _lookback_start(at_utc: str) -> str:
    """Return the time from which changes are shown, empty if it is unknown."""
    try:
        window_end = datetime.fromisoformat(at_utc)
    except ValueError:
        return ''
    return (window_end - LOOKBACK).isoformat(timespec='milliseconds')
