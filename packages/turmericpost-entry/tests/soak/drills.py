"""Drills of the store in a soak: it is away, and returns from an older copy."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from tests.gateway.fleet_harness import Fleet
from turmericpost_standins.store.service import StoreCopy, StoreService

_MIN_AGE_S = 0.5
_MAX_AGE_S = 6.0
_MAX_AWAY_S = 2.0
_MIN_LATE_S = 0.1
_MAX_LATE_S = 2.0
_CHECK_IN_S = 2.0
_MAX_LOST_VERSIONS = 3
_FAULTS = ('is_down', 'is_busy', 'is_silent')
_SERVERS_TOPIC = 'keyed.servers'


@dataclass(frozen=True)
class Drill:
    """One drill; ``copied_s`` counts from the first fault.

    The operator publishes versions ``published_s`` after that, and the servers
    check in, which is all lost. The store is away for ``away_s``, by one of its
    faults, before it returns with a copy that is then ``age_s`` old.
    """

    copied_s: float
    published_s: tuple[float, ...]
    age_s: float
    away_s: float
    fault: str


class WrittenStore(StoreService):
    """A store whose writers remember what they wrote.

    ``newest`` has the last value of each topic and key, empty if the key was
    removed.
    """

    def __init__(self, reactor: Any) -> None:
        super().__init__(reactor)
        self.newest: dict[tuple[str, str], bytes] = {}

    def put_keyed(self, topic: str, key: str, record_value: bytes) -> int:
        """Append a record with a key, and remember it."""
        self.newest[topic, key] = record_value
        return super().put_keyed(topic, key, record_value)

    def stored(self, topic: str, key: str) -> bytes:
        """Return the value that the store has; empty if it has none."""
        latest = self.partition(topic).latest_by_key
        return latest.get(key.encode(), (0, b''))[1]


class Drills:
    """Drills of the store of a fleet, drawn from a ``Random`` of their own."""

    def __init__(
        self, random: Random, fleet: Fleet, publish: Callable[[Random], None]
    ) -> None:
        assert isinstance(fleet.store, WrittenStore)
        self.returns_s: list[float] = []
        self._random = random
        self._fleet = fleet
        self._store = fleet.store
        self._publish = publish

    def schedule(self, count: int, until_s: float) -> None:
        """Schedule drills whose last one has returned in ``until_s``."""
        for _ in range(count):
            drill = self._draw(until_s)
            self._fleet.reactor.callLater(drill.copied_s, self._begin, drill)

    def _draw(self, until_s: float) -> Drill:
        uniform = self._random.uniform
        age_s = uniform(_MIN_AGE_S, _MAX_AGE_S)
        away_s = uniform(0, min(_MAX_AWAY_S, age_s))
        versions = self._random.randint(1, _MAX_LOST_VERSIONS)
        return Drill(
            uniform(0, until_s - age_s),
            tuple(uniform(0, age_s - away_s) for _ in range(versions)),
            age_s,
            away_s,
            self._random.choice(_FAULTS),
        )

    def _begin(self, drill: Drill) -> None:
        copy = self._store.copy()
        call_later = self._fleet.reactor.callLater
        faults = self._store.faults
        gone_s = drill.age_s - drill.away_s
        for published_s in drill.published_s:
            call_later(published_s, self._publish, self._random)
        self._schedule_check_ins(gone_s)
        call_later(gone_s, setattr, faults, drill.fault, True)
        call_later(drill.age_s, self._return, drill, copy)

    def _return(self, drill: Drill, copy: StoreCopy) -> None:
        self._store.restore(copy)
        setattr(self._store.faults, drill.fault, False)
        self.returns_s.append(self._fleet.reactor.seconds())
        lost = [
            place
            for place, written in self._store.newest.items()
            if self._store.stored(*place) != written
        ]
        for place in lost:
            late_s = self._random.uniform(_MIN_LATE_S, _MAX_LATE_S)
            self._fleet.reactor.callLater(late_s, self._write_again, place)
        self._schedule_check_ins(_CHECK_IN_S)

    def _schedule_check_ins(self, within_s: float) -> None:
        for backend_id in self._fleet.backends:
            check_in_s = self._random.uniform(0, within_s)
            self._fleet.reactor.callLater(
                check_in_s, self._check_in, backend_id
            )

    def _write_again(self, place: tuple[str, str]) -> None:
        newest = self._store.newest[place]
        if self._store.stored(*place) != newest:
            self._store.put_keyed(*place, newest)

    def _check_in(self, backend_id: str) -> None:
        if self._store.newest[_SERVERS_TOPIC, backend_id]:
            self._fleet.register(backend_id)
