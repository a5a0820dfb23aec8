"""Framing of the store's records and decoding of its listings."""

from __future__ import annotations

import json
from base64 import b64decode
from collections.abc import Iterable
from dataclasses import dataclass
from struct import Struct

from result import Err, Ok, Result

from turmericpost.fleet.store import StoreError, StoreErrorKind

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


def encode_keyed(key: str, text: bytes) -> bytes:
    """Return the bytes of one record of a keyed topic."""
    name = key.encode('utf-8')
    record = bytes((len(name),)) + name + text
    return _LENGTH.pack(len(record)) + record


def decode_read(
    from_offset: int,
    body: bytes,
) -> Result[KeyedRead, StoreError]:
    """Decode the answer to a read of a keyed topic.

    A record cut short ends the page: the next read begins with it.
    """
    if len(body) < _ENDS.size:
        return Err(_unreadable('no offsets in a read'))
    records: list[KeyedRecord] = []
    place = _ENDS.size
    offset = from_offset
    while place + _LENGTH.size <= len(body):
        length = int.from_bytes(body[place : place + _LENGTH.size], 'big')
        place += _LENGTH.size
        if place + length > len(body):
            return Err(_unreadable('a record is cut short'))
        records.append(_keyed(offset, body[place : place + length]))
        place += length
        offset += 1
    return Ok(KeyedRead(tuple(records), offset))


def decode_listing(body: bytes) -> Result[Listing, StoreError]:
    """Decode a page of newest records."""
    try:
        return Ok(_listing(json.loads(body)))
    except (KeyError, TypeError, ValueError) as error:
        return Err(_unreadable(f'listing: {error!r}'))


def decode_first(body: bytes) -> str:
    """Return the first offset that an expired read may begin with."""
    return body.decode('utf-8', 'replace')


def newest_only(records: Iterable[KeyedRecord]) -> tuple[KeyedRecord, ...]:
    """Return the last record of each key."""
    return tuple({one.key: one for one in records}.values())


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
    return StoreError(StoreErrorKind.UNREADABLE, detail)
