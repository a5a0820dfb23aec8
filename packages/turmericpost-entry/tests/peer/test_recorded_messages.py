"""Messages and stored records of release e6563a3 are read unchanged.

Entry VMs of two releases run side by side during an upgrade, and the store
keeps what an earlier release wrote. A changed field, order or enum value
would make one release misread the other.
"""

from __future__ import annotations

import json
import unittest
from datetime import UTC, datetime
from pathlib import Path

import msgpack

from turmericpost.peer import messages as stream_messages
from turmericpost_core.config.apply_records import (
    ChangeVerdict,
    Configuration,
    EvaluatedChange,
)
from turmericpost_core.config.records import (
    ConfigurationRecord,
    RecordKind,
    decode_record,
    encode_record,
)
from turmericpost_core.membership.vm_records import (
    VmIdentity,
    VmRecord,
    VmState,
)
from turmericpost_core.operations.claims import (
    OperationClaim,
    decode_claim,
    encode_claim,
)

_RECORDED = Path(__file__).parent.parent / 'recorded' / 'e6563a3.json'
_VM_RECORD = VmRecord(
    identity=VmIdentity(
        name='vm-1',
        caller_host='10.1.0.34',
        caller_port=8080,
        failure_domain='cairo-a',
        region='cairo',
    ),
    incarnation=1764900000000,
    refutation=1,
    state=VmState.LIVE,
    revision=7,
)
_STREAM = {
    'greeting': stream_messages.Greeting(records=(_VM_RECORD,)),
    'heartbeat': stream_messages.Heartbeat(
        incarnation=1764900000000,
        refutation=1,
        state=VmState.LEAVING,
        revision=7,
        records=(_VM_RECORD,),
    ),
    'configuration_request': stream_messages.ConfigurationRequest(
        revision=6, has_gap=True
    ),
}
_NOON_UTC = datetime(2026, 12, 4, 12, tzinfo=UTC)
_CHANGE = EvaluatedChange(
    change_id='c1',
    author='amal',
    published_at_utc=_NOON_UTC,
    base_revision=6,
    revision=7,
    verdict=ChangeVerdict.ACCEPTED,
)
_CLAIM = OperationClaim(
    vm_digest='ab12',
    incarnation=1764900000000,
    claimed_s=1764900002,
    claim_id='claim-1',
)


class RecordedMessagesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.recorded = json.loads(_RECORDED.read_text(encoding='utf-8'))

    def test_stream_messages_are_unchanged(self) -> None:
        for name, message in _STREAM.items():
            wire = bytes.fromhex(self.recorded['peer_stream'][name])
            unpacked = msgpack.unpackb(wire)
            decoded = stream_messages.decode_message(unpacked).unwrap()
            self.assertEqual(decoded, message)
            self.assertEqual(stream_messages.encode_message(message), wire)

    def test_configuration_reply_is_unchanged(self) -> None:
        wire = bytes.fromhex(
            self.recorded['peer_stream']['configuration_reply']
        )
        unpacked = msgpack.unpackb(wire)
        reply = stream_messages.decode_message(unpacked).unwrap()
        assert isinstance(reply, stream_messages.ConfigurationReply)
        received: Configuration = reply.configuration
        self.assertEqual(received.revision, 7)
        self.assertEqual(received.history, (_CHANGE,))
        self.assertIsNotNone(received.document)
        self.assertEqual(stream_messages.encode_message(reply), wire)

    def test_configuration_records_are_unchanged(self) -> None:
        kinds = {
            'configuration_change': RecordKind.CHANGE,
            'configuration_snapshot': RecordKind.SNAPSHOT,
        }
        for name, kind in kinds.items():
            stored = self.recorded[name]
            decoded = decode_record(json.dumps(stored).encode()).unwrap()
            expected = ConfigurationRecord(
                kind=kind,
                base_revision=stored['base_revision'],
                change_id=stored['change_id'],
                author=stored['author'],
                published_at_utc=_NOON_UTC,
                document=stored['document'],
                folded_offset=stored['folded_offset'],
            )
            self.assertEqual(decoded, expected)
            self.assertEqual(json.loads(encode_record(decoded)), stored)

    def test_operation_claim_is_unchanged(self) -> None:
        stored = self.recorded['operation_claim']
        decoded = decode_claim(json.dumps(stored).encode()).unwrap()
        self.assertEqual(decoded, _CLAIM)
        self.assertEqual(json.loads(encode_claim(_CLAIM)), stored)


if __name__ == '__main__':
    unittest.main()
