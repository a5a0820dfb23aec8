"""Records of the configuration stream on the store."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import Any

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result


class RecordKind(Enum):
    """What a record is: a change by an operator, or a snapshot."""

    CHANGE = 'change'
    SNAPSHOT = 'snapshot'


@dataclass(frozen=True)
class ConfigurationRecord:
    """A change based on a revision, or a snapshot of one.

    ``base_revision`` of a change is the revision its author saw; of a
    snapshot it is the revision the snapshot holds, and ``folded_offset`` the
    offset before which it holds every record.
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
    """A record of the stream that can't be decoded."""

    detail: str


_ADAPTER = TypeAdapter(ConfigurationRecord)


def encode_record(record: ConfigurationRecord) -> bytes:
    """Return the record as JSON."""
    return _ADAPTER.dump_json(record)


def decode_record(
    encoded: bytes,
) -> Result[ConfigurationRecord, MalformedRecordError]:
    """Decode one record from JSON."""
    try:
        return Ok(_ADAPTER.validate_json(encoded))
    except ValidationError as error:
        return Err(MalformedRecordError(str(error.errors()[0]['msg'])))
