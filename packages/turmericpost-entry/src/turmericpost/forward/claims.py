"""Claims in the store on operation keys that have no VM prefix."""

from __future__ import annotations

from dataclasses import dataclass
from uuid import uuid4

from result import Err, Ok, Result

from turmericpost.store.errors import StoreErrorKind, append_had_no_effect
from turmericpost.store.record_log import RecordLog
from turmericpost_core.clock import Clock
from turmericpost_core.membership.vm_records import VmRecord
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

    The first claim in the stream of a key decides who owns the key.
    """

    def __init__(self, log: RecordLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock

    async def claim(
        self,
        operation_id: OperationId,
        own_record: VmRecord,
    ) -> Result[ClaimedKey, RefusalReason]:
        """Claim a key and return its owner, or why the key can't be used.

        If the append is not known to be the first claim, the first claim is
        read from the store.
        """
        claim = OperationClaim(
            vm_digest=vm_digest(own_record.identity.name),
            incarnation=own_record.incarnation,
            claimed_s=int(self._clock.utc_now().timestamp()),
            claim_id=uuid4().hex,
        )
        stream = claim_stream_name(operation_id)
        appended = await self._log.append(stream, encode_claim(claim))
        if appended.is_ok() and appended.unwrap().offset == 0:
            return Ok(_claimed_key(claim, is_new=True))
        if append_had_no_effect(appended):
            return Err(RefusalReason.KEY_CLAIM_UNAVAILABLE)
        return await self._read_first_claim(stream, claim)

    async def _read_first_claim(
        self,
        stream: str,
        own_claim: OperationClaim,
    ) -> Result[ClaimedKey, RefusalReason]:
        batch = await self._log.read(stream, 0, 0)
        if batch.is_err():
            if batch.unwrap_err().kind is StoreErrorKind.EXPIRED:
                return Err(RefusalReason.KEY_TOO_OLD)
            return Err(RefusalReason.KEY_CLAIM_UNAVAILABLE)
        records = batch.unwrap().records
        if not records:
            return Err(RefusalReason.KEY_CLAIM_UNAVAILABLE)
        first = decode_claim(records[0].record)
        if first.is_err():
            return Err(RefusalReason.KEY_OWNER_LOST)
        claim = first.unwrap()
        is_new = claim.claim_id == own_claim.claim_id
        return Ok(_claimed_key(claim, is_new=is_new))


def _claimed_key(claim: OperationClaim, *, is_new: bool) -> ClaimedKey:
    owner = KeyOwner(claim.vm_digest, claim.incarnation, claim.claimed_s)
    return ClaimedKey(owner, is_new)
