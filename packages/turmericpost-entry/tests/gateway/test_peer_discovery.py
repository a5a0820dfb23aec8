"""Discovery of other VMs by hello messages and by the listing of the store."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from tests.fleet.test_store_reader import FakeStore
from tests.harness import FakeClock
from turmericpost.gateway.peer_discovery import (
    DISCOVERY_INTERVAL_S,
    HELLOS_PER_INTERVAL,
    PeerDiscovery,
)
from turmericpost.observe.events import LogEvent
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost_core.membership.domain_view import DomainView, Vm, VmReadiness

SEEDS = ('10.1.0.1', '10.2.0.1')


def vm(name: str) -> Vm:
    return Vm(name, name, 7540, '', 'nasr', 'cairo', 1)


class FakeVmStore(FakeStore):
    """A store with announced VMs that can fail with an error."""

    def __init__(self) -> None:
        super().__init__()
        self.vms: tuple[Vm, ...] = ()

    async def announce(self, vm: Vm) -> Result[None, StoreError]:
        self.calls['announce'] += 1
        return Ok(None) if self.error is None else Err(self.error)

    async def list_vms(self) -> Result[tuple[Vm, ...], StoreError]:
        self.calls['list-vms'] += 1
        return Ok(self.vms) if self.error is None else Err(self.error)


class FakePeers:
    def __init__(self, view: DomainView) -> None:
        self.view = view
        self.hello_hosts: list[str] = []

    def send_hello(self, hosts: tuple[str, ...], _port: int) -> None:
        self.hello_hosts.extend(hosts)


class PeerDiscoveryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.clock = FakeClock(self.reactor)
        self.store = FakeVmStore()
        self.ended: list[None] = []
        self._begin()

    def _begin(self) -> None:
        self.peers = FakePeers(DomainView(vm('own')))
        self.discovery = PeerDiscovery(
            self.reactor,
            self.clock,
            self.store,
            self.peers,
            SEEDS,
        )
        finished = Deferred.fromCoroutine(self.discovery.run())
        finished.addCallback(self.ended.append)

    def _advance(self, seconds: float) -> None:
        step_s = DISCOVERY_INTERVAL_S / HELLOS_PER_INTERVAL
        for _ in range(round(seconds / step_s)):
            self.reactor.advance(step_s)

    def _heartbeat_from(self, name: str) -> None:
        now_s = self.clock.monotonic_s()
        self.peers.view.record_heartbeat(vm(name), VmReadiness.READY, now_s)

    def test_seed_hosts_get_hello_repeatedly_at_start(self) -> None:
        self.assertEqual(self.peers.hello_hosts, list(SEEDS))
        self._advance(0.3)
        self.assertEqual(len(self.peers.hello_hosts), 4 * len(SEEDS))

    def test_heartbeat_of_another_vm_ends_discovery_without_a_listing(
        self,
    ) -> None:
        self._advance(0.5)
        self._heartbeat_from('other')
        self._advance(0.5)
        self.assertEqual(self.ended, [None])
        self.assertEqual(self.store.calls['announce'], 1)
        self.assertEqual(self.store.calls['list-vms'], 0)

    def test_announced_vms_are_contacted_if_no_seed_host_replies(self) -> None:
        self.store.vms = (vm('other'),)
        self._advance(DISCOVERY_INTERVAL_S)
        heartbeat_targets = [
            target.name for target in self.peers.view.heartbeat_targets('nasr')
        ]
        self.assertEqual(heartbeat_targets, ['other'])
        self.assertEqual(self.ended, [])

    def test_overloaded_store_is_retried_and_logged(self) -> None:
        self.discovery.is_finished = True
        self.store.error = StoreError(StoreErrorKind.OVERLOADED)
        with patch('turmericpost.gateway.peer_discovery.log_event') as logged:
            self._begin()
            self._advance(2 * DISCOVERY_INTERVAL_S)
        events = {call.args[0] for call in logged.call_args_list}
        self.assertEqual(
            events,
            {LogEvent.VMS_NOT_LISTED, LogEvent.STORE_WRITE_FAILED},
        )
        self.store.error = None
        self._advance(DISCOVERY_INTERVAL_S)
        self._heartbeat_from('other')
        self._advance(DISCOVERY_INTERVAL_S)
        self.assertEqual(self.ended, [None, None])

    def test_leaving_vm_stops_discovery(self) -> None:
        self.discovery.is_finished = True
        self._advance(DISCOVERY_INTERVAL_S)
        self.assertEqual(self.ended, [None])
