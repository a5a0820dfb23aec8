"""Attempts at one backend server, from the log lines of several VMs.

A broker logs each permit for a server that may be cold. The VM that sent the
attempt names the permit in the trail of the call, but logs only some calls.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from typing import Any

from turmericpost_ctl.log_lines import event_time

COLD_PERMIT_GRANTED = 'cold-permit-granted'

_ONE_SECOND = timedelta(seconds=1)


@dataclass(frozen=True)
class ServerAttempt:
    """One attempt at the server, or a permit for one that no line shows sent.

    ``at_utc`` is when it was sent, else when its permit was granted.
    ``grant`` is the broker's line, which only a server that may be cold gets.
    """

    at_utc: datetime
    permit: str
    sender: str = ''
    grant: dict[str, Any] | None = None

    @property
    def broker(self) -> str:
        """Name of the VM that granted the permit."""
        if self.grant is not None:
            return str(self.grant.get('vm'))
        return self.permit.partition('.')[0] or 'unknown'


def find_attempts(
    events: Iterable[dict[str, Any]], server: str
) -> list[ServerAttempt]:
    """Return the attempts at a server in order of time, joined by permit."""
    by_permit: dict[str, ServerAttempt] = {}
    unnamed: list[ServerAttempt] = []
    for event in events:
        for attempt in _attempts_of_event(event, server):
            if attempt.permit:
                known = by_permit.get(attempt.permit)
                by_permit[attempt.permit] = _joined(known, attempt)
            else:
                unnamed.append(attempt)
    return sorted((*by_permit.values(), *unnamed), key=_attempt_time)


def cold_grants(attempts: Iterable[ServerAttempt]) -> list[dict[str, Any]]:
    """Return the brokers' lines about the attempts that have one."""
    return [attempt.grant for attempt in attempts if attempt.grant]


def most_in_a_second(
    attempts: list[ServerAttempt],
) -> list[ServerAttempt]:
    """Return the largest group of attempts that lie within one second.

    The attempts must be in order of time.
    """
    start = 0
    most: list[ServerAttempt] = []
    for index, attempt in enumerate(attempts):
        while attempt.at_utc - attempts[start].at_utc >= _ONE_SECOND:
            start += 1
        if index + 1 - start > len(most):
            most = attempts[start : index + 1]
    return most


def _attempts_of_event(
    event: dict[str, Any], server: str
) -> Iterator[ServerAttempt]:
    at_utc = event_time(event)
    if at_utc is None:
        return
    if event.get('name') == COLD_PERMIT_GRANTED:
        if event.get('backend') == server:
            permit = str(event.get('permit', ''))
            yield ServerAttempt(at_utc, permit, grant=event)
        return
    arrived_utc = at_utc - timedelta(milliseconds=event.get('ms') or 0)
    for step in event.get('trail', ()):
        if step.get('step') == 'sent' and step.get('backend') == server:
            yield ServerAttempt(
                arrived_utc + timedelta(milliseconds=step.get('ms') or 0),
                str(step.get('permit', '')),
                sender=str(event.get('vm')),
            )


def _joined(
    known: ServerAttempt | None, attempt: ServerAttempt
) -> ServerAttempt:
    """Return both as one; the time of sending counts."""
    if known is None:
        return attempt
    sent = attempt if attempt.sender else known
    return replace(sent, grant=known.grant or attempt.grant)


def _attempt_time(attempt: ServerAttempt) -> datetime:
    return attempt.at_utc
