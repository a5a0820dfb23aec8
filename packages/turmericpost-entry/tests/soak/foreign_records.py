"""Odd registrations that another writer leaves in the store."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random
from typing import Any

from tests.platform.samples import ENTRY

_ENTRY = {**ENTRY, 'Address': '127.0.0.1:9'}
_TEXTS = ('Service', 'Address', 'Zone', 'State')
_NUMBERS = ('Slots', 'WarmupLeftMs', 'born')
_HALF_PAIRS = ('\ud800', 'press\udfff', 'i-\ud83d')
_OUT_OF_RANGE = ('9' * 400, '9' * 5000, '1e999', '-1', '18446744073709551616')
_ADDRESSES = (
    '127.0.0.1:70000',
    '127.0.0.1:-1',
    'press.example:80',
    'pr\u00e9sse:80',
    '127.0.0.1:\u0668',
    ':',
)
_WRONG_KINDS = (None, True, [], {}, [[]], 1.5, '')
_DEPTH = 20_000


def foreign_record(random: Random) -> bytes:
    """Return one registration that names no server."""
    return random.choice(_KINDS)(random)


def _with_half_a_surrogate_pair(random: Random) -> bytes:
    return _changed(random.choice(_TEXTS), random.choice(_HALF_PAIRS))


def _with_a_number_out_of_range(random: Random) -> bytes:
    name = random.choice(_NUMBERS)
    text = json.dumps({**_ENTRY, name: 'NUMBER'})
    return text.replace('"NUMBER"', random.choice(_OUT_OF_RANGE)).encode()


def _with_a_wrong_kind(random: Random) -> bytes:
    name = random.choice((*_TEXTS, *_NUMBERS))
    return _changed(name, random.choice(_WRONG_KINDS))


def _with_an_odd_address(random: Random) -> bytes:
    return _changed('Address', random.choice(_ADDRESSES))


def _with_a_long_name(random: Random) -> bytes:
    return _changed(random.choice(_TEXTS), 'x' * 200_000)


def _nested(random: Random) -> bytes:
    return random.choice((b'[', b'{"Service":')) * _DEPTH


def _cut(random: Random) -> bytes:
    whole = json.dumps(_ENTRY).encode()
    return whole[: random.randrange(1, len(whole))]


def _noise(random: Random) -> bytes:
    return random.randbytes(random.randrange(1, 300))


def _changed(name: str, field: Any) -> bytes:
    return json.dumps({**_ENTRY, name: field}).encode()


_KINDS: tuple[Callable[[Random], bytes], ...] = (
    _with_half_a_surrogate_pair,
    _with_a_number_out_of_range,
    _with_a_wrong_kind,
    _with_an_odd_address,
    _with_a_long_name,
    _nested,
    _cut,
    _noise,
)
