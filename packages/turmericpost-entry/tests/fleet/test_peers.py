"""Datagrams between VMs: heartbeats, pushed updates, and their cost."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from tests.harness import FakeClock
from turmericpost.fleet.message_codec import decode_message
from turmericpost.fleet.messages import Heartbeat, StateVersion, UpdatePush
from turmericpost.fleet.peers import (
    MAX_PUSH_BYTES,
    HeldPermits,
    PeerCallbacks,
    PeerProtocol,
)
from turmericpost_core.membership.domain_view import DomainView, Vm, VmReadiness
from turmericpost_core.membership.heartbeat_period import heartbeat_period_s

VMS = 35
LENGTH_S = 10
CONTROL_BYTES_PER_S = 6000
KNOWLEDGE = StateVersion(0.3, 12, (3456, 0), 3500)


def vm(number: int) -> Vm:
    name = f'edge-cairo-nasr-{number}'
    host = f'10.1.0.{number}'
    return Vm(name, host, 7540, f'{host}:8548', 'nasr', 'cairo', 1779661169751)


class Wire:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []

    def write(self, wire: bytes, address: tuple[str, int]) -> None:
        self.sent.append((address[0], decode_message(wire).unwrap()))


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.clock = FakeClock(self.reactor)
        self.view = DomainView(vm(0))
        self.held_permits: HeldPermits = {}
        self.push_received: list[tuple[str, bytes]] = []
        self.wire = Wire()
        self.peers = PeerProtocol(
            self.clock,
            self.view,
            {'nasr': 'cairo'},
            PeerCallbacks(
                state_version=lambda: KNOWLEDGE,
                held_permits=lambda: self.held_permits,
                demand=dict,
                state_version_received=lambda _vm, _knowledge: None,
                push_received=lambda *told: self.push_received.append(told),
                held_permits_received=lambda _name, _holds: None,
                live_vms_changed=lambda _gained, _lost: None,
                message=lambda _host, _message: None,
            ),
        )
        self.peers.transport = self.wire
        self.view.add_known_vms(
            map(vm, range(1, VMS)), self.clock.monotonic_s()
        )

    def test_heartbeats_of_a_large_domain_cost_little(self) -> None:
        """Pattern: 35 VMs in a domain; 6 KB/s are allowed for all control."""
        waited_s = float(0)
        while waited_s < LENGTH_S:
            pause_s = self.peers.send_due_heartbeats()
            self.reactor.advance(pause_s)
            waited_s += pause_s
        per_s = self.peers.bytes_sent / LENGTH_S
        self.assertLess(per_s, CONTROL_BYTES_PER_S)
        self.assertAlmostEqual(
            len(self.wire.sent) / (VMS - 1),
            LENGTH_S / heartbeat_period_s(VMS),
            delta=1,
        )

    def test_beat_on_news_puts_the_next_off(self) -> None:
        self.peers.send_due_heartbeats()
        self.reactor.advance(0.2)
        self.peers.send_heartbeats()
        self.reactor.advance(0.2)
        self.wire.sent.clear()
        due_s = self.peers.send_due_heartbeats()
        self.assertEqual(self.wire.sent, [])
        self.assertAlmostEqual(due_s, heartbeat_period_s(VMS) - 0.2)

    def test_permits_are_told_to_the_vm_that_they_concern(self) -> None:
        self.held_permits = {vm(3).name: {'grant': 'b1'}}
        self.peers.send_heartbeats()
        held_permits = {
            host: send_heartbeats.held_permits
            for host, send_heartbeats in self.wire.sent
            if isinstance(send_heartbeats, Heartbeat)
        }
        self.assertEqual(held_permits.pop(vm(3).host), {'grant': 'b1'})
        self.assertEqual(set(map(len, held_permits.values())), {0})

    def test_small_update_is_pushed_to_all(self) -> None:
        self.assertTrue(self.peers.push(b'update'))
        told = [one for _, one in self.wire.sent]
        self.assertEqual(told, [UpdatePush(vm(0).name, b'update')] * (VMS - 1))
        self.assertFalse(self.peers.push(bytes(MAX_PUSH_BYTES + 1)))

    def test_pushed_update_reaches_who_learns(self) -> None:
        self.peers.push(b'update')
        taker = self.peers
        push = self.wire.sent[0][1]
        taker.handle_message(vm(1).host, push)
        self.assertEqual(self.push_received, [(vm(0).name, b'update')])

    def test_leaving_vm_says_so_in_its_heartbeat(self) -> None:
        self.view.own_readiness = VmReadiness.LEAVING
        self.peers.send_heartbeats()
        standings = {
            send_heartbeats.readiness for _, send_heartbeats in self.wire.sent
        }
        self.assertEqual(standings, {VmReadiness.LEAVING})
