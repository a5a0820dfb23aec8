"""Datagrams between VMs: heartbeats, pushed updates, and their cost."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from tests.harness import FakeClock
from turmericpost.fleet.message_codec import decode_message
from turmericpost.fleet.messages import Heartbeat, Knowledge, UpdatePush
from turmericpost.fleet.peers import (
    MOST_PUSH_BYTES,
    Holds,
    PeerListeners,
    Peers,
)
from turmericpost_core.membership.beat_pace import beat_pause_s
from turmericpost_core.membership.domain_view import DomainView, Vm, VmStanding

VMS = 35
LENGTH_S = 10
CONTROL_BYTES_PER_S = 6000
KNOWLEDGE = Knowledge(0.3, 12, (3456, 0), 3500)


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
        self.holds: Holds = {}
        self.pushed: list[tuple[str, bytes]] = []
        self.wire = Wire()
        self.peers = Peers(
            self.clock,
            self.view,
            {'nasr': 'cairo'},
            PeerListeners(
                knowledge=lambda: KNOWLEDGE,
                holds=lambda: self.holds,
                demand=dict,
                heard_knowledge=lambda _vm, _knowledge: None,
                pushed=lambda *told: self.pushed.append(told),
                held=lambda _name, _holds: None,
                live_changed=lambda _gained, _lost: None,
                message=lambda _host, _message: None,
            ),
        )
        self.peers.transport = self.wire
        self.view.told(map(vm, range(1, VMS)), self.clock.monotonic_s())

    def test_heartbeats_of_a_large_domain_cost_little(self) -> None:
        """Pattern: 35 VMs in a domain; 6 KB/s are allowed for all control."""
        waited_s = float(0)
        while waited_s < LENGTH_S:
            pause_s = self.peers.beat_if_due()
            self.reactor.advance(pause_s)
            waited_s += pause_s
        per_s = self.peers.bytes_sent / LENGTH_S
        self.assertLess(per_s, CONTROL_BYTES_PER_S)
        self.assertAlmostEqual(
            len(self.wire.sent) / (VMS - 1),
            LENGTH_S / beat_pause_s(VMS),
            delta=1,
        )

    def test_beat_on_news_puts_the_next_off(self) -> None:
        self.peers.beat_if_due()
        self.reactor.advance(0.2)
        self.peers.beat()
        self.reactor.advance(0.2)
        self.wire.sent.clear()
        due_s = self.peers.beat_if_due()
        self.assertEqual(self.wire.sent, [])
        self.assertAlmostEqual(due_s, beat_pause_s(VMS) - 0.2)

    def test_permits_are_told_to_the_vm_that_they_concern(self) -> None:
        self.holds = {vm(3).name: {'grant': 'b1'}}
        self.peers.beat()
        holds = {
            host: beat.holds
            for host, beat in self.wire.sent
            if isinstance(beat, Heartbeat)
        }
        self.assertEqual(holds.pop(vm(3).host), {'grant': 'b1'})
        self.assertEqual(set(map(len, holds.values())), {0})

    def test_small_update_is_pushed_to_all(self) -> None:
        self.assertTrue(self.peers.push(b'update'))
        told = [one for _, one in self.wire.sent]
        self.assertEqual(told, [UpdatePush(vm(0).name, b'update')] * (VMS - 1))
        self.assertFalse(self.peers.push(bytes(MOST_PUSH_BYTES + 1)))

    def test_pushed_update_reaches_who_learns(self) -> None:
        self.peers.push(b'update')
        taker = self.peers
        push = self.wire.sent[0][1]
        taker.received(vm(1).host, push)
        self.assertEqual(self.pushed, [(vm(0).name, b'update')])

    def test_leaving_vm_says_so_in_its_heartbeat(self) -> None:
        self.view.own_standing = VmStanding.LEAVING
        self.peers.beat()
        standings = {beat.standing for _, beat in self.wire.sent}
        self.assertEqual(standings, {VmStanding.LEAVING})
