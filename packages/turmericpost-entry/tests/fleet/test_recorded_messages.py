"""Messages and stored records of release e6563a3 are read unchanged.

Entry VMs of two releases run side by side during an upgrade, and the store
keeps what an earlier release wrote. A changed field, order or enum value
would make one release misread the other.
"""

from __future__ import annotations

import json
import unittest
import zlib
from pathlib import Path

import msgpack

from turmericpost.fleet import message_codec
from turmericpost.fleet.messages import (
    CancelMessage,
    DenialMessage,
    Digest,
    FinishMessage,
    Heartbeat,
    KnownVms,
    PermitMessage,
    PermitRequestMessage,
    QueuedMessage,
    StateVersion,
    UpdatePush,
)
from turmericpost.fleet.update_codec import (
    decode_update,
    encode_update,
    encode_update_request,
    parse_update_request,
)
from turmericpost.platform.registry_records import decode_vm, encode_vm
from turmericpost.platform.store_codec import KeyedRecord
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.fleet.changes import BackendChange, RegistryUpdate
from turmericpost_core.fleet.config_updates import ConfigUpdate
from turmericpost_core.fleet.operator_config import (
    CallerLimits,
    OperatorRoute,
    ServiceSpec,
    SplitPart,
)
from turmericpost_core.fleet.state import FleetUpdate, KnownVersions
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    DenialReason,
    ReportedLoad,
)
from turmericpost_core.membership.domain_view import Vm, VmReadiness

_RECORDED = Path(__file__).parent.parent / 'recorded' / 'e6563a3.json'
_PERMIT_REQUEST_ID = 'edge-1-5'
_PERMIT_ID = 'edge-2-7'
_VM = Vm(
    name='edge-1',
    host='10.1.0.34',
    peer_port=7540,
    caller_address='10.1.0.34:8548',
    failure_domain='cairo-a',
    region='cairo',
    started_ms=1764900000000,
)
_OTHER_VM = Vm(
    name='edge-2',
    host='10.1.0.35',
    peer_port=7540,
    caller_address='10.1.0.35:8548',
    failure_domain='cairo-a',
    region='cairo',
    started_ms=1764900000500,
)
_BACKEND = Backend(
    backend_id='press-3',
    service='press',
    host='10.1.4.7',
    port=9000,
    failure_domain='cairo-a',
    slots=3,
    is_draining=False,
    cold_left_s=1.5,
    started_ms=1764900001000,
)
_STATE_VERSION = StateVersion(
    read_age_s=0.25,
    operator_offset=41,
    backends=(17, 2),
    next_offset=99,
)
_REPORTED_LOAD = ReportedLoad(
    running=2,
    waiting=1,
    slots=3,
    slowness_percent=400.0,
    cold_left_s=0.75,
)
_DATAGRAMS = {
    'heartbeat': Heartbeat(
        vm=_VM,
        readiness=VmReadiness.READY,
        state_version=_STATE_VERSION,
        held_permits={_PERMIT_ID: 'press-3'},
        demand={'bookings': 0.5},
    ),
    'known_vms': KnownVms(vms=(_VM, _OTHER_VM)),
    'digest': Digest(
        failure_domain='cairo-a',
        age_s=0.5,
        vms=((_VM, VmReadiness.READY), (_OTHER_VM, VmReadiness.LEAVING)),
        state_version=_STATE_VERSION,
        sender='edge-1',
        demand={'bookings': 1.25},
    ),
    'permit_request': PermitRequestMessage(
        permit_request_id=_PERMIT_REQUEST_ID,
        service='press',
        failure_domain='cairo-a',
        rank=1,
        waited_s=0.125,
        objective_s=0.5,
        deadline_s=1.5,
        is_retry=True,
        may_wait=True,
        may_redirect=False,
        excluded=('press-1',),
    ),
    'queued': QueuedMessage(permit_request_id=_PERMIT_REQUEST_ID),
    'permit': PermitMessage(
        permit_request_id=_PERMIT_REQUEST_ID,
        permit_id=_PERMIT_ID,
        backend=_BACKEND,
        slowness_percent=400.0,
        report_age_s=0.25,
        expected_s=0.0625,
    ),
    'cancelled': CancelMessage(permit_request_id=_PERMIT_REQUEST_ID),
    'update_push': UpdatePush(sender='edge-1', wire=b'\x01\x02'),
    'denial_overloaded': DenialMessage(
        permit_request_id=_PERMIT_REQUEST_ID,
        end=DenialReason.OVERLOADED,
        retry_after_s=2.5,
    ),
    'denial_elsewhere': DenialMessage(
        permit_request_id=_PERMIT_REQUEST_ID,
        end=DenialReason.OTHER_DOMAIN,
        retry_after_s=2.5,
    ),
    'denial_no-backend': DenialMessage(
        permit_request_id=_PERMIT_REQUEST_ID,
        end=DenialReason.NO_BACKEND,
        retry_after_s=2.5,
    ),
    'denial_repeat-budget': DenialMessage(
        permit_request_id=_PERMIT_REQUEST_ID,
        end=DenialReason.RETRY_BUDGET,
        retry_after_s=2.5,
    ),
    'denial_deadline': DenialMessage(
        permit_request_id=_PERMIT_REQUEST_ID,
        end=DenialReason.DEADLINE,
        retry_after_s=2.5,
    ),
    'finish_success': FinishMessage(
        permit_id=_PERMIT_ID,
        attempt_report=AttemptReport(
            outcome=AttemptOutcome.SUCCESS,
            latency_s=0.125,
            reported_load=_REPORTED_LOAD,
        ),
    ),
    'finish_shed': FinishMessage(
        _PERMIT_ID, AttemptReport(AttemptOutcome.SHED, 0.125)
    ),
    'finish_failure': FinishMessage(
        _PERMIT_ID, AttemptReport(AttemptOutcome.FAILURE, 0.125)
    ),
    'finish_gone': FinishMessage(
        _PERMIT_ID, AttemptReport(AttemptOutcome.GONE, 0.125)
    ),
    'finish_unused': FinishMessage(
        _PERMIT_ID, AttemptReport(AttemptOutcome.UNUSED, 0.125)
    ),
}
_UPDATE = FleetUpdate(
    operator_offset=41,
    config_version=4,
    config=ConfigUpdate(
        base=3,
        version=4,
        routes=(
            OperatorRoute(
                name='bookings',
                host='a.example',
                path_prefix='/b',
                is_idempotent=False,
                timeout_s=1.5,
                objective_s=0.75,
                rank=1,
                split=(
                    SplitPart(service='press', weight=3.0),
                    SplitPart(service='press-new', weight=1.0),
                ),
                max_attempts=2,
                home_regions=frozenset(('cairo',)),
            ),
        ),
        removed=('old',),
        services={
            'press': ServiceSpec(
                name='press',
                health_path='/health',
                max_connections=260,
                warmup_s=20.0,
                cold_per_s=5.0,
            ),
        },
        limits=CallerLimits(
            max_header_bytes=16384,
            max_body_bytes=67108864,
            header_timeout_s=3.0,
            idle_timeout_s=15.0,
        ),
    ),
    evacuated=frozenset(('alex-b',)),
    registry=RegistryUpdate(
        base=(16, 2),
        version=(18, 2),
        next_offset=100,
        digest=12345,
        changes=(
            BackendChange(
                version=(17, 2), backend_id='press-3', backend=_BACKEND
            ),
            BackendChange(version=(18, 2), backend_id='press-4', backend=None),
        ),
    ),
)
_VERSIONS = KnownVersions(operator_offset=41, config=4, backends=(17, 2))


class RecordedMessagesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.recorded = json.loads(_RECORDED.read_text(encoding='utf-8'))

    def test_datagrams_are_unchanged(self) -> None:
        wires = self.recorded['datagrams']
        self.assertEqual(wires.keys(), _DATAGRAMS.keys())
        for name, message in _DATAGRAMS.items():
            wire = bytes.fromhex(wires[name])
            decoded = message_codec.decode_message(wire).unwrap()
            self.assertEqual(decoded, message)
            self.assertEqual(message_codec.encode_message(message), wire, name)

    def test_updates_and_update_requests_are_unchanged(self) -> None:
        wire = bytes.fromhex(self.recorded['update'])
        self.assertEqual(decode_update(wire).unwrap(), _UPDATE)
        self.assertEqual(
            zlib.decompress(encode_update(_UPDATE)),
            zlib.decompress(wire),
        )
        known = bytes.fromhex(self.recorded['known_versions'])
        versions = parse_update_request(msgpack.unpackb(known)).unwrap()
        self.assertEqual(versions, _VERSIONS)
        self.assertEqual(encode_update_request(versions), known)

    def test_vm_announcement_is_unchanged(self) -> None:
        stored = self.recorded['vm']
        record = KeyedRecord(
            StorePosition(3), 'edge-1', json.dumps(stored).encode()
        )
        self.assertEqual(decode_vm(record).unwrap(), _VM)
        self.assertEqual(json.loads(encode_vm(_VM)), stored)


if __name__ == '__main__':
    unittest.main()
