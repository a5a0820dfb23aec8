"""One partition of a topic: its records, producers and expiry of records."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

_REMEMBERED_APPENDS_PER_PRODUCER = 5
_CONFLICT = 409
_CONDITION_FAILED = 412


@dataclass(frozen=True)
class AppendResult:
    """Result of a successful append.

    ``offset`` is that of the first record appended, ``end_offset`` that of the
    next record to come.
    """

    offset: int
    end_offset: int


@dataclass(frozen=True)
class AppendRejection:
    """Result of a rejected append: status and body of the HTTP response."""

    status: int
    body: dict[str, object]


@dataclass(frozen=True)
class ProducerSequence:
    """Identifies one append of a producer, so that retries are recognised.

    ``epoch`` is the producer's; ``number`` counts the appends in that epoch.
    """

    producer: str
    epoch: int
    number: int


@dataclass
class _ProducerState:
    epoch: int
    last_append_number: int | None = None
    recent_appends: deque[tuple[int, AppendResult]] = field(
        default_factory=lambda: deque(maxlen=_REMEMBERED_APPENDS_PER_PRODUCER),
    )


@dataclass(frozen=True)
class StoredRecord:
    """A record and the time at which it was appended."""

    record: bytes
    appended_s: float


class Partition:
    """Records of one partition, with consecutive offsets.

    The records before ``first_offset`` were dropped. ``latest_by_key`` maps each
    key to the offset and the value of its latest record.
    """

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[StoredRecord] = []
        self.latest_by_key: dict[bytes, tuple[int, bytes]] = {}
        self._producers: dict[str, _ProducerState] = {}

    @property
    def end_offset(self) -> int:
        """Offset of the next record."""
        return self.first_offset + len(self.records)

    def append(
        self,
        records: list[bytes],
        now_s: float,
        expected_end: int | None = None,
        sequence: ProducerSequence | None = None,
    ) -> AppendResult | AppendRejection:
        """Append all records, or none if the append is rejected.

        With ``expected_end``, the append is rejected unless the partition ends at
        that offset. With ``sequence``, a retry of an earlier append changes
        nothing and returns the earlier result.
        """
        checked = self._check_sequence(sequence)
        if checked is not None:
            return checked
        if expected_end is not None and expected_end != self.end_offset:
            return AppendRejection(_CONDITION_FAILED, {'End': self.end_offset})
        appended = AppendResult(self.end_offset, self.end_offset + len(records))
        for record in records:
            self._update_latest(record)
            self.records.append(StoredRecord(record, now_s))
        if sequence is not None and records:
            producer = self._producers[sequence.producer]
            producer.last_append_number = sequence.number
            producer.recent_appends.append((sequence.number, appended))
        return appended

    def trim(self, before_offset: int) -> None:
        """Drop the records before an offset."""
        dropped_count = max(
            0, min(before_offset, self.end_offset) - self.first_offset
        )
        self.records = self.records[dropped_count:]
        self.first_offset += dropped_count

    def expire(self, older_than_s: float) -> None:
        """Drop the records appended before a time, as the store does by age."""
        is_recent = [
            stored.appended_s >= older_than_s for stored in self.records
        ]
        index = is_recent.index(True) if any(is_recent) else len(is_recent)
        self.trim(self.first_offset + index)

    def _check_sequence(
        self, sequence: ProducerSequence | None
    ) -> AppendResult | AppendRejection | None:
        """Check an append against the last appends of its producer.

        Returns the earlier result for a retry, a rejection for an old epoch or a
        gap in the numbers, and ``None`` if the append may go on.
        """
        if sequence is None:
            return None
        producer_state = self._producers.get(sequence.producer)
        if producer_state is None or sequence.epoch > producer_state.epoch:
            self._producers[sequence.producer] = _ProducerState(sequence.epoch)
            return None
        if sequence.epoch < producer_state.epoch:
            return AppendRejection(_CONFLICT, {'why': 'fenced'})
        for number, appended in producer_state.recent_appends:
            if number == sequence.number:
                return appended
        last = producer_state.last_append_number
        if last is not None and sequence.number != last + 1:
            return AppendRejection(_CONFLICT, {'why': 'seq', 'Seq': last + 1})
        return None

    def _update_latest(self, record: bytes) -> None:
        """Update ``latest_by_key`` from a record.

        A record starts with one byte for the length of the key, then the key; a
        record without a value removes the key.
        """
        if not record:
            return
        key_end = 1 + record[0]
        key = record[1:key_end]
        self.latest_by_key.pop(key, None)
        if len(record) > key_end:
            self.latest_by_key[key] = (self.end_offset, record[key_end:])
