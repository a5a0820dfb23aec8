"""Writes snapshots of the configuration to the store."""

from __future__ import annotations

from datetime import timedelta

from turmericpost.configlog.follower import ConfigurationFollower
from turmericpost.observe.events import LogEvent, log_event
from turmericpost.store.record_log import RecordLog
from turmericpost_core.clock import Clock
from turmericpost_core.config.records import encode_record
from turmericpost_core.config.snapshots import (
    snapshot_is_due,
    snapshot_record,
)


class SnapshotWriter:
    """Appends a snapshot when one is due."""

    def __init__(
        self,
        log: RecordLog,
        stream: str,
        follower: ConfigurationFollower,
        clock: Clock,
        interval: timedelta,
    ) -> None:
        self._log = log
        self._stream = stream
        self._follower = follower
        self._clock = clock
        self._interval = interval

    async def write_if_due(self) -> bool:
        """Write a due snapshot; return false only if that failed."""
        return await self.write(self._interval.total_seconds())

    async def write(self, interval_s: float) -> bool:
        """Write a snapshot unless there is one younger than the interval.

        A VM with a gap writes none: it does not know what it missed.
        """
        follower = self._follower
        if follower.has_gap:
            return True
        now_utc = self._clock.utc_now()
        is_due = snapshot_is_due(
            follower.configuration,
            follower.standing,
            now_utc,
            timedelta(seconds=interval_s),
        )
        record = snapshot_record(
            follower.configuration,
            follower.folded_offset,
            now_utc,
        )
        if not (is_due and follower.has_caught_up) or record is None:
            return True
        appended = await self._log.append(self._stream, encode_record(record))
        if appended.is_err():
            return False
        log_event(LogEvent.SNAPSHOT_WRITTEN, revision=record.base_revision)
        follower.note_snapshot(record)
        return True
