"""Claims on operation keys that callers made themselves.

A claim is a record on a stream of its own for each key, so the first offset
decides who runs the key and nobody has to read the claims of others.
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
    """Who claims a key, and when; ``claim_id`` tells two tries apart."""

    vm_digest: str
    incarnation: int
    claimed_s: int
    claim_id: str


@dataclass(frozen=True)
class MalformedClaimError:
    """A claim that can't be decoded."""

    detail: str


_ADAPTER = TypeAdapter(OperationClaim)


def claim_stream_name(operation: OperationId) -> str:
    """Return the stream of the claims on an operation."""
    named = '\n'.join((operation.account, operation.service, operation.key))
    digest = sha256(named.encode('utf-8')).hexdigest()
    return f'{_STREAM_PREFIX}{digest}'


def encode_claim(claim: OperationClaim) -> bytes:
    """Return the claim as JSON."""
    return _ADAPTER.dump_json(claim)


def decode_claim(
    encoded: bytes,
) -> Result[OperationClaim, MalformedClaimError]:
    """Decode a claim from JSON."""
    try:
        return Ok(_ADAPTER.validate_json(encoded))
    except ValidationError as error:
        return Err(MalformedClaimError(str(error.errors()[0]['msg'])))
