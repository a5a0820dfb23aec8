"""Arrivals at cold servers within one second, and which brokers granted them."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from turmericpost_standins.platform_backend import Arrival

COLD_PER_S = 2.9
MAX_COLD_ARRIVALS = 1.5 * COLD_PER_S + 8
_WINDOW_S = 1.0


@dataclass(frozen=True)
class WorstSecond:
    """The second with the most arrivals at one server while it was cold.

    ``requesters`` counts the arrivals by the VM that sent them. ``granters``
    counts the permits behind them by their broker, as far as the logs tell.
    """

    backend_id: str
    begun_s: float = 0
    arrivals: tuple[Arrival, ...] = ()
    requesters: Counter[str] = field(default_factory=Counter)
    granters: Counter[str] = field(default_factory=Counter)

    @property
    def count(self) -> int:
        """Number of arrivals."""
        return len(self.arrivals)

    @property
    def is_too_many(self) -> bool:
        """Whether these are more than a cold server may get in a second."""
        return self.count > MAX_COLD_ARRIVALS


def worst_second(
    backend_id: str, arrivals: Sequence[Arrival], permits: Permits
) -> WorstSecond:
    """Return the worst second of a server, by its arrivals in order."""
    worst: tuple[Arrival, ...] = ()
    first = 0
    for last, arrival in enumerate(arrivals):
        while arrival.arrived_s - arrivals[first].arrived_s >= _WINDOW_S:
            first += 1
        if last + 1 - first > len(worst):
            worst = tuple(arrivals[first : last + 1])
    if not worst:
        return WorstSecond(backend_id)
    granters: Counter[str] = Counter()
    request_ids = dict.fromkeys(arrival.request_id for arrival in worst)
    for request_id in request_ids:
        granters.update(permits.brokers(request_id, backend_id))
    return WorstSecond(
        backend_id,
        worst[0].arrived_s,
        worst,
        Counter(requester(arrival.request_id) for arrival in worst),
        granters,
    )


class Permits:
    """Permits of calls by backend server, read from the logs of the VMs."""

    def __init__(self, folder: Path) -> None:
        self._brokers: dict[tuple[str, str], list[str]] = {}
        for log in sorted(folder.glob('*.log')):
            for line in log.read_text(encoding='utf-8').splitlines():
                if '"permit"' in line:
                    self._add_line(line)

    def brokers(self, request_id: str, backend_id: str) -> Sequence[str]:
        """Return the brokers that sent a call to a server."""
        return self._brokers.get((request_id, backend_id), ())

    def _add_line(self, line: str) -> None:
        for request_id, backend_id, permit_id in _permits(line):
            brokers = self._brokers.setdefault((request_id, backend_id), [])
            brokers.append(permit_id.partition('.')[0])


def requester(request_id: str) -> str:
    """Return the VM that a request was sent to, which is part of its id."""
    return request_id.partition('.')[0]


def _permits(line: str) -> Iterator[tuple[str, str, str]]:
    """Yield request id, server and permit id of the permits in a log line."""
    try:
        entry = json.loads(line)
    except ValueError:
        return
    for step in entry.get('trail', ()):
        if step['step'] == 'permit':
            yield entry['call'], step['backend'], step['permit']
