"""Datagrams between VMs: heartbeats, pushed updates and their traffic."""

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
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.membership.domain_view import DomainView, Vm, VmReadiness
from turmericpost_core.membership.heartbeat_period import heartbeat_period_s

VM_COUNT = 35
DURATION_S = 10
CONTROL_BYTES_PER_S = 6000
STATE_VERSION = StateVersion(
    0.3, StorePosition(12), (3456, 0), StorePosition(3500)
)


def vm(number: int) -> Vm:
    name = f'edge-cairo-nasr-{number}'
    host = f'10.1.0.{number}'
    return Vm(name, host, 7540, f'{host}:8548', 'nasr', 'cairo', 1779661169751)


class DatagramRecorder:
    """Transport that records the receiver and message of each datagram.

    Messages are recorded in decoded form.
    """

    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []

    def write(self, wire: bytes, address: tuple[str, int]) -> None:
        self.sent.append((address[0], decode_message(wire).unwrap()))


class PeerProtocolTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.clock = FakeClock(self.reactor)
        self.view = DomainView(vm(0))
        self.held_permits: HeldPermits = {}
        self.received_pushes: list[tuple[str, bytes]] = []
        self.recorder = DatagramRecorder()
        self.peers = PeerProtocol(
            self.clock,
            self.view,
            {'nasr': 'cairo'},
            PeerCallbacks(
                state_version=lambda: STATE_VERSION,
                held_permits=lambda: self.held_permits,
                demand=dict,
                state_version_received=lambda _vm, _state_version: None,
                push_received=lambda *push: self.received_pushes.append(push),
                held_permits_received=lambda _name, _held_permits: None,
                live_vms_changed=lambda _gained, _lost: None,
                message=lambda _host, _message: None,
            ),
        )
        self.peers.transport = self.recorder
        self.view.add_known_vms(
            map(vm, range(1, VM_COUNT)), self.clock.monotonic_s()
        )

    def test_heartbeat_traffic_of_a_large_domain_is_bounded(self) -> None:
        """35 VMs in a domain may use 6 KB/s each for control traffic."""
        elapsed_s = float(0)
        while elapsed_s < DURATION_S:
            pause_s = self.peers.send_due_heartbeats()
            self.reactor.advance(pause_s)
            elapsed_s += pause_s
        bytes_per_s = self.peers.bytes_sent / DURATION_S
        self.assertLess(bytes_per_s, CONTROL_BYTES_PER_S)
        self.assertAlmostEqual(
            len(self.recorder.sent) / (VM_COUNT - 1),
            DURATION_S / heartbeat_period_s(VM_COUNT),
            delta=1,
        )

    def test_extra_heartbeats_postpone_the_next_regular_ones(self) -> None:
        self.peers.send_due_heartbeats()
        self.reactor.advance(0.2)
        self.peers.send_heartbeats()
        self.reactor.advance(0.2)
        self.recorder.sent.clear()
        due_s = self.peers.send_due_heartbeats()
        self.assertEqual(self.recorder.sent, [])
        self.assertAlmostEqual(due_s, heartbeat_period_s(VM_COUNT) - 0.2)

    def test_heartbeat_lists_only_permits_of_the_receiver(self) -> None:
        self.held_permits = {vm(3).name: {'grant': 'b1'}}
        self.peers.send_heartbeats()
        held_permits = {
            host: message.held_permits
            for host, message in self.recorder.sent
            if isinstance(message, Heartbeat)
        }
        self.assertEqual(held_permits.pop(vm(3).host), {'grant': 'b1'})
        self.assertEqual(set(map(len, held_permits.values())), {0})

    def test_update_is_pushed_unless_it_is_too_large(self) -> None:
        self.assertTrue(self.peers.push(b'update'))
        pushes = [message for _, message in self.recorder.sent]
        self.assertEqual(
            pushes, [UpdatePush(vm(0).name, b'update')] * (VM_COUNT - 1)
        )
        self.assertFalse(self.peers.push(bytes(MAX_PUSH_BYTES + 1)))

    def test_received_push_is_passed_to_the_callback(self) -> None:
        self.peers.push(b'update')
        receiver = self.peers
        push = self.recorder.sent[0][1]
        receiver.handle_message(vm(1).host, push)
        self.assertEqual(self.received_pushes, [(vm(0).name, b'update')])

    def test_heartbeat_contains_the_readiness(self) -> None:
        self.view.own_readiness = VmReadiness.LEAVING
        self.peers.send_heartbeats()
        readiness_sent = {
            message.readiness for _, message in self.recorder.sent
        }
        self.assertEqual(readiness_sent, {VmReadiness.LEAVING})
