"""How a VM finds the others, and what it asks the store for."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from tests.fleet.test_store_reader import FakeStore
from tests.harness import FakeClock
from turmericpost.gateway.peer_discovery import (
    HELLOS_PER_RETRY,
    JOIN_RETRY_S,
    PeerDiscovery,
)
from turmericpost.observe.events import LogEvent
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost_core.membership.domain_view import DomainView, Vm, VmReadiness

SEEDS = ('10.1.0.1', '10.2.0.1')


def vm(name: str) -> Vm:
    return Vm(name, name, 7540, '', 'nasr', 'cairo', 1)


class JoiningStore(FakeStore):
    """A store with announced VMs that can turn callers away."""

    def __init__(self) -> None:
        super().__init__()
        self.vms: tuple[Vm, ...] = ()

    async def announce(self, vm: Vm) -> Result[None, StoreError]:
        self.made['announce'] += 1
        return Ok(None) if self.error is None else Err(self.error)

    async def list_vms(self) -> Result[tuple[Vm, ...], StoreError]:
        self.made['list-vms'] += 1
        return Ok(self.vms) if self.error is None else Err(self.error)


class FakePeers:
    def __init__(self, view: DomainView) -> None:
        self.view = view
        self.greeted: list[str] = []

    def send_hello(self, hosts: tuple[str, ...], _port: int) -> None:
        self.greeted.extend(hosts)


class JoiningTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.clock = FakeClock(self.reactor)
        self.store = JoiningStore()
        self.ended: list[None] = []
        self._begin()

    def _begin(self) -> None:
        self.peers = FakePeers(DomainView(vm('own')))
        self.joining = PeerDiscovery(
            self.reactor,
            self.clock,
            self.store,
            self.peers,
            SEEDS,
        )
        joined = Deferred.fromCoroutine(self.joining.join())
        joined.addCallback(self.ended.append)

    def _pass(self, seconds: float) -> None:
        step_s = JOIN_RETRY_S / HELLOS_PER_RETRY
        for _ in range(round(seconds / step_s)):
            self.reactor.advance(step_s)

    def _hear(self, name: str) -> None:
        now_s = self.clock.monotonic_s()
        self.peers.view.record_heartbeat(vm(name), VmReadiness.READY, now_s)

    def test_seeds_that_start_too_are_greeted_again_soon(self) -> None:
        self.assertEqual(self.peers.greeted, list(SEEDS))
        self._pass(0.3)
        self.assertEqual(len(self.peers.greeted), 4 * len(SEEDS))

    def test_vm_that_is_heard_ends_the_search_without_a_listing(self) -> None:
        self._pass(0.5)
        self._hear('other')
        self._pass(0.5)
        self.assertEqual(self.ended, [None])
        self.assertEqual(self.store.made['announce'], 1)
        self.assertEqual(self.store.made['list-vms'], 0)

    def test_announced_vms_are_called_when_no_seed_answers(self) -> None:
        self.store.vms = (vm('other'),)
        self._pass(JOIN_RETRY_S)
        heartbeat_targets = [
            one.name for one in self.peers.view.heartbeat_targets('nasr')
        ]
        self.assertEqual(heartbeat_targets, ['other'])
        self.assertEqual(self.ended, [])

    def test_store_that_turns_away_is_asked_again_and_logged(self) -> None:
        self.joining.is_over = True
        self.store.error = StoreError(StoreErrorKind.OVERLOADED)
        with patch('turmericpost.gateway.peer_discovery.log_event') as logged:
            self._begin()
            self._pass(2 * JOIN_RETRY_S)
        events = {call.args[0] for call in logged.call_args_list}
        self.assertEqual(
            events,
            {LogEvent.VMS_NOT_LISTED, LogEvent.STORE_WRITE_FAILED},
        )
        self.store.error = None
        self._pass(JOIN_RETRY_S)
        self._hear('other')
        self._pass(JOIN_RETRY_S)
        self.assertEqual(self.ended, [None, None])

    def test_vm_that_leaves_stops_looking(self) -> None:
        self.joining.is_over = True
        self._pass(JOIN_RETRY_S)
        self.assertEqual(self.ended, [None])
