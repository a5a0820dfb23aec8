"""Encoding of the store's records and decoding of its responses."""

from __future__ import annotations

from base64 import b64decode
from dataclasses import dataclass
from struct import Struct

from result import Err, Ok, Result

from turmericpost.platform.json_fields import MALFORMED_ERRORS, parse_json
from turmericpost.platform.store_era import error_of_era
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost.store.record_log import LogBatch, LogRecord
from turmericpost_core.fleet.store_position import StorePosition, new_position

_LENGTH = Struct('>I')
_END_AND_FIRST_OFFSETS = Struct('>QQ')


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; an empty payload deletes the key.

    Bytes of the key that are not UTF-8 are kept as surrogate escapes.
    """

    offset: StorePosition
    key: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Listing:
    """One page of a listing: the newest record of each key.

    ``end`` is the position that the next record of the topic will get.
    """

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: StorePosition


@dataclass(frozen=True, slots=True)
class KeyedRead:
    """Records of a read in offset order, and the position to continue from.

    ``end_offset`` is the one that the next record of the topic would get when
    the store answered. It is larger if the read left records out.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: StorePosition
    end_offset: StorePosition


def encode_record(record: bytes) -> bytes:
    """Return the body of an append request: the record with a length prefix."""
    return _LENGTH.pack(len(record)) + record


def encode_keyed(key: str, payload: bytes) -> bytes:
    """Return the body of an append request for a record with a key.

    The record starts with the length of the key as one byte, then the key.
    """
    encoded_key = key.encode('utf-8')
    return encode_record(bytes((len(encoded_key),)) + encoded_key + payload)


def decode_read(
    from_offset: int,
    body: bytes,
    era: int | None,
) -> Result[LogBatch, StoreError]:
    """Decode the response to a read: two offsets, then the records.

    The first one, the end offset, is the one that the next append will get.
    """
    if len(body) < _END_AND_FIRST_OFFSETS.size:
        return Err(_malformed_response('read response has no offsets'))
    records: list[LogRecord] = []
    position = _END_AND_FIRST_OFFSETS.size
    offset = from_offset
    while position + _LENGTH.size <= len(body):
        length = int.from_bytes(body[position : position + _LENGTH.size], 'big')
        position += _LENGTH.size
        if position + length > len(body):
            return Err(
                _malformed_response('read response ends within a record')
            )
        records.append(LogRecord(offset, body[position : position + length]))
        position += length
        offset += 1
    end = _END_AND_FIRST_OFFSETS.unpack_from(body)[0]
    return Ok(LogBatch(tuple(records), end, era))


def decode_keyed_read(
    begin: StorePosition, batch: LogBatch
) -> Result[KeyedRead, StoreError]:
    """Decode the records of a read as records of a keyed topic.

    The error is ``OTHER_ERA`` if they don't follow the position ``begin``, and
    ``MALFORMED_RESPONSE`` if the response does not tell.
    """
    if not begin.is_of_era(batch.era):
        return Err(error_of_era(begin, batch.era))
    try:
        return Ok(_decode_keyed_batch(begin, batch))
    except ValueError as error:
        return Err(_malformed_response(str(error)))


def decode_append(
    body: bytes, era: int | None = None
) -> Result[StorePosition, StoreError]:
    """Decode the response to an append: the position of the record."""
    offset = _int_member(body, 'Offset')
    if offset is None:
        return Err(_malformed_response('append response has no offset'))
    try:
        return Ok(new_position(era, offset))
    except ValueError as error:
        return Err(_malformed_response(str(error)))


def decode_listing(body: bytes, era: int | None) -> Result[Listing, StoreError]:
    """Decode one page of a listing."""
    try:
        return Ok(_decode_listing(parse_json(body), era))
    except MALFORMED_ERRORS as error:
        return Err(_malformed_response(f'listing: {error!r}'))


def decode_first_offset(body: bytes) -> int:
    """Return the first retained offset in an error response, else 0."""
    return _int_member(body, 'First') or 0


def decode_detail(body: bytes) -> str:
    """Return the body of an error response as text."""
    return body.decode('utf-8', 'replace')


def _decode_keyed_batch(begin: StorePosition, batch: LogBatch) -> KeyedRead:
    """Decode records; raise ``ValueError`` if an offset is out of range."""
    records = tuple(
        _decode_keyed(
            new_position(batch.era, log_record.offset), log_record.record
        )
        for log_record in batch.records
    )
    end = new_position(batch.era, batch.end_offset)
    next_offset = min(begin, end)
    if batch.records:
        next_offset = new_position(batch.era, batch.records[-1].offset + 1)
    return KeyedRead(records, next_offset, end)


def _decode_keyed(offset: StorePosition, record: bytes) -> KeyedRecord:
    key_bytes = record[0] if record else 0
    payload_start = 1 + key_bytes
    key = record[1:payload_start].decode('utf-8', 'surrogateescape')
    return KeyedRecord(offset, key, record[payload_start:])


def _decode_listing(page: dict[str, object], era: int | None) -> Listing:
    rows = page['items']
    if not isinstance(rows, list):
        raise TypeError('items is not a list')
    records = tuple(
        KeyedRecord(
            new_position(era, int(row['Offset'])),
            row['Key'],
            b64decode(row['Value']),
        )
        for row in rows
    )
    end = new_position(era, int(str(page['End'])))
    return Listing(records, bool(page['More']), end)


def _malformed_response(detail: str) -> StoreError:
    return StoreError(StoreErrorKind.MALFORMED_RESPONSE, detail)


def _int_member(body: bytes, name: str) -> int | None:
    """Return an integer member of a JSON object.

    Returns ``None`` if it is missing or invalid.
    """
    try:
        return int(parse_json(body)[name])
    except MALFORMED_ERRORS:
        return None
