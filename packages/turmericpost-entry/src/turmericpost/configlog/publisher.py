"""Publishes configuration changes to the store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from uuid import uuid4

from result import Err, Ok, Result

from turmericpost.configlog.follower import ConfigurationFollower
from turmericpost.configlog.snapshots import SnapshotWriter
from turmericpost.store.errors import append_had_no_effect
from turmericpost.store.record_log import RecordLog
from turmericpost_core.clock import Clock
from turmericpost_core.config.apply_records import EvaluatedChange, find_change
from turmericpost_core.config.decode import document_to_mapping
from turmericpost_core.config.document import Document
from turmericpost_core.config.records import (
    ConfigurationRecord,
    RecordKind,
    encode_record,
)

_MAX_READS = 10


class PublishErrorKind(Enum):
    """Why it is not known whether a published change was accepted."""

    NOT_ACCEPTED = 'not-accepted'
    UNSETTLED = 'unsettled'


@dataclass(frozen=True)
class PublishError:
    """A change that the store did not accept or did not confirm.

    After ``UNSETTLED`` the change may still have taken effect. If so, the
    history shows it once the store can be read again.
    """

    kind: PublishErrorKind
    change_id: str
    detail: str


class Publisher:
    """Appends a change to the log once and reads the log for its verdict."""

    def __init__(
        self,
        log: RecordLog,
        stream: str,
        follower: ConfigurationFollower,
        clock: Clock,
        snapshots: SnapshotWriter,
    ) -> None:
        self._log = log
        self._stream = stream
        self._follower = follower
        self._clock = clock
        self._snapshots = snapshots

    async def publish(
        self,
        document: Document,
        base_revision: int,
        author: str,
    ) -> Result[EvaluatedChange, PublishError]:
        """Publish a document as a change to the base revision.

        Returns the verdict on the change. If the log has lost records, a
        snapshot is written to it first, so that every reader knows the base
        revision.
        """
        if self._follower.has_gap:
            return Err(_not_accepted('records expired unread; wait for a peer'))
        if self._follower.log_status.has_lost_records:
            if not await self._snapshots.write_if_due():
                return Err(_not_accepted('the log takes no snapshot'))
        if base_revision > self._follower.configuration.revision:
            return Err(_not_accepted('no such base revision'))
        change_id = uuid4().hex
        record = ConfigurationRecord(
            kind=RecordKind.CHANGE,
            base_revision=base_revision,
            change_id=change_id,
            author=author,
            published_at_utc=self._clock.utc_now(),
            document=document_to_mapping(document),
        )
        appended = await self._log.append(self._stream, encode_record(record))
        if append_had_no_effect(appended):
            detail = appended.unwrap_err().detail
            kind = PublishErrorKind.NOT_ACCEPTED
            return Err(PublishError(kind, change_id, detail))
        return await self._await_verdict(
            change_id, is_appended=appended.is_ok()
        )

    async def _await_verdict(
        self,
        change_id: str,
        *,
        is_appended: bool,
    ) -> Result[EvaluatedChange, PublishError]:
        """Read the stream until the verdict on a change is known.

        After a lost response, the change is never appended a second time.
        """
        for _ in range(_MAX_READS):
            read_succeeded = await self._follower.read_once(0)
            change = find_change(self._follower.configuration, change_id)
            if change is not None:
                return Ok(change)
            if read_succeeded and not is_appended:
                return Err(_change_not_found(change_id))
        kind = PublishErrorKind.UNSETTLED
        return Err(PublishError(kind, change_id, 'store not readable'))


def _not_accepted(detail: str) -> PublishError:
    return PublishError(PublishErrorKind.NOT_ACCEPTED, '', detail)


def _change_not_found(change_id: str) -> PublishError:
    return PublishError(
        PublishErrorKind.UNSETTLED,
        change_id,
        'the store lost its answer and does not show the change',
    )
