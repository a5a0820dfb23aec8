"""Stream messages between entry VMs: round trip and decoding errors."""

from __future__ import annotations

import unittest

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.harness import vm_record
from turmericpost.peer.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Greeting,
    Heartbeat,
    decode_message,
    encode_message,
)
from turmericpost_core.config.apply_records import Configuration
from turmericpost_core.membership.vm_records import VmState

_ANY_MSGPACK_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.binary(),
    lambda inner: st.lists(inner, max_size=6),
)


class MessagesTest(unittest.TestCase):
    def test_decoding_returns_the_encoded_message(self) -> None:
        records = (vm_record(1), vm_record(2))
        for message in (
            Greeting(records),
            Heartbeat(5, 1, VmState.LEAVING, 7, records),
            ConfigurationRequest(3, has_gap=True),
            ConfigurationReply(Configuration(revision=2)),
        ):
            unpacked = msgpack.unpackb(encode_message(message))
            self.assertEqual(decode_message(unpacked).unwrap(), message)

    def test_heartbeat_without_other_records_is_small(self) -> None:
        heartbeat = Heartbeat(2**41, 0, VmState.LIVE, 2**20, ())
        self.assertLess(len(encode_message(heartbeat)), 32)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        _ANY_MSGPACK_VALUE
        | st.tuples(st.integers(0, 5), _ANY_MSGPACK_VALUE).map(list)
    )
    def test_any_other_value_is_an_error_or_a_message(
        self, unpacked: object
    ) -> None:
        decoded = decode_message(unpacked)
        if decoded.is_err():
            self.assertTrue(decoded.unwrap_err().detail)


if __name__ == '__main__':
    unittest.main()
