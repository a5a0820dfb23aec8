"""Messages of other VMs with fields of other types."""

from __future__ import annotations

import json
import unittest
import zlib
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from tests.gateway.node_harness import started_node
from turmericpost.fleet.messages import UpdatePush

_RECORDED = json.loads(
    (Path(__file__).parent.parent / 'recorded' / 'e6563a3.json').read_text(
        encoding='utf-8'
    )
)
_DATAGRAMS = [
    bytes.fromhex(wire) for _, wire in sorted(_RECORDED['datagrams'].items())
]
_LIMITS = msgpack.packb([10, ['press', 'cairo-a', [['press-1', 1, 2.5, 0.1]]]])
_UPDATE = zlib.decompress(bytes.fromhex(_RECORDED['update']))
_SENDER = ('10.1.0.2', 7540)
_replacements = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 2),
    st.sampled_from((float('nan'), float('inf'), -1.5, 10**19, 'x', b'x')),
    st.sampled_from(([], {}, [[]], {'x': 'x'}, ['x', 1])),
)


def replace_one_field(packed: Any, positions: Any, replacement: Any) -> Any:
    """Replace one element at a drawn position of nested lists."""
    if not isinstance(packed, list) or not packed:
        return replacement
    index = positions.draw(st.integers(0, len(packed) - 1))
    changed = list(packed)
    changed[index] = replace_one_field(packed[index], positions, replacement)
    return changed


class MalformedMessagesTest(unittest.TestCase):
    """One node that gets all messages, so that their effects add up."""

    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.node = started_node(self.reactor)
        self.failures: list[str] = []
        for module in ('background', 'observe.events'):
            patched = patch(
                f'turmericpost.{module}.log_failure', self._record_failure
            )
            patched.start()
            self.addCleanup(patched.stop)

    # Guards against one malformed message that ends the heartbeats of a VM, or
    # makes it fail each time it uses what the message left in its state.
    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        st.sampled_from((*_DATAGRAMS, _LIMITS)),
        _replacements,
        st.data(),
    )
    def test_malformed_datagram_leaves_a_working_vm(
        self, wire: bytes, replacement: Any, positions: Any
    ) -> None:
        packed = msgpack.unpackb(wire, strict_map_key=False)
        changed = replace_one_field(packed, positions, replacement)
        self._receive(msgpack.packb(changed))

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(_replacements, st.data())
    def test_malformed_update_leaves_a_working_vm(
        self, replacement: Any, positions: Any
    ) -> None:
        packed = msgpack.unpackb(_UPDATE)
        changed = msgpack.packb(
            replace_one_field(packed, positions, replacement)
        )
        push = UpdatePush('edge-2', zlib.compress(changed))
        self._receive(msgpack.packb([9, [push.sender, push.wire]]))

    def _receive(self, datagram: bytes) -> None:
        self.node.peers.datagramReceived(datagram, _SENDER)
        self.node.peers.send_heartbeats()
        self.node.peers.send_digests()
        self.reactor.advance(0.3)
        self.assertEqual(self.failures, [])

    def _record_failure(self, failure: Any) -> None:
        self.failures.append(failure.getTraceback())
