"""Decide when to write a configuration snapshot to the log, and build it.

A snapshot keeps a revision available after its records expired, and after the
log lost its latest records. Its content depends only on the revision, so
writing it twice does no harm.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from turmericpost_core.config.apply_records import Configuration
from turmericpost_core.config.decode import document_to_mapping
from turmericpost_core.config.records import (
    ConfigurationRecord,
    RecordKind,
)

_SNAPSHOT_AUTHOR = 'turmericpost'


@dataclass(frozen=True)
class LogStatus:
    """State of the configuration log as its reader knows it.

    ``has_lost_records`` means that the log no longer has records that are
    part of the revision in force.
    """

    last_snapshot_utc: datetime | None = None
    has_lost_records: bool = False


def snapshot_is_due(
    configuration: Configuration,
    log_status: LogStatus,
    now_utc: datetime,
    interval: timedelta,
) -> bool:
    """Return whether a snapshot of the revision in force has to be written."""
    if configuration.document is None:
        return False
    last_written_utc = log_status.last_snapshot_utc
    if log_status.has_lost_records or last_written_utc is None:
        return True
    return now_utc - last_written_utc >= interval


def new_snapshot_record(
    configuration: Configuration,
    folded_offset: int,
    now_utc: datetime,
) -> ConfigurationRecord | None:
    """Return a snapshot record, ``None`` if no revision is in force yet."""
    if configuration.document is None:
        return None
    return ConfigurationRecord(
        kind=RecordKind.SNAPSHOT,
        base_revision=configuration.revision,
        change_id=f'snapshot-{configuration.revision}',
        author=_SNAPSHOT_AUTHOR,
        published_at_utc=now_utc,
        document=document_to_mapping(configuration.document),
        folded_offset=folded_offset,
    )
