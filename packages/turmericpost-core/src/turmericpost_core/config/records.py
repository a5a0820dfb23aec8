"""Records of the configuration stream in the store."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import Any

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result


class RecordKind(Enum):
    """Whether a record is a change by an operator or a snapshot."""

    CHANGE = 'change'
    SNAPSHOT = 'snapshot'


@dataclass(frozen=True)
class ConfigurationRecord:
    """Change to the configuration, or snapshot of it.

    For a change, ``base_revision`` is the revision that its author edited.
    For a snapshot it is the revision of the snapshot, which includes every
    record before ``folded_offset``.
    """

    kind: RecordKind
    base_revision: int
    change_id: str
    author: str
    published_at_utc: datetime
    document: dict[str, Any]
    folded_offset: int = 0


@dataclass(frozen=True)
class MalformedRecordError:
    """A record of the stream that cannot be decoded."""

    detail: str


_RECORD_ADAPTER = TypeAdapter(ConfigurationRecord)


def encode_record(record: ConfigurationRecord) -> bytes:
    """Encode a record as JSON."""
    return _RECORD_ADAPTER.dump_json(record)


def decode_record(
    encoded: bytes,
) -> Result[ConfigurationRecord, MalformedRecordError]:
    """Decode one record from JSON."""
    try:
        return Ok(_RECORD_ADAPTER.validate_json(encoded))
    except ValidationError as error:
        return Err(MalformedRecordError(str(error.errors()[0]['msg'])))
