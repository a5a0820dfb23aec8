"""Claims on operation keys when the store returns from an older copy."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Coroutine
from copy import deepcopy
from random import Random
from typing import Any

from result import Err, Result
from twisted.internet.testing import MemoryReactorClock

from tests.harness import FakeClock, FakeLog, vm_record
from tests.platform.test_store_client import StoreHarness
from turmericpost.forward.claims import ClaimedKey, KeyClaims
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost.store.record_log import LogRecord
from turmericpost_core.operations.claim_eras import CLAIM_HOLD_S
from turmericpost_core.operations.claims import claim_stream_name
from turmericpost_core.operations.table import OperationId
from turmericpost_core.outcome.reasons import RefusalReason

HISTORY_COUNT = 1000

_HEARING_S = 3
_KEY = OperationId('mosque', 'pressroom', 'made-by-caller')
_OTHER_KEY = OperationId('mosque', 'pressroom', 'another')


def _run(step: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never suspends and return its result."""
    try:
        step.send(None)
    except StopIteration as ended:
        return ended.value
    raise AssertionError('the coroutine waits')


class _ReturningLog(FakeLog):
    """Log that returns from a copy.

    ``late`` holds appends not yet executed. One reply at a time is lost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.era = 1
        self.delays_next = False
        self.late: list[tuple[str, bytes]] = []

    async def append(self, stream: str, record: bytes) -> Any:
        if not self.delays_next:
            appended = await super().append(stream, record)
            self.loses_replies = False
            return appended
        self.delays_next = False
        self.late.append((stream, record))
        return Err(StoreError(StoreErrorKind.NO_RESPONSE, 'test'))

    async def execute_late(self) -> None:
        """Execute the delayed appends."""
        late = tuple(self.late)
        self.late.clear()
        for stream, record in late:
            await self.append(stream, record)

    def copy(self) -> dict[str, list[LogRecord]]:
        """Return a copy of all streams."""
        return deepcopy(self.streams)

    def restore(self, streams: dict[str, list[LogRecord]]) -> None:
        """Return from a copy."""
        self.streams = deepcopy(streams)
        if self.era is not None:
            self.era += 1


class _Vm:
    """A VM that claims keys; ``runs`` counts the operations it ran."""

    def __init__(self, number: int, log: FakeLog, clock: FakeClock) -> None:
        self.record = vm_record(number)
        self.claims = KeyClaims(log, clock)  # type: ignore[arg-type]
        self.runs: set[OperationId] = set()
        self._log = log

    def claim(
        self, operation_id: OperationId = _KEY
    ) -> Result[ClaimedKey, RefusalReason]:
        """Claim a key, and run its operation once if this VM owns it."""
        claimed: Result[ClaimedKey, RefusalReason] = _run(
            self.claims.claim(operation_id, self.record)
        )
        if claimed.is_ok() and self.is_owner(claimed):
            self.runs.add(operation_id)
        return claimed

    def is_owner(self, claimed: Result[ClaimedKey, RefusalReason]) -> bool:
        """Return whether a claim is known to be that of this VM."""
        return bool(claimed.unwrap().owner.is_same_incarnation(self.record))

    def hear(self) -> None:
        """Get a response of the store."""
        self.claims.era_stated(self._log.era)


class ClaimsAfterReturnTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(MemoryReactorClock())
        self.log = _ReturningLog()
        self.first = _Vm(1, self.log, self.clock)
        self.second = _Vm(2, self.log, self.clock)

    def _lose_first_claim(self) -> None:
        """Let the first VM's claim be lost that was acknowledged."""
        for vm in (self.first, self.second):
            vm.claim(_OTHER_KEY)
        before = self.log.copy()
        self.assertTrue(self.first.is_owner(self.first.claim()))
        self.log.restore(before)

    def _assert_refused(
        self, claimed: Result[ClaimedKey, RefusalReason]
    ) -> None:
        self.assertIs(claimed.err(), RefusalReason.KEY_CLAIM_UNAVAILABLE)

    # Guards against an operation that runs on two VMs, since the store lost the
    # claim of the first.
    def test_lost_claim_counts_until_it_is_written_again(self) -> None:
        self._lose_first_claim()
        self.second.hear()
        self._assert_refused(self.second.claim())
        self.clock.pause(_HEARING_S)
        self.first.hear()
        self.assertTrue(self.first.is_owner(self.second.claim()))
        self.clock.pause(CLAIM_HOLD_S)
        self.assertTrue(self.first.is_owner(self.second.claim()))

    # Guards against the same if the append itself tells of the return: it takes
    # offset 0 of the stream.
    def test_claim_that_tells_of_the_return_never_counts(self) -> None:
        self._lose_first_claim()
        self._assert_refused(self.second.claim())
        self.first.hear()
        self.clock.pause(CLAIM_HOLD_S)
        self.assertTrue(self.first.is_owner(self.second.claim()))
        self.assertEqual(self.second.runs, set())

    # Guards against a key that can't be used again once the hold has ended.
    def test_new_key_is_claimed_after_the_hold(self) -> None:
        self._lose_first_claim()
        new_key = OperationId('mosque', 'pressroom', 'new')
        self._assert_refused(self.second.claim(new_key))
        self.clock.pause(CLAIM_HOLD_S)
        claimed = self.second.claim(new_key)
        self.assertTrue(self.second.is_owner(claimed))

    def test_claim_that_the_copy_has_counts(self) -> None:
        self.second.claim(_OTHER_KEY)
        self.first.claim()
        self.log.restore(self.log.copy())
        for pause_s in (0, CLAIM_HOLD_S):
            self.clock.pause(pause_s)
            self.second.hear()
            self.assertTrue(self.first.is_owner(self.second.claim()))
            self.assertTrue(self.first.is_owner(self.first.claim()))

    # Guards against an append that was not answered and is executed after the
    # return, where it comes before the claim that it had lost to.
    def test_late_append_of_the_earlier_era_never_counts(self) -> None:
        self.second.claim(_OTHER_KEY)
        before = self.log.copy()
        self.log.delays_next = True
        self._assert_refused(self.second.claim())
        self.first.claim()
        self.log.restore(before)
        _run(self.log.execute_late())
        self.first.hear()
        for pause_s in (0, CLAIM_HOLD_S):
            self.second.hear()
            self.clock.pause(pause_s)
            self.assertTrue(self.first.is_owner(self.second.claim()))

    # Guards against lost claims that stay lost, since writing them again failed.
    def test_failed_writing_is_resumed(self) -> None:
        self._lose_first_claim()
        self.log.append_error = StoreErrorKind.OVERLOADED
        self.first.hear()
        self.log.append_error = None
        self.first.hear()
        self.second.hear()
        self.assertTrue(self.first.is_owner(self.second.claim()))

    # Guards against a second return that loses what was written again.
    def test_two_returns_in_a_row(self) -> None:
        self._lose_first_claim()
        before = self.log.copy()
        self.first.hear()
        self.log.restore(before)
        self.clock.pause(CLAIM_HOLD_S - 1)
        self.first.hear()
        self.second.hear()
        self.assertTrue(self.first.is_owner(self.second.claim()))

    def test_only_claims_that_a_copy_may_lack_are_written_again(self) -> None:
        self.first.claim(_OTHER_KEY)
        self.clock.pause(CLAIM_HOLD_S + 1)
        self.first.hear()
        self.first.claim()
        self.log.restore({})
        self.first.hear()
        self.assertEqual(list(self.log.streams), [claim_stream_name(_KEY)])

    # Guards against claims forgotten while this VM got no response.
    def test_claims_are_kept_while_the_store_is_away(self) -> None:
        self._lose_first_claim()
        self.clock.pause(CLAIM_HOLD_S * 4)
        self.first.hear()
        self.second.hear()
        self.assertTrue(self.first.is_owner(self.second.claim()))

    def test_store_that_states_no_era_is_relied_on(self) -> None:
        self.log.era = None
        self.assertTrue(self.first.is_owner(self.first.claim()))
        self.assertTrue(self.first.is_owner(self.second.claim()))

    # Guards against an append that is trusted though its answer tells no era.
    def test_response_without_the_known_era_is_not_relied_on(self) -> None:
        self.first.claim(_OTHER_KEY)
        self.log.era = None
        self._assert_refused(self.first.claim())

    def test_first_era_is_no_return(self) -> None:
        self.first.hear()
        self.assertTrue(self.first.is_owner(self.first.claim()))

    # Guards against a VM that starts while the store is away and then can't
    # tell that it has returned from a copy.
    def test_first_era_after_the_store_was_away_may_be_a_return(self) -> None:
        self.first.claims.era_stated(1, was_away=True)
        self._assert_refused(self.first.claim())
        self.clock.pause(CLAIM_HOLD_S)
        self.assertTrue(self.first.is_owner(self.first.claim()))

    # Guards against an era that does not reach the claims over sockets.
    def test_claim_over_sockets(self) -> None:
        store = StoreHarness()
        first, second = (KeyClaims(store.client, self.clock) for _ in range(2))
        store.client.on_era(second.era_stated)

        async def steps() -> Any:
            await second.claim(_OTHER_KEY, vm_record(2))
            before = store.service.copy()
            lost = await first.claim(_KEY, vm_record(1))
            store.service.restore(before)
            refused = await second.claim(_KEY, vm_record(2))
            first.era_stated(2)
            await store.pause(0.2)
            return lost, refused, await second.claim(_KEY, vm_record(2))

        lost, refused, found = store.run(steps)
        self.assertTrue(lost.unwrap().is_new)
        self._assert_refused(refused)
        self.assertEqual(found.unwrap().owner, lost.unwrap().owner)


class _RandomHistory:
    """Three VMs claim keys while the store returns from copies.

    Each VM hears of a return within ``_HEARING_S``. The promise needs that it
    can then write its claims again before the others' hold ends.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.clock = FakeClock(MemoryReactorClock())
        self.log = _ReturningLog()
        self.vms = [_Vm(number, self.log, self.clock) for number in range(3)]
        self.keys = [
            OperationId('mosque', 'pressroom', f'key{number}')
            for number in range(4)
        ]
        self.copies = [(self.clock.monotonic_s(), self.log.copy())]
        self.return_count = 0
        self._unheard: dict[int, float] = {}
        for vm in self.vms:
            vm.hear()

    def run(self) -> Counter[OperationId]:
        """Return how many VMs ran each operation."""
        steps = (
            (self._claim, 10),
            (self._copy, 3),
            (self._return, 1),
            (self._pause, 5),
            (self._lose_response, 1),
            (self._delay, 1),
            (self._execute_late, 2),
        )
        actions, weights = zip(*steps, strict=True)
        for _ in range(80):
            self.random.choices(actions, weights)[0]()
        return Counter(key for vm in self.vms for key in vm.runs)

    def _claim(self) -> None:
        vm = self.random.choice(self.vms)
        key = self.random.choice(self.keys)
        if key not in vm.runs:
            vm.claim(key)
        self.log.delays_next = False

    def _copy(self) -> None:
        self.copies.append((self.clock.monotonic_s(), self.log.copy()))

    def _return(self) -> None:
        now_s = self.clock.monotonic_s()
        recent = [
            streams for made_s, streams in self.copies if now_s - made_s < 8
        ]
        if recent:
            self.return_count += 1
            self.log.restore(self.random.choice(recent))
            self.copies = []
            self._unheard = {
                number: now_s + self.random.uniform(0, _HEARING_S)
                for number, _ in enumerate(self.vms)
            }

    def _pause(self) -> None:
        for _ in range(self.random.choice((2, 2, 2, 80))):
            self.clock.pause(0.25)
            for number, vm in enumerate(self.vms):
                if self._unheard.get(number, 0) <= self.clock.monotonic_s():
                    vm.hear()

    def _lose_response(self) -> None:
        self.log.loses_replies = True

    def _delay(self) -> None:
        self.log.delays_next = True

    def _execute_late(self) -> None:
        _run(self.log.execute_late())


class ClaimHistoriesTest(unittest.TestCase):
    # Guards against operations that run on two VMs after any sequence of
    # returns, lost and late appends.
    def test_no_operation_runs_on_two_vms(self) -> None:
        run_twice = {}
        return_count = 0
        run_count = 0
        for seed in range(HISTORY_COUNT):
            history = _RandomHistory(seed)
            runs = history.run()
            return_count += history.return_count
            run_count += len(runs)
            if any(count > 1 for count in runs.values()):
                run_twice[seed] = runs
        self.assertEqual(run_twice, {})
        self.assertGreater(return_count, HISTORY_COUNT)
        self.assertGreater(run_count, HISTORY_COUNT)


if __name__ == '__main__':
    unittest.main()
