"""Tests that keyed calls run at most once.

Duplicates get the right response.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.harness import Backend, Caller, Harness, vm_record
from turmericpost.forward.settings import ForwardSettings
from turmericpost.store.errors import StoreErrorKind
from turmericpost_core.operations.keys import KEY_LIFETIME_S, new_key_prefix
from turmericpost_core.outcome.reasons import RefusalReason


def _post(key: str, body: bytes = b'order', account: str = 'mosque') -> bytes:
    head = (
        f'POST /order HTTP/1.1\r\nHost: pressroom\r\n'
        f'Turmericpost-Account: {account}\r\nIdempotency-Key: {key}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def _response_outcome(wire: bytes) -> tuple[int, str, str]:
    head = wire.partition(b'\r\n\r\n')[0].decode().split('\r\n')
    fields = dict(line.split(': ', 1) for line in head[1:])
    return (
        int(head[0].split()[1]),
        fields['turmericpost-outcome'],
        fields.get('turmericpost-reason', ''),
    )


class KeyedCallTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = Harness()
        self.key = new_key_prefix(
            self.harness.own, self.harness.clock.utc_now()
        )

    def _call(self, wire: bytes) -> Caller:
        caller = self.harness.caller()
        caller.send(wire)
        return caller

    def test_duplicate_waits_for_the_running_operation(self) -> None:
        first = self._call(_post(f'{self.key}1'))
        second = self._call(_post(f'{self.key}1'))
        self.harness.backend().respond(b'printed')
        self.assertEqual(self.harness.pending_connections(), 0)
        wires = [caller.received() for caller in (first, second)]
        self.assertEqual(wires[0], wires[1])
        self.assertTrue(wires[0].endswith(b'printed'))

    def test_later_duplicate_gets_the_stored_response(self) -> None:
        first = self._call(_post(f'{self.key}1'))
        backend = self.harness.backend()
        backend.respond(b'printed')
        backend.received()
        second = self._call(_post(f'{self.key}1'))
        self.assertEqual(first.received(), second.received())
        self.assertEqual(backend.received(), b'')

    def test_another_body_under_the_same_key_is_refused(self) -> None:
        self._call(_post(f'{self.key}1'))
        backend = self.harness.backend()
        running_duplicate = self._call(_post(f'{self.key}1', b'other'))
        backend.respond(b'printed')
        later_duplicate = self._call(_post(f'{self.key}1', b'third'))
        for caller in (running_duplicate, later_duplicate):
            self.assertEqual(
                _response_outcome(caller.received()),
                (422, 'not-run', 'key-reused'),
            )

    def test_equal_keys_of_two_accounts_are_separate(self) -> None:
        self._call(_post(f'{self.key}1'))
        self.harness.backend().respond(b'printed')
        self._call(_post(f'{self.key}1', account='bound'))
        operations = self.harness.forwarder.operations.table
        self.assertEqual(len(operations), 2)

    def test_operation_with_unknown_outcome_is_not_run_again(self) -> None:
        first = self._call(_post(f'{self.key}1'))
        self.harness.backend().disconnect()
        second = self._call(_post(f'{self.key}1'))
        self.assertEqual(_response_outcome(first.received())[1], 'unknown')
        self.assertEqual(
            _response_outcome(second.received()),
            (503, 'unknown', 'key-first-run-unknown'),
        )
        self.assertEqual(self.harness.pending_connections(), 0)

    def test_operation_that_did_not_run_can_be_run_later(self) -> None:
        first = self._call(_post(f'{self.key}1'))
        for _ in range(3):
            self.harness.refuse_connection()
            self.harness.reactor.pump([0.01] * 50)
        self.assertEqual(_response_outcome(first.received())[1], 'not-run')
        second = self._call(_post(f'{self.key}1'))
        self.harness.backend().respond(b'printed')
        self.assertEqual(_response_outcome(second.received())[0], 200)

    def test_disconnected_caller_gets_the_response_later(self) -> None:
        self._call(_post(f'{self.key}1')).disconnect()
        backend = self.harness.backend()
        self.assertFalse(backend.transport.is_aborted)
        backend.respond(b'printed')
        second_caller = self._call(_post(f'{self.key}1'))
        self.assertTrue(second_caller.received().endswith(b'printed'))

    def test_full_table_refuses_new_operations(self) -> None:
        harness = Harness(settings=ForwardSettings(max_operations=1))
        key = new_key_prefix(harness.own, harness.clock.utc_now())
        for name, expected in (('1', b'HTTP/1.1 200'), ('2', b'HTTP/1.1 503')):
            caller = harness.caller()
            caller.send(_post(f'{key}{name}'))
            if harness.pending_connections():
                harness.backend().respond(b'printed')
            self.assertTrue(caller.received().startswith(expected))
        refusals = harness.metrics.refusals
        self.assertEqual(refusals[RefusalReason.KEY_TABLE_FULL], 1)

    def test_operation_is_evicted_only_after_its_key_expired(self) -> None:
        self._call(_post(f'{self.key}1'))
        self.harness.backend().respond(b'printed')
        table = self.harness.forwarder.operations.table
        self.harness.reactor.advance(KEY_LIFETIME_S - 1)
        table.evict_expired(self.harness.clock.monotonic_s())
        self.assertEqual(len(table), 1)
        self.harness.reactor.advance(2)
        table.evict_expired(self.harness.clock.monotonic_s())
        self.assertEqual(len(table), 0)
        late_caller = self._call(_post(f'{self.key}1'))
        self.assertEqual(
            _response_outcome(late_caller.received()),
            (503, 'unknown', 'key-too-old'),
        )

    def test_key_of_an_earlier_incarnation_is_refused(self) -> None:
        now_utc = self.harness.clock.utc_now()
        earlier_prefix = new_key_prefix(vm_record(1, incarnation=0), now_utc)
        caller = self._call(_post(f'{earlier_prefix}1'))
        self.assertEqual(
            _response_outcome(caller.received()),
            (503, 'unknown', 'key-owner-lost'),
        )
        self.assertEqual(self.harness.pending_connections(), 0)

    def test_call_is_relayed_to_key_owner_and_its_response_returned(
        self,
    ) -> None:
        other = vm_record(2)
        self.harness.known_vms = (self.harness.own, other)
        prefix = new_key_prefix(other, self.harness.clock.utc_now())
        caller = self._call(_post(f'{prefix}1'))
        owner: Backend = self.harness.backend()
        self.assertIn(b'turmericpost-relayed: key', owner.received())
        owner.respond(
            b'{}',
            b'422 Unprocessable Content',
            b'Turmericpost-Outcome: not-run\r\n'
            b'Turmericpost-Reason: key-reused\r\n',
        )
        self.assertEqual(
            _response_outcome(caller.received()), (422, 'not-run', 'key-reused')
        )

    def test_unreachable_key_owner_means_unknown_outcome(self) -> None:
        other = vm_record(2)
        self.harness.known_vms = (self.harness.own, other)
        prefix = new_key_prefix(other, self.harness.clock.utc_now())
        caller = self._call(_post(f'{prefix}1'))
        self.harness.refuse_connection()
        self.assertEqual(_response_outcome(caller.received())[1], 'unknown')

    def test_call_is_not_relayed_outside_its_home_regions(self) -> None:
        other = vm_record(2, region='alexandria')
        self.harness.known_vms = (self.harness.own, other)
        prefix = new_key_prefix(other, self.harness.clock.utc_now())
        caller = self._call(_post(f'{prefix}1', account='bound'))
        self.assertEqual(_response_outcome(caller.received())[0], 421)
        self.assertEqual(self.harness.pending_connections(), 0)


class ClaimedKeyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = Harness()

    def _call(self, key: str) -> Caller:
        caller = self.harness.caller()
        caller.send(_post(key))
        return caller

    def test_only_the_first_claim_runs(self) -> None:
        caller = self._call('made-by-caller')
        self.harness.backend().respond(b'printed')
        self.assertEqual(_response_outcome(caller.received())[0], 200)
        other_harness = Harness()
        other_harness.own = vm_record(2)
        other_harness.known_vms = (other_harness.own, self.harness.own)
        other_harness.log = self.harness.log
        other_harness.forwarder.keyed_calls._claims._log = (
            self.harness.log  # type: ignore[assignment]
        )
        other = other_harness.caller()
        other.send(_post('made-by-caller'))
        self.assertIn(
            b'turmericpost-relayed', other_harness.backend().received()
        )

    def test_failed_claim_means_not_run(self) -> None:
        for kind in (StoreErrorKind.NOT_SENT, StoreErrorKind.OVERLOADED):
            with self.subTest(kind=kind):
                harness = Harness()
                harness.log.append_error = kind
                caller = harness.caller()
                caller.send(_post('made-by-caller'))
                self.assertEqual(
                    _response_outcome(caller.received()),
                    (503, 'not-run', 'key-claim-unavailable'),
                )
                self.assertEqual(harness.pending_connections(), 0)

    def test_lost_append_reply_is_resolved_by_reading(self) -> None:
        self.harness.log.loses_replies = True
        caller = self._call('made-by-caller')
        self.harness.backend().respond(b'printed')
        self.assertEqual(_response_outcome(caller.received())[0], 200)

    def test_unresolved_claim_can_be_run_later_by_its_owner(self) -> None:
        self.harness.log.loses_replies = True
        self.harness.log.read_error = StoreErrorKind.NOT_SENT
        caller = self._call('made-by-caller')
        self.assertEqual(_response_outcome(caller.received())[1], 'not-run')
        self.harness.log.loses_replies = False
        self.harness.log.read_error = None
        second_caller = self._call('made-by-caller')
        self.harness.backend().respond(b'printed')
        self.assertEqual(_response_outcome(second_caller.received())[0], 200)

    def test_expired_claim_is_refused(self) -> None:
        self.harness.log.loses_replies = True
        self.harness.log.read_error = StoreErrorKind.EXPIRED
        caller = self._call('made-by-caller')
        self.assertEqual(
            _response_outcome(caller.received()),
            (503, 'unknown', 'key-too-old'),
        )

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.sampled_from(
                ('send', 'answer', 'lose', 'shed', 'leave', 'wait', 'other'),
            ),
            max_size=14,
        ),
        st.booleans(),
    )
    def test_no_event_sequence_runs_an_operation_twice(
        self,
        steps: list[str],
        has_claimed_key: bool,
    ) -> None:
        harness = Harness(backends=2)
        now_utc = harness.clock.utc_now()
        key = (
            'mine'
            if has_claimed_key
            else f'{new_key_prefix(harness.own, now_utc)}1'
        )
        callers: list[Caller] = []
        backends: list[Backend] = []
        run_count = 0
        pending: list[Backend] = []
        for step in (*steps, 'send', 'wait'):
            if step in {'send', 'other'}:
                callers.append(harness.caller())
                body = b'order' if step == 'send' else b'other'
                callers[-1].send(_post(key, body))
            elif step == 'leave' and callers:
                callers.pop().disconnect()
            elif step == 'wait':
                harness.reactor.advance(0.03)
            elif pending:
                backend = pending.pop()
                if step == 'shed':
                    backend.shed_call()
                elif step == 'answer':
                    run_count += 1
                    backend.respond(b'printed')
                else:
                    run_count += 1
                    backend.disconnect()
            while harness.pending_connections():
                backends.append(harness.backend())
            for backend in backends:
                if backend.received():
                    pending.append(backend)
            self.assertLessEqual(run_count + len(pending), 1)


if __name__ == '__main__':
    unittest.main()
