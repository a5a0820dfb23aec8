"""Tests of caller connections: limits, timeouts, order and closing."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.harness import GET, Harness
from turmericpost_core.outcome.reasons import RefusalReason

_FRAGMENTS = st.sampled_from(
    (
        GET,
        b'GET ',
        b'\r\n',
        b'HTTP/1.1\r\n',
        b'Host: pressroom\r\n',
        b'Content-Length: 5\r\n',
        b'Content-Length: -1\r\n',
        b'Transfer-Encoding: chunked\r\n',
        b'5\r\nhello\r\n',
        b'0\r\n\r\n',
        b'\x00\xff',
        b'Upgrade: h2c\r\nConnection: upgrade\r\n',
    )
)


class CallerConnectionTest(unittest.TestCase):
    def _assert_refused_once(
        self, harness: Harness, reason: RefusalReason
    ) -> None:
        self.assertEqual(harness.metrics.refusals[reason], 1)

    def test_malformed_request_gets_one_refusal(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(b'nonsense\r\n\r\n')
        caller.send(b'more nonsense')
        wire = caller.received()
        self.assertTrue(wire.startswith(b'HTTP/1.1 400 '))
        self.assertIn(b'turmericpost-outcome: not-run', wire)
        self.assertIn(b'application/problem+json', wire)
        self.assertEqual(wire.count(b'HTTP/1.1'), 1)
        self.assertTrue(caller.transport.disconnecting)
        self._assert_refused_once(harness, RefusalReason.MALFORMED_REQUEST)

    def test_length_with_chunked_encoding_is_refused(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(
            GET.replace(
                b'\r\n\r\n',
                b'\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n',
            ),
        )
        self.assertTrue(caller.received().startswith(b'HTTP/1.1 400 '))
        self.assertEqual(harness.pending_connections(), 0)

    def test_large_heads_are_refused(self) -> None:
        for wire in (
            GET.replace(b'\r\n\r\n', b'\r\nX: %b\r\n\r\n' % (b'x' * 2000)),
            b'GET /%b' % (b'x' * 2000),
        ):
            with self.subTest(wire=wire[:20]):
                harness = Harness(max_header_bytes=1024)
                caller = harness.caller()
                caller.send(wire)
                self.assertTrue(caller.received().startswith(b'HTTP/1.1 431 '))
                self._assert_refused_once(
                    harness, RefusalReason.HEADERS_TOO_LARGE
                )

    def test_large_bodies_are_refused(self) -> None:
        harness = Harness(max_body_bytes=10)
        caller = harness.caller()
        post = b'POST' + GET[3:-2]
        caller.send(post + b'Content-Length: 20\r\n\r\n')
        backend = harness.backend()
        caller.send(b'x' * 20)
        self.assertTrue(caller.received().startswith(b'HTTP/1.1 413 '))
        self.assertTrue(backend.transport.is_aborted)

    def test_slow_head_is_refused(self) -> None:
        harness = Harness(caller_silence_s=2)
        caller = harness.caller()
        for byte in (b'G', b'E', b'T'):
            caller.send(byte)
            harness.reactor.advance(1)
        harness.port.check_timeouts()
        self.assertTrue(caller.received().startswith(b'HTTP/1.1 408 '))

    def test_stalled_body_is_refused(self) -> None:
        harness = Harness(caller_silence_s=2)
        caller = harness.caller()
        caller.send(b'POST' + GET[3:-2] + b'Content-Length: 20\r\n\r\nab')
        harness.backend()
        harness.reactor.advance(3)
        harness.port.check_timeouts()
        self.assertTrue(caller.received().startswith(b'HTTP/1.1 408 '))
        self._assert_refused_once(harness, RefusalReason.SLOW_CALLER)

    def test_idle_connection_is_closed(self) -> None:
        harness = Harness(caller_idle_s=5)
        caller = harness.caller()
        harness.reactor.advance(6)
        harness.port.check_timeouts()
        self.assertTrue(caller.transport.disconnecting)

    def test_pipelined_calls_get_responses_in_order(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(GET + GET.replace(b'/item', b'/other'))
        backend = harness.backend()
        self.assertIn(b'/item', backend.received())
        backend.respond(b'first')
        self.assertIn(b'/other', backend.received())
        backend.respond(b'second')
        wire = caller.received()
        self.assertLess(wire.index(b'first'), wire.index(b'second'))

    def test_100_continue_is_sent_only_for_accepted_calls(self) -> None:
        harness = Harness()
        expect = b'Expect: 100-continue\r\nContent-Length: 5\r\n\r\n'
        caller = harness.caller()
        caller.send(b'POST' + GET[3:-2] + expect)
        self.assertTrue(caller.received().startswith(b'HTTP/1.1 100 '))
        refused = harness.caller()
        unknown_account = GET.replace(b'mosque', b'stranger')
        refused.send(b'POST' + unknown_account[3:-2] + expect)
        self.assertTrue(refused.received().startswith(b'HTTP/1.1 403 '))
        self.assertTrue(refused.transport.disconnecting)

    def test_connection_is_usable_after_refused_call(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(GET.replace(b'pressroom', b'nowhere'))
        self.assertTrue(caller.received().startswith(b'HTTP/1.1 404 '))
        caller.send(GET)
        harness.backend().respond(b'card')
        self.assertTrue(caller.received().endswith(b'card'))

    def test_draining_vm_closes_connection_after_response(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(GET)
        harness.port.is_draining = True
        harness.port.close_idle()
        self.assertFalse(caller.transport.disconnecting)
        harness.backend().respond(b'card')
        self.assertIn(b'connection: close', caller.received())
        self.assertTrue(caller.transport.disconnecting)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(_FRAGMENTS | st.binary(max_size=20), max_size=8))
    def test_arbitrary_bytes_leave_no_call_in_flight(
        self,
        fragments: list[bytes],
    ) -> None:
        harness = Harness()
        caller = harness.caller()
        for fragment in fragments:
            caller.send(fragment)
        harness.reactor.advance(20)
        harness.port.check_timeouts()
        caller.disconnect()
        self.assertEqual(harness.metrics.calls_in_flight, 0)


if __name__ == '__main__':
    unittest.main()
