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
from turmericpost_core.fleet.store_position import StorePosition

RETURN_HOLD_S = 15.0
"""Seconds after the log lost records in which no change is published.

By then a VM that has a lost revision in force has written it to the log again.
"""

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
        self._held_until_s = float('-inf')
        follower.on_went_back(self._begin_hold)

    async def publish(
        self,
        document: Document,
        base_revision: int,
        author: str,
    ) -> Result[EvaluatedChange, PublishError]:
        """Publish a document as a change to the base revision.

        Returns the verdict on the change. If the log has lost records, none is
        accepted for a time, since a lost revision may have the number that the
        change would get. Then a snapshot is written to the log first, so that
        every reader knows the base revision.
        """
        obstacle = await self._find_obstacle(base_revision)
        if obstacle:
            return Err(_not_accepted(obstacle))
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
        if appended.is_ok() and not self._is_of_log(appended.unwrap()):
            return Err(_of_unread_era(change_id))
        return await self._await_verdict(
            change_id, is_appended=appended.is_ok()
        )

    async def _find_obstacle(self, base_revision: int) -> str:
        """Return why no change can be published now, or an empty string."""
        follower = self._follower
        if not await follower.read_once(0):
            return 'the store can not be read'
        if follower.has_gap:
            return 'records expired unread; wait for a peer'
        if self._clock.monotonic_s() < self._held_until_s:
            return 'the store has lost records; try again later'
        if follower.log_status.has_lost_records:
            if not await self._snapshots.write_if_due():
                return 'the log takes no snapshot'
        if base_revision > follower.configuration.revision:
            return 'no such base revision'
        return ''

    def _begin_hold(self) -> None:
        self._held_until_s = self._clock.monotonic_s() + RETURN_HOLD_S

    def _is_of_log(self, position: StorePosition) -> bool:
        return position.is_of_era(self._follower.era)

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


def _of_unread_era(change_id: str) -> PublishError:
    return PublishError(
        PublishErrorKind.UNSETTLED,
        change_id,
        'the store lost records before it took the change',
    )


def _change_not_found(change_id: str) -> PublishError:
    return PublishError(
        PublishErrorKind.UNSETTLED,
        change_id,
        'the store lost its answer and does not show the change',
    )
