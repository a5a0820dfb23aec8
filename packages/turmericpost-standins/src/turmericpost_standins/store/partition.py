"""One partition of a topic: records, producers and expiry."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

_REMEMBERED_APPENDS = 5
_CONFLICT = 409
_CONDITION_FAILED = 412


@dataclass(frozen=True)
class Appended:
    """An append that took effect: offset of its first record, and the end."""

    offset: int
    end_offset: int


@dataclass(frozen=True)
class Refused:
    """An append without effect: status and what the answer says."""

    status: int
    body: dict[str, object]


@dataclass(frozen=True)
class ProducerSequence:
    """Who appends: a name, its epoch, and the number of the append."""

    producer: str
    epoch: int
    number: int


@dataclass
class _Producer:
    epoch: int
    last_number: int | None = None
    recent: deque[tuple[int, Appended]] = field(
        default_factory=lambda: deque(maxlen=_REMEMBERED_APPENDS),
    )


@dataclass(frozen=True)
class StoredRecord:
    """A record and when it was appended."""

    record: bytes
    appended_s: float


class Partition:
    """Records from the first one kept on; offsets have no gaps."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[StoredRecord] = []
        self.newest: dict[bytes, tuple[int, bytes]] = {}
        self._producers: dict[str, _Producer] = {}

    @property
    def end_offset(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(
        self,
        records: list[bytes],
        now_s: float,
        expected_end: int | None = None,
        sequence: ProducerSequence | None = None,
    ) -> Appended | Refused:
        """Append all records or none."""
        earlier = self._check(sequence)
        if earlier is not None:
            return earlier
        if expected_end is not None and expected_end != self.end_offset:
            return Refused(_CONDITION_FAILED, {'End': self.end_offset})
        appended = Appended(self.end_offset, self.end_offset + len(records))
        for record in records:
            self._remember(record)
            self.records.append(StoredRecord(record, now_s))
        if sequence is not None and records:
            producer = self._producers[sequence.producer]
            producer.last_number = sequence.number
            producer.recent.append((sequence.number, appended))
        return appended

    def trim(self, before: int) -> None:
        """Drop the records before an offset."""
        dropped = max(0, min(before, self.end_offset) - self.first)
        self.records = self.records[dropped:]
        self.first += dropped

    def expire(self, older_than_s: float) -> None:
        """Drop the records appended before a time."""
        kept = [one.appended_s >= older_than_s for one in self.records]
        index = kept.index(True) if any(kept) else len(kept)
        self.trim(self.first + index)

    def _check(
        self, sequence: ProducerSequence | None
    ) -> Appended | Refused | None:
        """Return the first answer to a repeat, or why the append is wrong."""
        if sequence is None:
            return None
        known = self._producers.get(sequence.producer)
        if known is None or sequence.epoch > known.epoch:
            self._producers[sequence.producer] = _Producer(sequence.epoch)
            return None
        if sequence.epoch < known.epoch:
            return Refused(_CONFLICT, {'why': 'fenced'})
        for number, appended in known.recent:
            if number == sequence.number:
                return appended
        last = known.last_number
        if last is not None and sequence.number != last + 1:
            return Refused(_CONFLICT, {'why': 'seq', 'Seq': last + 1})
        return None

    def _remember(self, record: bytes) -> None:
        """Keep the newest record of a key."""
        if not record:
            return
        split = 1 + record[0]
        key = record[1:split]
        self.newest.pop(key, None)
        if len(record) > split:
            self.newest[key] = (self.end_offset, record[split:])
