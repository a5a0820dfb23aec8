"""Reads log lines of VMs: one JSON object a line, after any prefix."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import Any


def parse_event(line: str) -> dict[str, Any] | None:
    """Return the event of a log line, ``None`` if it holds no JSON object.

    Text before the object is ignored, so that lines with a prefix from a log
    collector can be read.
    """
    _, brace, json_text = line.partition('{')
    try:
        event = json.loads(brace + json_text)
    except ValueError:
        return None
    return event if isinstance(event, dict) else None


def timestamp(event: dict[str, Any]) -> str:
    """Return the time of an event as written, empty if it has none."""
    return str(event.get('at_utc', ''))


def parse_utc(text: str) -> datetime | None:
    """Return an ISO 8601 time as UTC without offset, ``None`` if invalid.

    A time without an offset is in UTC.
    """
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        return None
    if parsed.tzinfo is None:
        return parsed
    return parsed.astimezone(UTC).replace(tzinfo=None)


def event_time(event: dict[str, Any]) -> datetime | None:
    """Return the time of an event, ``None`` if it has no valid one."""
    return parse_utc(timestamp(event))
