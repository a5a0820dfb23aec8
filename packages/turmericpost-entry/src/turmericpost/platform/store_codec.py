"""Framing of the store's records and decoding of its listings."""

from __future__ import annotations

import json
from base64 import b64decode
from dataclasses import dataclass
from struct import Struct

from result import Err, Ok, Result

from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost.store.record_log import LogBatch, LogRecord

_LENGTH = Struct('>I')
_ENDS = Struct('>QQ')


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; an empty text means that the key is gone."""

    offset: int
    key: str
    text: bytes


@dataclass(frozen=True, slots=True)
class Listing:
    """A page of the newest records of each key."""

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: int


@dataclass(frozen=True, slots=True)
class KeyedRead:
    """Records read in offset order, and the offset after the last."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


def encode_record(record: bytes) -> bytes:
    """Return the bytes of one record in a call that appends."""
    return _LENGTH.pack(len(record)) + record


def encode_keyed(key: str, text: bytes) -> bytes:
    """Return the bytes of one record of a keyed topic."""
    name = key.encode('utf-8')
    return encode_record(bytes((len(name),)) + name + text)


def decode_read(
    from_offset: int,
    body: bytes,
) -> Result[LogBatch, StoreError]:
    """Decode the answer to a read: the two ends, then the records."""
    if len(body) < _ENDS.size:
        return Err(_unreadable('no offsets in a read'))
    records: list[LogRecord] = []
    place = _ENDS.size
    offset = from_offset
    while place + _LENGTH.size <= len(body):
        length = int.from_bytes(body[place : place + _LENGTH.size], 'big')
        place += _LENGTH.size
        if place + length > len(body):
            return Err(_unreadable('a record is cut short'))
        records.append(LogRecord(offset, body[place : place + length]))
        place += length
        offset += 1
    end = _ENDS.unpack_from(body)[0]
    return Ok(LogBatch(tuple(records), end))


def keyed_read(batch: LogBatch) -> KeyedRead:
    """Return the keyed records of a read, and the offset to go on from."""
    records = tuple(_keyed(one.offset, one.record) for one in batch.records)
    if not records:
        return KeyedRead(records, batch.end_offset)
    return KeyedRead(records, records[-1].offset + 1)


def decode_append(body: bytes) -> Result[int, StoreError]:
    """Decode the offset that an append got."""
    offset = _member(body, 'Offset')
    if offset is None:
        return Err(_unreadable('no offset of an append'))
    return Ok(offset)


def decode_listing(body: bytes) -> Result[Listing, StoreError]:
    """Decode a page of newest records."""
    try:
        return Ok(_listing(json.loads(body)))
    except (KeyError, TypeError, ValueError) as error:
        return Err(_unreadable(f'listing: {error!r}'))


def decode_first(body: bytes) -> int:
    """Return the first offset that is kept, 0 where none is named."""
    return _member(body, 'First') or 0


def decode_detail(body: bytes) -> str:
    """Return the text of an error answer."""
    return body.decode('utf-8', 'replace')


def _keyed(offset: int, record: bytes) -> KeyedRecord:
    key_bytes = record[0] if record else 0
    split = 1 + key_bytes
    key = record[1:split].decode('utf-8', 'replace')
    return KeyedRecord(offset, key, record[split:])


def _listing(page: dict[str, object]) -> Listing:
    rows = page['items']
    if not isinstance(rows, list):
        raise TypeError('items is not a list')
    records = tuple(
        KeyedRecord(int(row['Offset']), row['Key'], b64decode(row['Value']))
        for row in rows
    )
    return Listing(records, bool(page['More']), int(str(page['End'])))


def _unreadable(detail: str) -> StoreError:
    return StoreError(StoreErrorKind.MALFORMED_RESPONSE, detail)


def _member(body: bytes, name: str) -> int | None:
    """Return a whole number of a JSON object, ``None`` if it has none."""
    try:
        return int(json.loads(body)[name])
    except (KeyError, TypeError, ValueError):
        return None
