"""Records of other writers in the store that cannot be read."""

from __future__ import annotations

import json
import unittest
from collections.abc import Iterator

from hypothesis import given
from hypothesis import strategies as st

from tests.platform.samples import ENTRY
from turmericpost.platform.operator_records import decode_operator_record
from turmericpost.platform.registry_records import (
    decode_registration,
    decode_vm,
)
from turmericpost.platform.store_codec import (
    KeyedRecord,
    decode_append,
    decode_first_offset,
    decode_listing,
)
from turmericpost_core.fleet.store_position import StorePosition

_MANY_DIGITS = '9' * 400
_TOO_MANY_DIGITS = '9' * 5000
_NUMBERS = (_MANY_DIGITS, _TOO_MANY_DIGITS, '1e999', '-1e999', 'NaN', '-1')
_DEEP = (b'[' * 20_000, b'{"a":' * 20_000, b'[' * 20_000 + b']' * 20_000)


def registration(**changes: object) -> KeyedRecord:
    return KeyedRecord(
        StorePosition(7), 'b1', json.dumps({**ENTRY, **changes}).encode()
    )


def entries_with_number(name: str) -> Iterator[KeyedRecord]:
    for number in _NUMBERS:
        entry = json.dumps({**ENTRY, name: 'NUMBER'})
        text = entry.replace('"NUMBER"', number)
        yield KeyedRecord(StorePosition(7), 'b1', text.encode())


class UnreadableRecordTest(unittest.TestCase):
    """Guards against one record that ends each later read of the registry."""

    def test_deeply_nested_records_are_invalid(self) -> None:
        for payload in _DEEP:
            record = KeyedRecord(StorePosition(7), 'b1', payload)
            self.assertTrue(decode_registration(record).is_err())
            self.assertTrue(decode_vm(record).is_err())
            config = KeyedRecord(StorePosition(7), 'config', payload)
            self.assertTrue(decode_operator_record(config).is_err())

    def test_deeply_nested_responses_of_the_store_are_errors(self) -> None:
        for body in _DEEP:
            self.assertTrue(decode_listing(body, None).is_err())
            self.assertTrue(decode_append(body).is_err())
            self.assertEqual(decode_first_offset(body), 0)

    def test_numbers_out_of_range_are_invalid(self) -> None:
        for name in ('Slots', 'WarmupLeftMs', 'born'):
            for record in entries_with_number(name):
                with self.subTest(record.payload[-40:]):
                    self.assertTrue(decode_registration(record).is_err())

    def test_configuration_with_an_infinite_number_is_invalid(self) -> None:
        for number in _NUMBERS[:-1]:
            text = f'{{"Version":{number},"Routes":[],"Limits":{{}}}}'
            record = KeyedRecord(StorePosition(7), 'config', text.encode())
            self.assertTrue(decode_operator_record(record).is_err())

    def test_addresses_that_cannot_be_connected_to_are_invalid(self) -> None:
        for address in (
            '10.0.0.9:70000',
            '10.0.0.9:0',
            '10.0.0.9:-1',
            '10.0.0.9: 80',
            '10.0.0.9:8_0',
            '10.0.0.9:\u0668\u0660',
            '10.0.0.999:80',
            'press.example:80',
            'pr\u00e9sse:80',
            '10.0.0.9\r\nX: y:80',
            ':80',
            '10.0.0.9',
        ):
            with self.subTest(address):
                decoded = decode_registration(registration(Address=address))
                self.assertTrue(decoded.is_err())

    @given(st.binary(max_size=300), st.integers(0, 150))
    def test_any_bytes_are_decoded_or_invalid(
        self, tail: bytes, kept_bytes: int
    ) -> None:
        payload = registration().payload[:kept_bytes] + tail
        for decode in (decode_registration, decode_vm, decode_operator_record):
            for key in ('b1', 'config'):
                decoded = decode(KeyedRecord(StorePosition(7), key, payload))
                self.assertTrue(decoded.is_ok() or decoded.unwrap_err())


if __name__ == '__main__':
    unittest.main()
