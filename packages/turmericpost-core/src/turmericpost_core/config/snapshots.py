"""When a snapshot of the configuration has to be written to the log.

A snapshot carries a revision over the end of retention, and over a log that
came back without its last records. Its content follows from the revision, so
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

_AUTHOR = 'turmericpost'


@dataclass(frozen=True)
class LogStanding:
    """What a reader of the log knows of the records kept there.

    ``is_behind`` means that the log has lost records of the revision in
    force.
    """

    last_snapshot_utc: datetime | None = None
    is_behind: bool = False


def snapshot_is_due(
    configuration: Configuration,
    standing: LogStanding,
    now_utc: datetime,
    interval: timedelta,
) -> bool:
    """Return whether the revision in force needs a snapshot now."""
    if configuration.document is None:
        return False
    last_utc = standing.last_snapshot_utc
    if standing.is_behind or last_utc is None:
        return True
    return now_utc - last_utc >= interval


def snapshot_record(
    configuration: Configuration,
    folded_offset: int,
    now_utc: datetime,
) -> ConfigurationRecord | None:
    """Return the snapshot of a configuration, ``None`` before the first."""
    if configuration.document is None:
        return None
    return ConfigurationRecord(
        kind=RecordKind.SNAPSHOT,
        base_revision=configuration.revision,
        change_id=f'snapshot-{configuration.revision}',
        author=_AUTHOR,
        published_at_utc=now_utc,
        document=document_to_mapping(configuration.document),
        folded_offset=folded_offset,
    )
