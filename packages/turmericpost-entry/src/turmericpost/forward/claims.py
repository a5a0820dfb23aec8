"""Claims in the store on operation keys that have no VM prefix."""

from __future__ import annotations

from dataclasses import dataclass
from uuid import uuid4

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from turmericpost.observe.events import LogEvent, log_event, log_failure
from turmericpost.store.errors import (
    StoreError,
    StoreErrorKind,
    append_had_no_effect,
)
from turmericpost.store.record_log import LogRecord, RecordLog
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.membership.vm_records import VmRecord
from turmericpost_core.operations.claim_eras import ClaimEras, WrittenClaim
from turmericpost_core.operations.claims import (
    OperationClaim,
    claim_stream_name,
    decode_claim,
    encode_claim,
)
from turmericpost_core.operations.keys import KeyOwner, vm_digest
from turmericpost_core.operations.table import OperationId
from turmericpost_core.outcome.reasons import RefusalReason


@dataclass(frozen=True)
class ClaimedKey:
    """Owner of a key.

    ``is_new`` is true if this call made the first claim on the key.
    """

    owner: KeyOwner
    is_new: bool


class KeyClaims:
    """Claims operation keys.

    The first claim in the stream of a key decides who owns the key. When the
    store returns from a copy, this VM writes its latest claims again and, for a
    time, makes no new ones, since other VMs write theirs again.
    """

    def __init__(self, log: RecordLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._eras = ClaimEras()
        self._is_rewriting = False

    def era_stated(self, era: int | None, *, was_away: bool = False) -> None:
        """Note the era that a response of the store states, if any.

        ``was_away`` tells that the store did not respond before.
        """
        now_s = self._clock.monotonic_s()
        if self._eras.record_era(era, now_s, was_away=was_away):
            log_event(
                LogEvent.CLAIMS_HELD,
                era=era,
                to_write=len(self._eras.unwritten),
            )
        if self._eras.unwritten and not self._is_rewriting:
            self._is_rewriting = True
            rewriting = Deferred.fromCoroutine(self._write_again())
            rewriting.addErrback(log_failure)
            rewriting.addBoth(self._rewriting_ended)

    async def claim(
        self,
        operation_id: OperationId,
        own_record: VmRecord,
    ) -> Result[ClaimedKey, RefusalReason]:
        """Claim a key and return its owner, or why the key can't be used.

        If the append is not known to be the first claim, the first claim is
        read from the store.
        """
        stream = claim_stream_name(operation_id)
        now_s = self._clock.monotonic_s()
        if self._eras.is_held(now_s):
            return await self._read_first_claim(stream, '')
        claim = OperationClaim(
            vm_digest=vm_digest(own_record.identity.name),
            incarnation=own_record.incarnation,
            claimed_s=int(self._clock.utc_now().timestamp()),
            claim_id=uuid4().hex,
        )
        record = encode_claim(claim)
        self._eras.begin_claim(claim.claim_id, now_s)
        appended = await self._log.append(stream, record)
        self._note_era(appended)
        if append_had_no_effect(appended):
            self._eras.end_claim(claim.claim_id)
            return Err(RefusalReason.KEY_CLAIM_UNAVAILABLE)
        if appended.is_ok():
            position = appended.unwrap()
            if not self._eras.is_current(position.era):
                self._eras.make_void(claim.claim_id)
            if position.offset == 0 and not self._eras.is_void(claim.claim_id):
                self._confirm(claim, stream, record)
                return Ok(_claimed_key(claim, is_new=True))
        first = await self._read_first_claim(stream, claim.claim_id)
        if appended.is_ok() and first.is_ok():
            self._eras.end_claim(claim.claim_id)
        return first

    async def _read_first_claim(
        self,
        stream: str,
        own_claim_id: str,
    ) -> Result[ClaimedKey, RefusalReason]:
        batch = await self._log.read(stream, 0, 0)
        if batch.is_err():
            error = batch.unwrap_err()
            self.era_stated(error.era)
            if error.kind is StoreErrorKind.EXPIRED:
                return Err(RefusalReason.KEY_TOO_OLD)
            return Err(RefusalReason.KEY_CLAIM_UNAVAILABLE)
        self.era_stated(batch.unwrap().era)
        if not self._eras.is_current(batch.unwrap().era):
            return Err(RefusalReason.KEY_CLAIM_UNAVAILABLE)
        return self._first_valid(stream, batch.unwrap().records, own_claim_id)

    def _first_valid(
        self,
        stream: str,
        records: tuple[LogRecord, ...],
        own_claim_id: str,
    ) -> Result[ClaimedKey, RefusalReason]:
        """Return the first claim but those of this VM that don't count."""
        for log_record in records:
            decoded = decode_claim(log_record.record)
            if decoded.is_err():
                return Err(RefusalReason.KEY_OWNER_LOST)
            claim = decoded.unwrap()
            if not self._eras.is_void(claim.claim_id):
                self._confirm(claim, stream, log_record.record)
                is_new = claim.claim_id == own_claim_id
                return Ok(_claimed_key(claim, is_new=is_new))
        return Err(RefusalReason.KEY_CLAIM_UNAVAILABLE)

    def _confirm(
        self, claim: OperationClaim, stream: str, record: bytes
    ) -> None:
        now_s = self._clock.monotonic_s()
        self._eras.confirm(WrittenClaim(claim.claim_id, stream, record, now_s))

    def _note_era(self, appended: Result[StorePosition, StoreError]) -> None:
        if appended.is_ok():
            self.era_stated(appended.unwrap().era)
        else:
            self.era_stated(appended.unwrap_err().era)

    async def _write_again(self) -> None:
        """Write claims again until one fails; the next response resumes it."""
        while self._eras.unwritten:
            claim = self._eras.unwritten[0]
            appended = await self._log.append(claim.stream, claim.record)
            self._note_era(appended)
            if appended.is_err():
                return
            if not self._eras.is_current(appended.unwrap().era):
                return
            self._eras.rewritten(claim, self._clock.monotonic_s())

    def _rewriting_ended(self, _outcome: object) -> None:
        self._is_rewriting = False


def _claimed_key(claim: OperationClaim, *, is_new: bool) -> ClaimedKey:
    owner = KeyOwner(claim.vm_digest, claim.incarnation, claim.claimed_s)
    return ClaimedKey(owner, is_new)
