"""Simulated store that may return from a copy, for seeded histories."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from turmericpost_core.fleet.store_position import StorePosition, new_position

KEPT_S = 6.0


class Topic(Enum):
    """Topics of the store that VMs read."""

    OPERATOR = 'operator'
    SERVERS = 'servers'


@dataclass(frozen=True)
class StoredRecord:
    """A record; without ``entry`` it deletes its key."""

    key: str
    entry: object
    written_s: float


@dataclass(frozen=True)
class StoreAnswer:
    """Response to a read from ``begin``, or to a listing without it.

    ``records`` is ``None`` if the store does not have those from ``begin`` on.
    ``records`` are positions and records, ``end`` is the position after them.
    """

    topic: Topic
    begin: StorePosition | None
    begun_s: float
    era: int | None
    records: tuple[tuple[StorePosition, StoredRecord], ...] | None
    end: StorePosition


class SimulatedStore:
    """Records of both topics, and the era in which their offsets count.

    An ``era`` of ``None`` is never stated.
    """

    def __init__(self, era: int | None) -> None:
        self.era = era
        self._records: dict[Topic, list[StoredRecord]] = {
            topic: [] for topic in Topic
        }

    def append(
        self, topic: Topic, key: str, entry: object, now_s: float
    ) -> None:
        self._records[topic].append(StoredRecord(key, entry, now_s))

    def newest(self, topic: Topic) -> Mapping[str, object]:
        """Return the newest content of each key that is not deleted."""
        newest = {record.key: record for record in self._records[topic]}
        return {
            key: record.entry
            for key, record in newest.items()
            if record.entry is not None
        }

    def written_s(self, topic: Topic, key: str) -> float:
        """Return when the newest content of a key was written."""
        times_s = [
            record.written_s
            for record in self._records[topic]
            if record.key == key and record.entry is not None
        ]
        return max(times_s, default=float('-inf'))

    def return_from_copy(self, copied_s: float) -> None:
        """Lose what was written after a time, and begin the next era."""
        for topic, records in self._records.items():
            self._records[topic] = [
                record for record in records if record.written_s <= copied_s
            ]
        if self.era is not None:
            self.era += 1

    def read(
        self, topic: Topic, begin: StorePosition | None, now_s: float
    ) -> StoreAnswer:
        """Return the records from a position on, or list the newest ones."""
        stored = self._records[topic]
        offsets = range(len(stored))
        expired = sum(record.written_s < now_s - KEPT_S for record in stored)
        records = None
        if begin is None:
            newest = {record.key: index for index, record in enumerate(stored)}
            listed = [
                index
                for index in offsets
                if newest[stored[index].key] == index
                and stored[index].entry is not None
            ]
            records = self._at_positions(topic, listed)
        elif expired <= begin.offset <= len(stored):
            records = self._at_positions(topic, offsets[begin.offset :])
        end = new_position(self.era, len(stored))
        return StoreAnswer(topic, begin, now_s, self.era, records, end)

    def _at_positions(
        self, topic: Topic, offsets: range | list[int]
    ) -> tuple[tuple[StorePosition, StoredRecord], ...]:
        return tuple(
            (new_position(self.era, offset), self._records[topic][offset])
            for offset in offsets
        )
