"""Datagrams of VMs that do not exist."""

from __future__ import annotations

import socket
import unittest
from dataclasses import replace

from tests.gateway.fleet_harness import Fleet
from tests.hostile.hostile_case import HostileCase
from tests.soak.vm_process import INTERNAL_PORT, VmProcess
from turmericpost.fleet.message_codec import encode_message
from turmericpost.fleet.messages import Digest, Heartbeat, StateVersion
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.membership.domain_view import Vm, VmReadiness

_COUNT = 20_000
_BURST = 50
_PAUSE_S = 0.02
_VERSION = StateVersion(1.0, StorePosition(1), (1, 0), StorePosition(1))
_VM = Vm('x', '127.91.250.1', 9, '127.91.250.1:9', 'nasr', 'cairo', 1)


def _heartbeat(number: int) -> bytes:
    vm = replace(_VM, name=f'edge-{number}')
    readiness = VmReadiness.STARTING
    return encode_message(Heartbeat(vm, readiness, _VERSION, {}, {'/a/': 1.0}))


def _digest(number: int) -> bytes:
    domain = f'domain-{number}'
    members = ((replace(_VM, failure_domain=domain), VmReadiness.STARTING),)
    return encode_message(Digest(domain, 0.5, members, _VERSION, 'x', {}))


class UnknownVmsTest(HostileCase):
    # Guards against a view that grows, and is sent around, with every name
    # that a datagram states.
    def test_heartbeats_of_many_names(self) -> None:
        self._datagrams = list(map(_heartbeat, range(_COUNT)))
        self.check_during(self._send_all)

    # Guards against the same for names of failure domains.
    def test_digests_of_many_domains(self) -> None:
        self._datagrams = list(map(_digest, range(_COUNT)))
        self.check_during(self._send_all)

    async def _send_all(self, fleet: Fleet, vm: VmProcess) -> None:
        """Send all datagrams in bursts that the receive buffer holds."""
        address = (vm.settings.host, INTERNAL_PORT)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for start in range(0, _COUNT, _BURST):
                for datagram in self._datagrams[start : start + _BURST]:
                    sender.sendto(datagram, address)
                await fleet.pause(_PAUSE_S)


if __name__ == '__main__':
    unittest.main()
