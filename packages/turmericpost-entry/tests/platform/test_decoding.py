"""Decoding of the platform's settings, records and header fields."""

from __future__ import annotations

import json
import unittest

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from tests.platform.samples import CONFIG
from turmericpost.fleet.message_codec import decode_message, encode_message
from turmericpost.fleet.messages import (
    AvailabilityMessage,
    CancelMessage,
    DenialMessage,
    Digest,
    FinishMessage,
    Heartbeat,
    KnownVms,
    PermitMessage,
    PermitRequestMessage,
    QueuedMessage,
    RateLimitsMessage,
    StatedAvailability,
    StatedRateLimit,
    StateVersion,
)
from turmericpost.fleet.update_codec import decode_update, encode_update
from turmericpost.gateway.call_codec import ResponseInfo
from turmericpost.http1.heads import RequestHead, ResponseHead
from turmericpost.platform.call_headers import PlatformCallCodec
from turmericpost.platform.operator_records import decode_operator_record
from turmericpost.platform.settings_file import (
    decode_settings,
    read_settings_file,
)
from turmericpost.platform.store_codec import KeyedRecord
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.fleet.state import FleetState, KnownVersions
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    DenialReason,
    ReportedLoad,
)
from turmericpost_core.membership.domain_view import Vm, VmReadiness

_SETTINGS = """NodeName=edge-1
Ip=10.1.0.34
Zone=nasr
Region=cairo
Zones.nasr=cairo
Zones.smouha=alex
Listen.Front=10.1.0.34:8548
Listen.Ready=10.1.0.34:8542
Listen.Directory=10.1.0.34:8546
InternalPortRange=7540,7555
Seeds=10.1.0.34:8544,10.2.0.34:8544
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.ConfigMs=2000
Bounds.ttl_max_s=5
Bounds.RetryBudgetRatio=0.2
Bounds.RetryBudgetSlack=64
Bounds.BudgetWindowS=10
Platform.Address=10.200.1.7:8541
Some.NewField=7
"""
_VM = Vm('vm1', '10.0.0.1', 7540, '10.0.0.1:80', 'nasr', 'cairo', 5)
_BACKEND = Backend(
    'b1',
    'press',
    '10.0.0.9',
    80,
    'nasr',
    3,
    is_draining=False,
    cold_left_s=0.5,
    started_ms=9,
)
_STATE_VERSION = StateVersion(0.5, StorePosition(3), (7, 1), StorePosition(9))


def config_record(**changes: object) -> KeyedRecord:
    text = json.dumps({**CONFIG, **changes}).encode()
    return KeyedRecord(StorePosition(0), 'config', text)


class SettingsFileTest(unittest.TestCase):
    def test_fields_are_decoded_and_unknown_ones_ignored(self) -> None:
        settings = decode_settings('f', _SETTINGS).unwrap()
        self.assertEqual(settings.domain_regions['smouha'], 'alex')
        self.assertEqual(settings.callers, ('10.1.0.34', 8548))
        self.assertEqual(settings.peer_port, 7540)
        self.assertEqual(settings.seed_hosts, ('10.1.0.34', '10.2.0.34'))
        self.assertEqual(settings.operating_bounds.drain_s, 2)

    def test_missing_or_invalid_field_is_named_in_a_one_line_error(
        self,
    ) -> None:
        for line in _SETTINGS.splitlines():
            key = line.partition('=')[0]
            if key.startswith(('Zones.', 'Seeds', 'Some.')):
                continue
            with self.subTest(key):
                text = _SETTINGS.replace(f'{line}\n', '')
                error = str(decode_settings('f', text).unwrap_err())
                self.assertIn(key, error)
                self.assertNotIn('\n', error)
        invalid_text = _SETTINGS.replace('DrainMs=2000', 'DrainMs=soon')
        error = str(decode_settings('f', invalid_text).unwrap_err())
        self.assertIn('Bounds.DrainMs', error)

    def test_unreadable_file_is_an_error(self) -> None:
        self.assertTrue(read_settings_file('/nowhere/at/all').is_err())


class OperatorRecordTest(unittest.TestCase):
    def test_configuration_is_decoded(self) -> None:
        config = decode_operator_record(config_record()).unwrap().config
        (route,) = config.routes
        self.assertEqual(route.host, 'a.example')
        self.assertFalse(route.is_idempotent)
        self.assertEqual(route.timeout_s, 1.2)
        self.assertEqual(route.home_regions, {'cairo'})
        self.assertEqual(config.services['press'].cold_per_s, 2.9)

    def test_invalid_configurations_are_rejected_with_a_reason(self) -> None:
        route = CONFIG['Routes'][0]
        for changes in (
            {'Version': 'seven'},
            {'Routes': None},
            {'Limits': {}},
            {'Services': []},
            {'Routes': [{**route, 'RouteType': 'maybe'}]},
        ):
            with self.subTest(changes):
                decoded = decode_operator_record(config_record(**changes))
                self.assertTrue(decoded.unwrap_err())
        truncated_record = KeyedRecord(
            StorePosition(0), 'config', b'{"Version": 7, "Rou'
        )
        self.assertTrue(decode_operator_record(truncated_record).is_err())
        unknown_record = KeyedRecord(StorePosition(0), 'other', b'{}')
        self.assertTrue(decode_operator_record(unknown_record).is_err())

    def test_update_contains_the_complete_configuration(self) -> None:
        change = decode_operator_record(config_record()).unwrap()
        state = FleetState()
        state.apply_operator_records([change], StorePosition(1))
        update = state.update_since(KnownVersions())
        decoded_update = decode_update(encode_update(update)).unwrap()
        self.assertEqual(decoded_update, update)
        self.assertTrue(decode_update(b'\xc1').is_err())


class HeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.call_codec = PlatformCallCodec()

    def test_call_head_is_decoded_and_forwarded(self) -> None:
        head = RequestHead(
            'GET',
            b'/a/b?c=d',
            [
                (b'host', b'A.example:8548'),
                (b'x-request-id', b'id1'),
                (b'x-deadline-ms', b'1500'),
            ],
            keeps_alive=True,
        )
        call = self.call_codec.read_call(head)
        self.assertEqual(call.host, 'a.example')
        self.assertEqual(call.path, '/a/b')
        self.assertEqual(call.time_left_s, 1.5)
        wire = self.call_codec.forwarded_head(head, 'b1', 0.9)
        self.assertIn(b'x-deadline-ms: 900', wire)
        self.assertEqual(wire.count(b'x-deadline-ms'), 1)
        self.assertIn(b'GET /a/b?c=d HTTP/1.1', wire)

    def test_probe_response_without_a_warmup_time_is_warm(self) -> None:
        fields = [(b'x-instance-id', b'b1'), (b'x-server-load', b'1,2,3,400')]
        info = self.call_codec.read_response(ResponseHead(200, fields, True))
        self.assertEqual(info.reported_load, ReportedLoad(1, 2, 3, 400, 0))
        cold = [*fields, (b'x-warmup-ms', b'1500')]
        info = self.call_codec.read_response(ResponseHead(200, cold, True))
        self.assertEqual(info.reported_load.cold_left_s, 1.5)

    def test_call_response_without_a_warmup_time_leaves_it_unknown(
        self,
    ) -> None:
        fields = [(b'x-server-load', b'1,0,3')]
        info = self.call_codec.read_response(ResponseHead(200, fields, True))
        self.assertEqual(info.reported_load, ReportedLoad(1, 0, 3, 100, None))

    def test_malformed_load_report_is_ignored(self) -> None:
        for text in (b'', b'1', b'a,b,c', b'1,2'):
            fields = [(b'x-server-load', text)]
            info = self.call_codec.read_response(
                ResponseHead(200, fields, True)
            )
            self.assertIsNone(info.reported_load)

    # Guards against one response or request with a number out of range that
    # raises an exception in its call, which then stays in flight for good.
    def test_numbers_out_of_range_are_ignored(self) -> None:
        for number in (b'nan', b'inf', b'-inf', b'-5', b'1e400'):
            with self.subTest(number):
                info = self._response_info(
                    (b'x-server-load', b'1,0,3,' + number),
                    (b'x-warmup-ms', number),
                )
                self.assertIsNone(info.reported_load.cold_left_s)
                self.assertEqual(info.reported_load.slowness_percent, 100)
                load_field = (b'x-server-load', number + b',0,3,100')
                self.assertIsNone(self._response_info(load_field).reported_load)

    def test_call_with_an_infinite_deadline_has_none(self) -> None:
        for number, expected in ((b'nan', None), (b'inf', None), (b'-5', 0)):
            with self.subTest(number):
                head = RequestHead(
                    'GET', b'/', [(b'x-deadline-ms', number)], keeps_alive=True
                )
                call = self.call_codec.read_call(head)
                self.assertEqual(call.time_left_s, expected)

    def test_slowness_without_bounds_is_ignored(self) -> None:
        for load_field in (b'1,0,3,0', b'1,0,3,1e300'):
            info = self._response_info((b'x-server-load', load_field))
            self.assertEqual(info.reported_load.slowness_percent, 100)

    def _response_info(self, *fields: tuple[bytes, bytes]) -> ResponseInfo:
        return self.call_codec.read_response(
            ResponseHead(200, list(fields), True)
        )

    def test_rate_limit_is_a_finite_number_that_is_not_negative(self) -> None:
        for text, expected in (
            (b'2.5', 2.5),
            (b'0', 0),
            (b'-1', None),
            (b'nan', None),
            (b'inf', None),
            (b'many', None),
        ):
            with self.subTest(text):
                fields = [(b'server-limit', text)]
                info = self.call_codec.read_response(
                    ResponseHead(200, fields, True)
                )
                self.assertEqual(info.requests_per_s, expected)
                self.assertTrue(info.has_rate_limit)

    def test_pause_is_a_number_of_seconds_in_a_rejection(self) -> None:
        for text, expected in (
            (b'3', 3),
            (b'0.25', 0.25),
            (b'0', 0),
            (b'99999999999', 99999999999),
            (b'-1', None),
            (b'nan', None),
            (b'1e400', None),
            (b'soon', None),
            (b'', None),
            (b'Wed, 21 Oct 2026 07:28:00 GMT', None),
        ):
            with self.subTest(text):
                fields = [(b'retry-after', text)]
                info = self.call_codec.read_response(
                    ResponseHead(503, fields, True)
                )
                self.assertEqual(info.pause_s, expected)
                self.assertEqual(info.has_invalid_pause, expected is None)
                served = self.call_codec.read_response(
                    ResponseHead(200, fields, True)
                )
                self.assertIsNone(served.pause_s)
                self.assertFalse(served.has_invalid_pause)

    def test_response_states_that_its_server_leaves(self) -> None:
        for text, expected in ((b'1', True), (b'0', False), (b'', False)):
            fields = (b'server-leaving', text)
            self.assertIs(self._response_info(fields).is_leaving, expected)
        self.assertFalse(self._response_info().is_leaving)

    def test_response_states_whether_the_call_was_not_run(self) -> None:
        plain = self.call_codec.read_response(ResponseHead(503, [], True))
        self.assertFalse(plain.not_run)
        other = self.call_codec.read_response(ResponseHead(421, [], True))
        self.assertTrue(other.not_run and other.is_wrong_backend)
        header_fields = [(b'x-not-executed', b'1')]
        shed = self.call_codec.read_response(
            ResponseHead(503, header_fields, True)
        )
        self.assertTrue(shed.not_run)


class DatagramTest(unittest.TestCase):
    def test_availability_is_unchanged_by_encoding_and_decoding(self) -> None:
        statements = (
            StatedAvailability('b1', 1, True, 0, 3),
            StatedAvailability('b2', 0, False, 2.5, 0.1),
        )
        message = AvailabilityMessage('press', 'nasr', statements)
        decoded = decode_message(encode_message(message))
        self.assertEqual(decoded.unwrap(), message)

    def test_invalid_availability_makes_the_message_malformed(self) -> None:
        for stated in (
            ('b1', 1, False, float('nan'), 0),
            ('b1', 1, False, -1, 0),
            ('b1', 1, False, 1, float('inf')),
            ('b1', 1, 'no', 1, 0),
            ('b1', 1, True, 0),
        ):
            with self.subTest(stated):
                wire = msgpack.packb([11, ['press', 'nasr', [stated]]])
                self.assertTrue(decode_message(wire).is_err())

    def test_rate_limits_are_unchanged_by_encoding_and_decoding(self) -> None:
        for requests_per_s in (2.5, 0, None):
            message = RateLimitsMessage(
                'press', 'nasr', (StatedRateLimit('b1', 1, requests_per_s, 3),)
            )
            decoded = decode_message(encode_message(message))
            self.assertEqual(decoded.unwrap(), message)

    def test_invalid_rate_limit_makes_the_message_malformed(self) -> None:
        for stated in (
            ('b1', 1, float('nan'), 0),
            ('b1', 1, -1, 0),
            ('b1', 1, 2, float('inf')),
            ('b1', 1, 'two', 0),
            ('b1', 1, 2),
        ):
            with self.subTest(stated):
                wire = msgpack.packb([10, ['press', 'nasr', [stated]]])
                self.assertTrue(decode_message(wire).is_err())

    def test_messages_are_unchanged_by_encoding_and_decoding(self) -> None:
        for message in (
            Heartbeat(_VM, VmReadiness.READY, _STATE_VERSION, {'g': 'b1'}, {}),
            KnownVms((_VM,)),
            Digest(
                'nasr',
                0,
                ((_VM, VmReadiness.LEAVING),),
                _STATE_VERSION,
                'vm1',
                {'r1': 2.5},
            ),
            PermitRequestMessage(
                'vm1.5.1',
                'press',
                'nasr',
                1,
                0.1,
                0.5,
                1.5,
                is_retry=False,
                may_wait=True,
                may_redirect=False,
                excluded=('b2',),
            ),
            QueuedMessage('vm1.5.1'),
            PermitMessage('vm1.5.1', 'vm2.5/1', _BACKEND, 100, 0.01, 0.2),
            DenialMessage('vm1.5.1', DenialReason.OTHER_DOMAIN, 0.3),
            CancelMessage('vm1.5.1'),
            FinishMessage('vm2.5/1', AttemptReport(AttemptOutcome.SHED)),
            FinishMessage(
                'vm2.5/1',
                AttemptReport(
                    AttemptOutcome.SUCCESS, 0.2, ReportedLoad(1, 0, 3)
                ),
            ),
        ):
            with self.subTest(type(message).__name__):
                wire = encode_message(message)
                self.assertEqual(decode_message(wire).unwrap(), message)

    @given(st.binary(max_size=200))
    def test_malformed_datagrams_are_errors_not_exceptions(
        self,
        wire: bytes,
    ) -> None:
        decoded = decode_message(wire)
        if decoded.is_err():
            self.assertTrue(decoded.unwrap_err().detail)
