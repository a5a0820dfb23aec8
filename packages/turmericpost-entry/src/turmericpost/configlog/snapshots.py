"""Writes snapshots of the configuration to the store."""

from __future__ import annotations

from datetime import timedelta

from turmericpost.configlog.follower import ConfigurationFollower
from turmericpost.observe.events import LogEvent, log_event
from turmericpost.store.record_log import RecordLog
from turmericpost_core.clock import Clock
from turmericpost_core.config.records import encode_record
from turmericpost_core.config.snapshots import (
    new_snapshot_record,
    snapshot_is_due,
)


class SnapshotWriter:
    """Appends a snapshot to the log when one is due."""

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
        self._snapshot_interval = interval

    async def write_if_due(self) -> bool:
        """Write a snapshot if one is due.

        Returns false only if writing fails.
        """
        return await self.write(self._snapshot_interval.total_seconds())

    async def write(self, interval_s: float) -> bool:
        """Write a snapshot unless the latest is younger than ``interval_s``.

        A VM that lacks records writes none, as its revision may be outdated.
        Returns false only if writing fails.
        """
        follower = self._follower
        if follower.has_gap:
            return True
        now_utc = self._clock.utc_now()
        is_due = snapshot_is_due(
            follower.configuration,
            follower.log_status,
            now_utc,
            timedelta(seconds=interval_s),
        )
        record = new_snapshot_record(
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
        follower.record_snapshot(record)
        return True
