"""Tests of forwarded calls: responses, outcomes, retries and streaming."""

from __future__ import annotations

import unittest

from tests.harness import GET, WARM_REPORT, Harness
from turmericpost.forward.settings import ForwardSettings
from turmericpost_core.config.document import Limits
from turmericpost_core.outcome.reasons import RefusalReason, RetryReason

_POST = (
    b'POST /order HTTP/1.1\r\nHost: pressroom\r\n'
    b'Turmericpost-Account: mosque\r\nContent-Length: 5\r\n\r\norder'
)


def _response_outcome(wire: bytes) -> tuple[int, bytes | None, bytes | None]:
    head = wire.partition(b'\r\n\r\n')[0].split(b'\r\n')
    fields = dict(line.split(b': ', 1) for line in head[1:])
    return (
        int(head[0].split()[1]),
        fields.get(b'turmericpost-outcome'),
        fields.get(b'turmericpost-reason'),
    )


class CallTest(unittest.TestCase):
    def test_call_gets_complete_response(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(GET)
        harness.backend().respond(b'card')
        wire = caller.received()
        self.assertEqual(_response_outcome(wire), (200, b'complete', None))
        self.assertTrue(wire.endswith(b'\r\n\r\ncard'))
        self.assertNotIn(b'endpoint-load-metrics', wire)
        self.assertNotIn(b'attempt-id', wire)
        self.assertEqual(harness.metrics.calls_in_flight, 0)

    def test_hop_by_hop_fields_are_not_forwarded(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(
            b'GET / HTTP/1.1\r\nHost: pressroom.nile.example\r\n'
            b'Turmericpost-Account: mosque\r\nConnection: X-Secret\r\n'
            b'X-Secret: 1\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n'
            b'X-Kept: 2\r\nTurmericpost-Depth: 3\r\n'
            b'Turmericpost-Attempt-Id: mine\r\n'
            b'Turmericpost-Deadline-Ms: 900\r\n\r\n',
        )
        harness.reactor.advance(0.1)
        backend = harness.backend()
        sent = backend.received().lower()
        for dropped in (
            b'x-secret',
            b'keep-alive',
            b'te:',
            b'connection',
            b'mine',
        ):
            self.assertNotIn(dropped, sent)
        for kept in (
            b'x-kept: 2',
            b'turmericpost-depth: 4',
            b'turmericpost-deadline-ms: 800',
            b'via: 1.1 turmericpost',
        ):
            self.assertIn(kept, sent)
        backend.respond(b'', headers=b'Connection: X-Inner\r\nX-Inner: 1\r\n')
        self.assertNotIn(b'x-inner', caller.received())

    def test_truncated_response_is_refused(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(_POST)
        backend = harness.backend()
        backend.send(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart')
        backend.disconnect()
        self.assertEqual(
            _response_outcome(caller.received()),
            (502, b'unknown', b'truncated-answer'),
        )
        refusals = harness.metrics.refusals
        self.assertEqual(refusals[RefusalReason.TRUNCATED_ANSWER], 1)

    def test_truncated_streamed_response_aborts_the_connection(self) -> None:
        harness = Harness(settings=ForwardSettings(hold_bytes=1024))
        caller = harness.caller()
        caller.send(_POST)
        backend = harness.backend()
        backend.send(b'HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n')
        backend.send(b'x' * 2000)
        self.assertIn(b'x' * 2000, caller.received())
        backend.disconnect()
        self.assertTrue(caller.transport.is_aborted)
        refusals = harness.metrics.refusals
        self.assertEqual(refusals[RefusalReason.TRUNCATED_ANSWER], 1)

    def test_unframed_response_is_refused(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(_POST)
        harness.backend().send(b'HTTP/1.1 200 OK\r\n\r\npart')
        self.assertEqual(
            _response_outcome(caller.received()),
            (502, b'unknown', b'unframed-answer'),
        )

    def test_idempotent_call_is_retried(self) -> None:
        harness = Harness(backends=2)
        caller = harness.caller()
        caller.send(GET)
        harness.backend().disconnect()
        harness.backend().respond(b'second')
        self.assertTrue(caller.received().endswith(b'second'))
        retries = harness.metrics.retries
        self.assertEqual(retries[RetryReason.CONNECTION_LOST], 1)

    def test_nested_call_is_not_retried(self) -> None:
        harness = Harness(backends=2)
        caller = harness.caller()
        nested = GET.replace(b'\r\n\r\n', b'\r\nTurmericpost-Depth: 1\r\n\r\n')
        caller.send(nested)
        harness.backend().disconnect()
        self.assertEqual(
            _response_outcome(caller.received()),
            (502, b'unknown', b'connection-lost'),
        )

    def test_post_that_may_have_run_is_not_retried(self) -> None:
        harness = Harness(backends=2)
        caller = harness.caller()
        caller.send(_POST)
        harness.backend().disconnect()
        self.assertEqual(
            _response_outcome(caller.received()),
            (502, b'unknown', b'connection-lost'),
        )
        self.assertEqual(harness.pending_connections(), 0)

    def test_shed_post_is_retried_at_another_server(self) -> None:
        harness = Harness(backends=2)
        caller = harness.caller()
        caller.send(_POST)
        harness.backend().shed_call()
        second = harness.backend()
        self.assertTrue(second.received().endswith(b'order'))
        second.respond(b'done')
        self.assertEqual(
            _response_outcome(caller.received()), (200, b'complete', None)
        )

    # Guards against a refusal that a server writes once more: the next call on
    # the connection would be reported as not run, or run a second time.
    def test_repeated_refusal_does_not_reach_the_next_call(self) -> None:
        harness = Harness(limits=Limits(retry_ratio=0, retry_burst=0))
        harness.caller().send(GET)
        server = harness.backend()
        refusal_field = server.attempt_id_field()
        server.shed_call()
        harness.reactor.advance(1)
        caller = harness.caller()
        caller.send(_POST)
        server.send(
            b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n'
            b'Turmericpost-Outcome: not-run\r\n%b\r\n' % refusal_field
        )
        self.assertEqual(caller.received(), b'')
        server.respond(b'done')
        self.assertTrue(caller.received().endswith(b'done'))

    # Guards against a second copy of a response, written late on a connection
    # in use again: the next caller got a response to another call.
    def test_repeated_response_does_not_reach_the_next_call(self) -> None:
        for repeats_id in (True, False):
            with self.subTest(repeats_id=repeats_id):
                self._check_copy_is_skipped(repeats_id=repeats_id)

    def test_server_that_repeats_no_id_gets_new_connections(self) -> None:
        harness = Harness(backends=2)
        for refusal_field in (b'', b'Turmericpost-Outcome: not-run\r\n'):
            harness.caller().send(GET)
            server = harness.backend()
            server.send(
                b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n'
                b'%b\r\n' % refusal_field
            )
            self.assertTrue(server.transport.disconnecting)

    def test_post_without_connection_is_reported_as_not_run(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(_POST)
        for _ in range(3):
            harness.refuse_connection()
            harness.reactor.pump([0.01] * 50)
        self.assertEqual(
            _response_outcome(caller.received()),
            (502, b'not-run', b'connect-failed'),
        )

    def test_empty_retry_budget_stops_retries(self) -> None:
        limits = Limits(retry_ratio=0, retry_burst=1)
        harness = Harness(backends=3, limits=limits)
        caller = harness.caller()
        caller.send(GET)
        harness.backend().disconnect()
        harness.backend().disconnect()
        self.assertEqual(_response_outcome(caller.received())[0], 502)
        self.assertEqual(harness.metrics.retries.total(), 1)

    def test_deadline_cancels_the_attempt(self) -> None:
        harness = Harness()
        caller = harness.caller()
        deadline = b'\r\nTurmericpost-Deadline-Ms: 300\r\n\r\n'
        caller.send(GET.replace(b'\r\n\r\n', deadline))
        backend = harness.backend()
        harness.reactor.advance(0.299)
        self.assertEqual(caller.received(), b'')
        harness.reactor.advance(0.002)
        self.assertEqual(
            _response_outcome(caller.received()),
            (504, b'unknown', b'deadline-exceeded'),
        )
        self.assertTrue(backend.transport.is_aborted)

    def test_caller_disconnect_cancels_the_attempt(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(GET)
        backend = harness.backend()
        caller.disconnect()
        self.assertTrue(backend.transport.is_aborted)
        refusals = harness.metrics.refusals
        self.assertEqual(refusals[RefusalReason.CALLER_GONE], 1)
        self.assertEqual(harness.metrics.calls_in_flight, 0)

    def test_cold_server_gets_one_call_at_a_time(self) -> None:
        harness = Harness()
        callers = [harness.caller() for _ in range(3)]
        for caller in callers:
            caller.send(GET)
        self.assertEqual(harness.pending_connections(), 1)
        backend = harness.backend()
        for caller in callers:
            backend.respond(b'one')
            self.assertEqual(_response_outcome(caller.received())[0], 200)

    def test_full_queue_refuses_call_as_not_run(self) -> None:
        harness = Harness()
        callers = [harness.caller() for _ in range(5)]
        for caller in callers:
            caller.send(_POST)
        self.assertEqual(
            _response_outcome(callers[-1].received()),
            (503, b'not-run', b'queue-full'),
        )

    def test_unsolicited_response_is_not_sent_to_the_next_caller(self) -> None:
        harness = Harness()
        first = harness.caller()
        first.send(GET)
        backend = harness.backend()
        backend.respond(b'own')
        first.received()
        backend.respond(b'stray')
        self.assertTrue(backend.transport.is_aborted)
        second = harness.caller()
        second.send(GET)
        self.assertEqual(second.received(), b'')
        harness.backend().respond(b'fresh')
        self.assertTrue(second.received().endswith(b'fresh'))

    def test_second_response_in_one_packet_is_discarded(self) -> None:
        harness = Harness()
        callers = [harness.caller() for _ in range(2)]
        for caller in callers:
            caller.send(GET)
        response_head = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n'
        backend = harness.backend()
        backend.send(b'%ba%bb' % (response_head, response_head))
        self.assertTrue(callers[0].received().endswith(b'a'))
        self.assertEqual(callers[1].received(), b'')
        self.assertFalse(backend.connection.is_usable)

    def test_head_response_keeps_length_and_connection(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(GET.replace(b'GET', b'HEAD'))
        backend = harness.backend()
        backend.send(
            b'HTTP/1.1 200 OK\r\nContent-Length: 77\r\n%b\r\n'
            % backend.attempt_id_field()
        )
        wire = caller.received()
        self.assertIn(b'content-length: 77', wire)
        self.assertTrue(wire.endswith(b'\r\n\r\n'))
        caller.send(GET)
        backend.respond(b'next')
        self.assertTrue(caller.received().endswith(b'next'))

    def test_server_error_is_forwarded_with_unknown_outcome(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(_POST)
        harness.backend().respond(b'oops', b'500 Internal Server Error')
        wire = caller.received()
        self.assertEqual(_response_outcome(wire)[:2], (500, b'unknown'))
        self.assertTrue(wire.endswith(b'oops'))

    def _check_copy_is_skipped(self, *, repeats_id: bool) -> None:
        harness = Harness()
        harness.caller().send(GET)
        server = harness.backend()
        copied_field = server.attempt_id_field() if repeats_id else b''
        server.respond(b'first')
        caller = harness.caller()
        caller.send(_POST)
        server.send(
            b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n%b\r\nfirst'
            % copied_field
        )
        self.assertEqual(caller.received(), b'')
        server.respond(b'second')
        self.assertTrue(caller.received().endswith(b'second'))
        self.assertTrue(server.transport.disconnecting)


class StreamingTest(unittest.TestCase):
    def test_slow_caller_pauses_the_response(self) -> None:
        harness = Harness(settings=ForwardSettings(hold_bytes=1024))
        caller = harness.caller()
        caller.send(GET)
        backend = harness.backend()
        backend.send(b'HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n')
        backend.send(b'x' * 2000)
        caller.protocol.pauseProducing()
        self.assertTrue(backend.transport.is_paused)
        caller.protocol.resumeProducing()
        self.assertFalse(backend.transport.is_paused)

    def test_slow_backend_pauses_the_request_body(self) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(_POST.replace(b'Length: 5', b'Length: 90000'))
        backend = harness.backend()
        backend.connection.pauseProducing()
        self.assertTrue(caller.transport.is_paused)
        backend.connection.resumeProducing()
        self.assertFalse(caller.transport.is_paused)

    def test_unsent_body_is_limited(self) -> None:
        settings = ForwardSettings(
            hold_bytes=1024, replay_bytes=1024, chunk_buffer_bytes=4096
        )
        harness = Harness(settings=settings)
        caller = harness.caller()
        caller.send(_POST.replace(b'Length: 5', b'Length: 90000'))
        caller.send(b'x' * 5000)
        self.assertTrue(caller.transport.is_paused)
        backend = harness.backend()
        self.assertFalse(caller.transport.is_paused)
        self.assertTrue(backend.received().endswith(b'order' + b'x' * 5000))
        caller.send(b'y' * 100)
        self.assertEqual(backend.received(), b'y' * 100)

    def test_chunked_bodies_stay_chunked_in_both_directions(self) -> None:
        harness = Harness(settings=ForwardSettings(hold_bytes=1024))
        caller = harness.caller()
        chunked = b'Transfer-Encoding: chunked\r\n\r\n'
        caller.send(_POST.partition(b'Content-Length')[0] + chunked)
        backend = harness.backend()
        caller.send(b'3\r\nabc\r\n')
        caller.send(b'0\r\n\r\n')
        self.assertTrue(backend.received().endswith(b'3\r\nabc\r\n0\r\n\r\n'))
        backend.send(b'HTTP/1.1 200 OK\r\n' + WARM_REPORT + chunked)
        backend.send(b'7d0\r\n%b\r\n' % (b'x' * 2000))
        backend.send(b'0\r\n\r\n')
        wire = caller.received()
        self.assertIn(b'transfer-encoding: chunked', wire)
        self.assertTrue(wire.endswith(b'\r\n0\r\n\r\n'))

    def test_incomplete_response_is_streamed_after_the_buffer_time(
        self,
    ) -> None:
        harness = Harness()
        caller = harness.caller()
        caller.send(GET)
        backend = harness.backend()
        backend.send(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nearly')
        self.assertEqual(caller.received(), b'')
        harness.reactor.advance(0.06)
        self.assertTrue(caller.received().endswith(b'early'))
        backend.send(b'late')
        self.assertEqual(caller.received(), b'late')


if __name__ == '__main__':
    unittest.main()
