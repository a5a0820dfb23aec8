"""Records of the store that have to be passed on to other VMs."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from tests.platform.samples import ENTRY
from turmericpost.fleet.message_codec import decode_message, encode_message
from turmericpost.fleet.messages import KnownVms, PermitMessage
from turmericpost.fleet.update_codec import decode_update, encode_update
from turmericpost.platform.operator_records import decode_operator_record
from turmericpost.platform.registry_records import (
    decode_registration,
    decode_vm,
    encode_vm,
)
from turmericpost.platform.store_codec import (
    KeyedRecord,
    decode_keyed_read,
)
from turmericpost.store.record_log import LogBatch, LogRecord
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.fleet.state import FleetState, KnownVersions
from turmericpost_core.fleet.store_position import START, StorePosition
from turmericpost_core.membership.domain_view import Vm

_HALF_PAIRS = ('\ud83d', 'catalogue-\ud83d', '\udc00x', 'i-\udfff')
_TOO_LONG = 'x' * 300_000
_ROUTE = {
    'Name': 'r1',
    'Host': 'a.example',
    'PathPrefix': '/a/',
    'RouteType': 'idempotent',
    'TimeoutMs': 1200,
    'SloLatencyMs': 600,
    'Priority': 2,
    'Service': 'press',
    'MaxAttempts': 2,
    'AllowedRegions': [],
}
_CONFIG = {
    'Version': 7,
    'Routes': [_ROUTE],
    'Services': [{'Name': 'press', 'HealthCheckPath': '/health'}],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 67108864,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    },
}
_VM = Vm('vm1', '10.0.0.1', 7540, '10.0.0.1:80', 'nasr', 'cairo', 5)
_replacements = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(st.characters(), max_size=5),
    st.sampled_from(_HALF_PAIRS),
    st.sampled_from(('ready', 'draining', '10.0.0.9:80', _TOO_LONG)),
)


def record(key: str, fields: object) -> KeyedRecord:
    return KeyedRecord(StorePosition(7), key, json.dumps(fields).encode())


def pass_on(state: FleetState) -> FleetState:
    """Return the state of a VM that has fetched everything from another."""
    wire = encode_update(state.update_since(KnownVersions()))
    received = FleetState()
    received.apply_update(decode_update(wire).unwrap())
    return received


class RecordsForPeersTest(unittest.TestCase):
    """Guards against a record that stops the spread of all state."""

    def test_registrations_with_half_a_surrogate_pair_are_invalid(self) -> None:
        for name in ('Service', 'Address', 'Zone', 'State'):
            for text in _HALF_PAIRS:
                with self.subTest(name=name, text=text):
                    entry = {**ENTRY, name: text}
                    decoded = decode_registration(record('b1', entry))
                    self.assertTrue(decoded.is_err())

    def test_registrations_with_integers_above_64_bits_are_invalid(
        self,
    ) -> None:
        for name in ('Slots', 'born'):
            entry = {**ENTRY, name: 2**64}
            decoded = decode_registration(record('b1', entry))
            self.assertTrue(decoded.is_err())

    def test_registrations_with_very_long_names_are_invalid(self) -> None:
        for name in ('Service', 'Zone'):
            entry = {**ENTRY, name: _TOO_LONG}
            decoded = decode_registration(record('b1', entry))
            self.assertTrue(decoded.is_err())

    def test_keys_that_are_no_text_are_invalid(self) -> None:
        payload = json.dumps(ENTRY).encode()
        for key in (b'i-\xff', b'i-\xed\xa0\xbd', b'i-1\r\nX: y', b'i 1', b''):
            with self.subTest(key):
                appended = bytes((len(key),)) + key + payload
                batch = LogBatch((LogRecord(7, appended),), 8)
                (keyed,) = decode_keyed_read(START, batch).unwrap().records
                self.assertTrue(decode_registration(keyed).is_err())

    def test_keys_of_the_operator_that_are_no_text_are_invalid(self) -> None:
        for payload in (b'{}', b''):
            key = b'evacuate/\xff'
            appended = bytes((len(key),)) + key + payload
            batch = LogBatch((LogRecord(7, appended),), 8)
            (keyed,) = decode_keyed_read(START, batch).unwrap().records
            self.assertTrue(decode_operator_record(keyed).is_err())

    def test_configurations_that_no_peer_could_get_are_invalid(self) -> None:
        for changes in (
            {'Version': 2**70},
            {'Routes': [{**_ROUTE, 'Name': 'r\ud83d'}]},
            {'Routes': [{**_ROUTE, 'PathPrefix': '/\udc00/'}]},
            {'Routes': [{**_ROUTE, 'PathPrefix': 7}]},
            {'Routes': [{**_ROUTE, 'Priority': 2**70}]},
            {'Routes': [{**_ROUTE, 'AllowedRegions': ['\ud83d']}]},
            {'Routes': [{**_ROUTE, 'AllowedRegions': [7]}]},
            {'Services': [{'Name': 'press', 'HealthCheckPath': '\ud83d'}]},
        ):
            with self.subTest(changes):
                config = record('config', {**_CONFIG, **changes})
                self.assertTrue(decode_operator_record(config).is_err())

    def test_vms_that_cannot_be_reached_are_invalid(self) -> None:
        fields = json.loads(encode_vm(_VM))
        for changes in (
            {'host': 'vm.example'},
            {'host': '10.0.0.\ud83d'},
            {'peer_port': 0},
            {'peer_port': 70_000},
            {'peer_port': '80'},
            {'caller_address': 'vm.example:80'},
            {'caller_address': '10.0.0.1:70000'},
            {'failure_domain': 'nasr\ud83d'},
            {'started_ms': 2**70},
        ):
            with self.subTest(changes):
                decoded = decode_vm(record('vm1', {**fields, **changes}))
                self.assertTrue(decoded.is_err())

    @given(
        st.dictionaries(st.sampled_from(sorted(ENTRY)), _replacements),
        st.one_of(st.just('b1'), st.text(st.characters(), max_size=5)),
    )
    def test_what_is_decoded_can_be_passed_on(
        self, changes: dict[str, Any], key: str
    ) -> None:
        decoded = decode_registration(record(key, {**ENTRY, **changes}))
        if decoded.is_err():
            return
        state = FleetState()
        state.directory.apply_records([decoded.unwrap()], 0)
        received = pass_on(state)
        self.assertEqual(received.directory.backends, state.directory.backends)
        (backend,) = received.directory.backends.values()
        self._assert_permit_can_be_sent(backend)

    @given(
        st.sampled_from(sorted(_ROUTE)),
        _replacements,
        st.sampled_from(sorted(_ROUTE)),
    )
    def test_what_is_decoded_of_a_configuration_can_be_passed_on(
        self, name: str, changed: Any, other: str
    ) -> None:
        route = {**_ROUTE, name: changed, other: _ROUTE[other]}
        config = record('config', {**_CONFIG, 'Routes': [route]})
        decoded = decode_operator_record(config)
        if decoded.is_err():
            return
        state = FleetState()
        state.apply_operator_records([decoded.unwrap()], StorePosition(8))
        self.assertEqual(pass_on(state).config, state.config)

    @given(
        st.dictionaries(
            st.sampled_from(sorted(json.loads(encode_vm(_VM)))), _replacements
        )
    )
    def test_what_is_decoded_of_a_vm_can_be_passed_on(
        self, changes: dict[str, Any]
    ) -> None:
        fields = {**json.loads(encode_vm(_VM)), **changes}
        decoded = decode_vm(record('vm1', fields))
        if decoded.is_err():
            return
        message = KnownVms((decoded.unwrap(),))
        received = decode_message(encode_message(message)).unwrap()
        self.assertEqual(received, message)

    def _assert_permit_can_be_sent(self, backend: Backend) -> None:
        permit = PermitMessage('vm1.5.1', 'vm2.5/1', backend, 100, 0.01, 0.2)
        received = decode_message(encode_message(permit)).unwrap()
        self.assertEqual(received, permit)


if __name__ == '__main__':
    unittest.main()
