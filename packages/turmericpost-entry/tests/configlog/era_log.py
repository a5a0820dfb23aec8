"""A configuration log in a store that may return from a copy."""

from __future__ import annotations

from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

from result import Err, Ok, Result

from turmericpost.configlog.follower import ConfigurationFollower
from turmericpost.configlog.publisher import Publisher
from turmericpost.configlog.snapshots import SnapshotWriter
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost.store.record_log import LogBatch, LogRecord
from turmericpost_core.config.document import (
    BackendServer,
    Document,
    FailureDomain,
    Service,
)
from turmericpost_core.fleet.store_position import StorePosition, new_position

_START_UTC = datetime(2026, 12, 8, tzinfo=UTC)


def run_to_end(step: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never suspends and return its result."""
    try:
        step.send(None)
    except StopIteration as ended:
        return ended.value
    raise AssertionError('the coroutine waits')


class SetClock:
    """Clock that a test sets, in seconds."""

    def __init__(self) -> None:
        self.now_s = float(0)

    def monotonic_s(self) -> float:
        """Return the set time."""
        return self.now_s

    def utc_now(self) -> datetime:
        """Return the set time after a fixed start."""
        return _START_UTC + timedelta(seconds=self.now_s)


class EraLog:
    """In-memory log that keeps the store's rules on eras and offsets.

    A read from an offset that the log doesn't have is answered with the
    earliest one. With ``era`` ``None`` no response states an era. With
    ``is_away`` nothing is answered.
    """

    def __init__(self, era: int | None = 1) -> None:
        self.era = era
        self.is_away = False
        self.earliest_offset = 0
        self.records: list[bytes] = []

    @property
    def end_offset(self) -> int:
        """Offset that the next append will get."""
        return self.earliest_offset + len(self.records)

    async def append(
        self, stream: str, record: bytes
    ) -> Result[StorePosition, StoreError]:
        """Append a record."""
        if self.is_away:
            return Err(StoreError(StoreErrorKind.NOT_SENT, 'away'))
        self.records.append(record)
        return Ok(new_position(self.era, self.end_offset - 1))

    async def read(
        self, stream: str, from_offset: int, wait_s: float
    ) -> Result[LogBatch, StoreError]:
        """Return all records from an offset on."""
        if self.is_away:
            return Err(StoreError(StoreErrorKind.NOT_SENT, 'away'))
        if not self.earliest_offset <= from_offset <= self.end_offset:
            kind = StoreErrorKind.EXPIRED
            return Err(StoreError(kind, '410', self.earliest_offset, self.era))
        log_records = tuple(
            LogRecord(offset, self.records[offset - self.earliest_offset])
            for offset in range(from_offset, self.end_offset)
        )
        return Ok(LogBatch(log_records, self.end_offset, self.era))

    def expire_before(self, offset: int) -> None:
        """Drop the records before an offset."""
        self.records = self.records[offset - self.earliest_offset :]
        self.earliest_offset = offset

    def return_without_last(self, lost_count: int) -> None:
        """Return from a copy that lacks the last records."""
        self.records = self.records[: len(self.records) - lost_count]
        if self.era is not None:
            self.era += 1


class LogVm:
    """The configuration of one VM, read from a log and published to it."""

    def __init__(self, log: EraLog, clock: SetClock) -> None:
        self.reported_revisions: list[int] = []
        self.follower = ConfigurationFollower(
            None,
            log,
            'stream',
            lambda current: self.reported_revisions.append(current.revision),
        )
        self.snapshots = SnapshotWriter(
            log, 'stream', self.follower, clock, timedelta(hours=1)
        )
        self.publisher = Publisher(
            log, 'stream', self.follower, clock, self.snapshots
        )

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self.follower.configuration.revision

    def read(self, count: int = 4) -> None:
        """Read from the log a few times."""
        for _ in range(count):
            run_to_end(self.follower.read_once(0))

    def publish(self, port: int, base_revision: int | None = None) -> Any:
        """Publish a document with one backend server on a port."""
        base = self.revision if base_revision is None else base_revision
        return run_to_end(
            self.publisher.publish(document_with(port), base, 'amal')
        )


def document_with(port: int) -> Document:
    """Return a document with one backend server on a port."""
    server = BackendServer('10.0.0.1', port, 'pressroom', 'cairo-a')
    return Document(
        failure_domains=(FailureDomain('cairo-a', 'cairo'),),
        services=(Service('pressroom', slots=3),),
        backend_servers=(server,),
    )
