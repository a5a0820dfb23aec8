"""Reads the configuration stream and applies its records."""

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
    apply_record,
    has_unknown_base,
    newer_configuration,
)
from turmericpost_core.config.records import (
    ConfigurationRecord,
    RecordKind,
    decode_record,
)
from turmericpost_core.config.snapshots import LogStatus
from turmericpost_core.fleet.store_position import (
    START,
    StorePosition,
    new_position,
)

_POLL_TIMEOUT_S = 5
_RETRY_DELAY_S = 0.5

ConfigurationListener: TypeAlias = Callable[[Configuration], None]
SleepFunction: TypeAlias = Callable[[float], Awaitable[Any]]


def _ignore_going_back() -> None:
    """Ignore that the log has lost records."""


class ConfigurationFollower:
    """Keeps the configuration up to date from the log and from peers.

    ``on_change`` is called with each new revision. Records of the log are
    reported only after the log has been read to its end once, because the
    revisions before it are outdated.

    If the store returns from an older copy, the log is read again from its
    start. The revision in force is kept, and ``log_status`` says that the log
    may lack it until a snapshot has it.
    """

    def __init__(
        self,
        reactor: Any,
        log: RecordLog,
        stream: str,
        on_change: ConfigurationListener,
    ) -> None:
        self.configuration = Configuration()
        self.has_caught_up = False
        self.log_status = LogStatus()
        self._reactor = reactor
        self._log = log
        self._stream = stream
        self._on_change = on_change
        self._went_back_listener: Callable[[], object] = _ignore_going_back
        self._next = START
        self._replay_end_offset: int | None = None
        self._has_gap = False
        self._gap_end_offset = 0
        self._is_reachable = True
        self._is_stopped = False

    def on_went_back(self, listener: Callable[[], object]) -> None:
        """Call ``listener`` when the log has lost its latest records.

        It is also called by the first read after failed ones, since the log may
        have lost records while this VM could not read it.
        """
        self._went_back_listener = listener

    def stop(self) -> None:
        """Stop ``run`` after its current read or pause."""
        self._is_stopped = True

    async def run(self) -> None:
        """Read the stream until stopped; pause after failed reads."""
        while not self._is_stopped:
            await self.read_once(_POLL_TIMEOUT_S)
            if not self._is_reachable:
                await deferLater(self._reactor, _RETRY_DELAY_S)

    async def read_once(self, wait_s: float) -> bool:
        """Read new records and apply them; return whether the read succeeded.

        Waits up to ``wait_s`` seconds for new records once the end of the log
        has been reached.
        """
        wait_s = wait_s if self.has_caught_up else 0
        begin = self._next
        batch = await self._log.read(self._stream, begin.offset, wait_s)
        if self._has_gone_back_from(begin):
            return batch.is_ok()
        if batch.is_ok():
            self._mark_reachable()
            self._process_batch(batch.unwrap())
            return True
        self._handle_error(batch.unwrap_err())
        return False

    @property
    def has_gap(self) -> bool:
        """Whether records expired before they were read.

        Changes can't be applied until a snapshot covers the missing records.
        """
        return self._has_gap

    @property
    def is_reachable(self) -> bool:
        """Whether the last read succeeded; true before the first one."""
        return self._is_reachable

    @property
    def era(self) -> int | None:
        """Era of the store in which the log is read, if it is known."""
        return self._next.era

    @property
    def folded_offset(self) -> int:
        """Offset of the next record to read; all earlier ones are applied."""
        return self._next.offset

    def adopt(self, received: Configuration) -> None:
        """Adopt the configuration of a peer if its revision is higher.

        The read offset is not changed, because the peer's offset may refer to
        a log that has been lost since.
        """
        newer = newer_configuration(self.configuration, received)
        if newer is self.configuration:
            return
        log_event(LogEvent.REVISION_FROM_PEER, revision=newer.revision)
        self.configuration = newer
        self._on_change(newer)

    def record_snapshot(self, record: ConfigurationRecord) -> None:
        """Update the log status after a snapshot was read or written."""
        if record.kind is not RecordKind.SNAPSHOT:
            return
        if record.base_revision >= self.configuration.revision:
            self.log_status = LogStatus(record.published_at_utc)

    def _process_batch(self, batch: LogBatch) -> None:
        if self._next == START:
            self._next = new_position(batch.era, 0)
        is_same_log = self._next.is_of_era(batch.era)
        if batch.end_offset < self._next.offset or not is_same_log:
            self._go_back(batch.era, 0, batch.end_offset)
            return
        for record in batch.records:
            self._next = new_position(batch.era, record.offset + 1)
            self._apply(record)
            if self._next.offset <= record.offset:
                return
        if self._next.offset >= batch.end_offset:
            self._mark_caught_up()

    def _has_gone_back_from(self, begin: StorePosition) -> bool:
        """Return whether the log has been found to be another one meanwhile."""
        is_same_log = begin == START or self._next.is_of_era(begin.era)
        return not is_same_log or self._next.offset < begin.offset

    def _go_back(
        self, era: int | None, earliest_offset: int, end_offset: int | None
    ) -> None:
        """Begin to read again a log that has lost its latest records.

        Of the records before the last one read, those that expire meanwhile are
        not missed.
        """
        log_event(
            LogEvent.LOG_WENT_BACK,
            wanted=self._next.offset,
            end=end_offset,
            old_era=self._next.era,
            era=era,
        )
        was_read = 0 if self._has_gap else self._next.offset
        self._replay_end_offset = max(self._replay_end_offset or 0, was_read)
        self._has_gap = False
        self.log_status = LogStatus(has_lost_records=True)
        self._next = new_position(era, 0)
        self._skip_expired(earliest_offset)
        self._went_back_listener()

    def _skip_expired(self, earliest_offset: int) -> None:
        """Continue at the earliest record that the log still has."""
        if earliest_offset > (self._replay_end_offset or 0):
            self._start_gap(earliest_offset)
        self._next = new_position(self._next.era, earliest_offset)

    def _start_gap(self, gap_end_offset: int) -> None:
        self._has_gap = True
        self._gap_end_offset = gap_end_offset

    def _try_close_gap(self, record: ConfigurationRecord, offset: int) -> bool:
        """End the gap if a snapshot covers all missing records; return whether.

        Reading then continues at the first record that the snapshot does not
        cover, so that no change is left out. A snapshot of records that come
        after it was made of a log that has been lost since.
        """
        if record.kind is not RecordKind.SNAPSHOT:
            return False
        if record.base_revision < self.configuration.revision:
            return False
        if not self._gap_end_offset <= record.folded_offset <= offset:
            return False
        self._has_gap = False
        self._next = new_position(self._next.era, record.folded_offset)
        return True

    def _mark_caught_up(self) -> None:
        """Report the configuration once the log has been read to its end."""
        self._replay_end_offset = None
        if not self.has_caught_up:
            self.has_caught_up = True
            self._on_change(self.configuration)

    def _apply(self, record: LogRecord) -> None:
        decoded = decode_record(record.record)
        if decoded.is_err():
            log_event(
                LogEvent.RECORD_MALFORMED,
                offset=record.offset,
                detail=decoded.unwrap_err().detail,
            )
            return
        previous_configuration = self.configuration
        if (
            has_unknown_base(previous_configuration, decoded.unwrap())
            and not self.has_gap
        ):
            self._start_gap(record.offset)
        if self.has_gap and not self._try_close_gap(
            decoded.unwrap(), record.offset
        ):
            return
        if self._was_evaluated(decoded.unwrap()):
            return
        self.record_snapshot(decoded.unwrap())
        updated_configuration = apply_record(
            previous_configuration, decoded.unwrap()
        )
        self._log_refused_change(previous_configuration, updated_configuration)
        self.configuration = updated_configuration
        if (
            self.has_caught_up
            and updated_configuration.revision > previous_configuration.revision
        ):
            self._on_change(updated_configuration)

    def _was_evaluated(self, record: ConfigurationRecord) -> bool:
        """Return whether a change read again may have been evaluated before.

        Its verdict can't be found again from the revision in force.
        """
        return (
            self._replay_end_offset is not None
            and record.kind is RecordKind.CHANGE
            and record.base_revision < self.configuration.revision
        )

    def _log_refused_change(
        self,
        previous_configuration: Configuration,
        new_configuration: Configuration,
    ) -> None:
        if (
            previous_configuration.history == new_configuration.history
            or not new_configuration.history
        ):
            return
        change = new_configuration.history[-1]
        if change.verdict is not ChangeVerdict.ACCEPTED:
            log_event(
                LogEvent.CHANGE_REFUSED,
                change_id=change.change_id,
                verdict=change.verdict.value,
            )

    def _mark_reachable(self) -> None:
        if not self._is_reachable:
            if self._next == START:
                self._went_back_listener()
            log_event(LogEvent.LOG_REACHABLE)
        self._is_reachable = True

    def _handle_error(self, error: StoreError) -> None:
        if error.kind is StoreErrorKind.EXPIRED:
            self._mark_reachable()
            self._handle_expired(error)
            return
        if self._is_reachable:
            log_event(LogEvent.LOG_UNREACHABLE, detail=error.detail)
        self._is_reachable = False

    def _handle_expired(self, error: StoreError) -> None:
        """Continue at the earliest record.

        If it comes before the one wanted, or is of another era, the log has
        lost records.
        """
        if self._next == START:
            self._next = new_position(error.era, 0)
        is_same_log = self._next.is_of_era(error.era)
        if error.earliest_offset < self._next.offset or not is_same_log:
            self._go_back(error.era, error.earliest_offset, None)
            return
        log_event(
            LogEvent.LOG_EXPIRED,
            wanted=self._next.offset,
            earliest=error.earliest_offset,
        )
        self._skip_expired(error.earliest_offset)
