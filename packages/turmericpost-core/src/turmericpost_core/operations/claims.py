"""Claims on operation keys that callers generated themselves.

Each key has its own stream in the store. The VM whose claim is the first
record of the stream runs the operation, and no VM has to read the claims on
other keys.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from turmericpost_core.operations.table import OperationId

_STREAM_PREFIX = 'turmericpost-operation-'


@dataclass(frozen=True)
class OperationClaim:
    """A VM's claim on a key; ``claim_id`` is unique for each claim."""

    vm_digest: str
    incarnation: int
    claimed_s: int
    claim_id: str


@dataclass(frozen=True)
class MalformedClaimError:
    """A claim that cannot be decoded."""

    detail: str


_CLAIM_ADAPTER = TypeAdapter(OperationClaim)


def claim_stream_name(operation: OperationId) -> str:
    """Return the name of the stream with the claims on an operation."""
    identity_text = '\n'.join(
        (operation.account, operation.service, operation.key)
    )
    digest = sha256(identity_text.encode('utf-8')).hexdigest()
    return f'{_STREAM_PREFIX}{digest}'


def encode_claim(claim: OperationClaim) -> bytes:
    """Encode a claim as JSON."""
    return _CLAIM_ADAPTER.dump_json(claim)


def decode_claim(
    encoded: bytes,
) -> Result[OperationClaim, MalformedClaimError]:
    """Decode a claim from JSON."""
    try:
        return Ok(_CLAIM_ADAPTER.validate_json(encoded))
    except ValidationError as error:
        return Err(MalformedClaimError(str(error.errors()[0]['msg'])))
