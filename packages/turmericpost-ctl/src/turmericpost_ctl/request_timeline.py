"""The story of one request, from the log lines of several VMs."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

NEAR = timedelta(seconds=10)
"""Time before a request from which changes that bear on it are shown: the
window of the repeat budget, the longest that a decision looks back."""

_BACKEND_CHANGED = 'backend-changed'
_BROKER_CHANGED = 'broker-changed'
_KNOWLEDGE_CHANGED = 'knowledge-changed'


@dataclass
class Story:
    """Lines about a request, changes that bear on it, and what was left."""

    calls: list[dict[str, Any]] = field(default_factory=list)
    changes: list[dict[str, Any]] = field(default_factory=list)
    unreadable_lines: int = 0


def read_story(lines: Iterable[str], request_id: str) -> Story:
    """Collect the lines that tell about a request.

    Text before the JSON object of a line is passed over, so that lines of
    other collectors can be read too.
    """
    story = Story()
    others: list[dict[str, Any]] = []
    for line in lines:
        event = _event(line)
        if event is None:
            story.unreadable_lines += bool(line.strip())
        elif event.get('call') == request_id:
            story.calls.append(event)
        elif event.get('name') in {
            _BACKEND_CHANGED,
            _BROKER_CHANGED,
            _KNOWLEDGE_CHANGED,
        }:
            others.append(event)
    story.calls.sort(key=_time)
    story.changes = sorted(_bearing(others, story.calls), key=_time)
    return story


def story_lines(story: Story, request_id: str) -> Iterator[str]:
    """Yield the story as text, in time order."""
    for call in story.calls:
        yield from _call_lines(call, request_id)
    if story.changes:
        yield 'changes that bear on it:'
    for change in story.changes:
        yield f'  {_time(change)} {change.get("vm")}: {_change(change)}'
    if story.unreadable_lines:
        yield f'{story.unreadable_lines} lines were not readable'


def _call_lines(call: dict[str, Any], request_id: str) -> Iterator[str]:
    yield ' '.join(
        (
            f'{_time(call)} {call.get("vm")}: {call.get("name")}',
            f'{request_id} status {call.get("status", "none")}',
            f'reason {call.get("reason", "none")}',
            f'after {call.get("ms", "?")} ms',
        ),
    )
    for name in ('route', 'service', 'config', 'backends', 'retry_after_s'):
        if call.get(name) is not None:
            yield f'  {name}: {call[name]}'
    for step in call.get('trail', ()):
        yield f'  {step.get("ms"):>6} ms {step.get("step")}: {_rest(step)}'


def _rest(step: dict[str, Any]) -> str:
    shown = (
        f'{name}={inputs}'
        for name, inputs in step.items()
        if name not in {'ms', 'step'} and inputs != ''
    )
    return ' '.join(shown)


def _change(change: dict[str, Any]) -> str:
    hidden = {'at_utc', 'vm', 'event', 'level', 'name'}
    shown = (
        f'{name}={inputs}'
        for name, inputs in change.items()
        if name not in hidden
    )
    return ' '.join((str(change.get('name')), *shown))


def _bearing(
    events: list[dict[str, Any]],
    calls: list[dict[str, Any]],
) -> Iterator[dict[str, Any]]:
    """Yield the changes of servers and brokers of the calls' trails."""
    trails = [step for call in calls for step in call.get('trail', ())]
    backends = {step['backend'] for step in trails if 'backend' in step}
    domains = {step['domain'] for step in trails if 'domain' in step}
    services = {call.get('service') for call in calls}
    last = _time(calls[-1]) if calls else ''
    first = _earlier(last)
    for event in events:
        named = {event.get('backend'), *event.get('lost', ())}
        bears = bool(named & backends)
        if event.get('domain') in domains:
            bears = event.get('service') in services
        if bears and first <= _time(event) <= last:
            yield event


def _earlier(at_utc: str) -> str:
    """Return the time from which changes are shown; all if unreadable."""
    try:
        last = datetime.fromisoformat(at_utc)
    except ValueError:
        return ''
    return (last - NEAR).isoformat(timespec='milliseconds')


def _time(event: dict[str, Any]) -> str:
    return str(event.get('at_utc', ''))


def _event(line: str) -> dict[str, Any] | None:
    _, brace, rest = line.partition('{')
    try:
        event = json.loads(brace + rest)
    except ValueError:
        return None
    return event if isinstance(event, dict) else None
