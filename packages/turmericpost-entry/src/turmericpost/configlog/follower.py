"""Follows the configuration stream and keeps the fold of it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

from twisted.internet.task import deferLater

from turmericpost.observe.events import LogEvent, log_event
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost.store.record_log import LogBatch, LogRecord, RecordLog
from turmericpost_core.config.apply_records import (
    ChangeVerdict,
    Configuration,
    fold_record,
    lacks_records,
    newer_of,
)
from turmericpost_core.config.records import (
    ConfigurationRecord,
    RecordKind,
    decode_record,
)
from turmericpost_core.config.snapshots import LogStanding

_POLL_S = 5
_RETRY_S = 0.5

ConfigurationListener: TypeAlias = Callable[[Configuration], None]
Sleep: TypeAlias = Callable[[float], Awaitable[Any]]


class ConfigurationFollower:
    """The configuration in force, from the log and from peers."""

    def __init__(
        self,
        reactor: Any,
        log: RecordLog,
        stream: str,
        on_change: ConfigurationListener,
    ) -> None:
        self.configuration = Configuration()
        self.has_caught_up = False
        self.standing = LogStanding()
        self._reactor = reactor
        self._log = log
        self._stream = stream
        self._on_change = on_change
        self._next_offset = 0
        self._has_gap = False
        self._gap_ends_at = 0
        self._is_reachable = True
        self._is_stopped = False

    def stop(self) -> None:
        """End ``run`` at its next step."""
        self._is_stopped = True

    async def run(self) -> None:
        """Follow the stream until stopped."""
        while not self._is_stopped:
            await self.read_once(_POLL_S)
            if not self._is_reachable:
                await deferLater(self._reactor, _RETRY_S)

    async def read_once(self, wait_s: float) -> bool:
        """Read and fold what is there; return whether the log answered."""
        wait_s = wait_s if self.has_caught_up else 0
        batch = await self._log.read(self._stream, self._next_offset, wait_s)
        if batch.is_ok():
            self._record_reachable()
            self._take(batch.unwrap())
            return True
        self._record_error(batch.unwrap_err())
        return False

    @property
    def has_gap(self) -> bool:
        """Whether records expired unread: changes can't be judged."""
        return self._has_gap

    @property
    def folded_offset(self) -> int:
        """Offset before which every record is folded."""
        return self._next_offset

    def adopt(self, offered: Configuration) -> None:
        """Take a newer configuration from a peer.

        The offset stays: the peer's may belong to a log that was lost since.
        """
        newer = newer_of(self.configuration, offered)
        if newer is self.configuration:
            return
        log_event(LogEvent.REVISION_FROM_PEER, revision=newer.revision)
        self.configuration = newer
        self._on_change(newer)

    def note_snapshot(self, record: ConfigurationRecord) -> None:
        """Take note of a snapshot that the log holds."""
        if record.kind is not RecordKind.SNAPSHOT:
            return
        if record.base_revision >= self.configuration.revision:
            self.standing = LogStanding(record.published_at_utc)

    def _take(self, batch: LogBatch) -> None:
        if batch.end_offset < self._next_offset:
            log_event(
                LogEvent.LOG_WENT_BACK,
                wanted=self._next_offset,
                end=batch.end_offset,
            )
            self._next_offset = 0
            self.standing = LogStanding(is_behind=True)
            return
        for record in batch.records:
            self._next_offset = record.offset + 1
            self._fold(record)
            if self._next_offset <= record.offset:
                return
        if self._next_offset >= batch.end_offset:
            self._note_caught_up()

    def _open_gap(self, ends_at: int) -> None:
        self._has_gap = True
        self._gap_ends_at = ends_at

    def _closes_gap(self, record: ConfigurationRecord) -> bool:
        """Return whether a snapshot holds all that was missed.

        Records after those that it holds are then read again.
        """
        if record.kind is not RecordKind.SNAPSHOT:
            return False
        if record.base_revision < self.configuration.revision:
            return False
        if record.folded_offset < self._gap_ends_at:
            return False
        self._has_gap = False
        self._next_offset = record.folded_offset
        return True

    def _note_caught_up(self) -> None:
        """Put nothing in force before the end: older revisions are past."""
        if not self.has_caught_up:
            self.has_caught_up = True
            self._on_change(self.configuration)

    def _fold(self, record: LogRecord) -> None:
        decoded = decode_record(record.record)
        if decoded.is_err():
            log_event(
                LogEvent.RECORD_MALFORMED,
                offset=record.offset,
                detail=decoded.unwrap_err().detail,
            )
            return
        before = self.configuration
        if lacks_records(before, decoded.unwrap()) and not self.has_gap:
            self._open_gap(record.offset)
        if self.has_gap and not self._closes_gap(decoded.unwrap()):
            return
        self.note_snapshot(decoded.unwrap())
        folded = fold_record(before, decoded.unwrap())
        self._log_refusal(before, folded)
        self.configuration = folded
        if self.has_caught_up and folded.revision > before.revision:
            self._on_change(folded)

    def _log_refusal(self, before: Configuration, after: Configuration) -> None:
        if before.history == after.history or not after.history:
            return
        change = after.history[-1]
        if change.verdict is not ChangeVerdict.ACCEPTED:
            log_event(
                LogEvent.CHANGE_REFUSED,
                change_id=change.change_id,
                verdict=change.verdict.value,
            )

    def _record_reachable(self) -> None:
        if not self._is_reachable:
            log_event(LogEvent.LOG_REACHABLE)
        self._is_reachable = True

    def _record_error(self, error: StoreError) -> None:
        if error.kind is StoreErrorKind.EXPIRED:
            log_event(
                LogEvent.LOG_EXPIRED,
                wanted=self._next_offset,
                earliest=error.earliest_offset,
            )
            self._next_offset = error.earliest_offset
            self._open_gap(error.earliest_offset)
            return
        if self._is_reachable:
            log_event(LogEvent.LOG_UNREACHABLE, detail=error.detail)
        self._is_reachable = False
