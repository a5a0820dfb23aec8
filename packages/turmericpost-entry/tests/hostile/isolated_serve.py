"""Attacks on the ports of ``turmericpost serve`` for VMs and operators."""

from __future__ import annotations

import os
import unittest
from pathlib import Path

from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.task import deferLater

from tests.hostile.crowd import Attack, Crowd
from turmericpost_standins.experiment.processes import EntryProcess, wait_until

MEMORY_MB = 256
"""Memory that a VM has for control."""

MAX_DESCRIPTORS = 300
"""Bound of open descriptors, for the 400 connections of a crowd."""

_NO_STORE = {
    'store_address': '127.0.0.1:1',
    'vm_list_url': 'http://127.0.0.1:1/vms',
}
_ENDLESS_MESSAGE = b'\xc6\xff\xff\xff\xff'
_PART = b'x' * 65_536
_POST = b'POST /v1/changes HTTP/1.1\r\nHost: a\r\n'
_IDLE = Attack(b'', connections=400)
_CROWD_TIMEOUT_S = 60
_SETTLE_S = 1.0
_KB_PER_MB = 1024


class ServeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.vm = EntryProcess(_NO_STORE, 'cairo-a')
        self.addCleanup(self.vm.stop)
        self.assertTrue(wait_until(lambda: bool(self.vm.admin('status'))))

    # Guards against messages without end that fill the memory together.
    def test_messages_without_end(self) -> None:
        attack = Attack(_ENDLESS_MESSAGE, _PART, 8_000_000, connections=40)
        self._attack(self._peer_port, attack)

    # Guards against connections between VMs that take all descriptors.
    def test_idle_connections_of_peers(self) -> None:
        self._attack(self._peer_port, _IDLE)

    # Guards against connections of operators that take all descriptors.
    def test_idle_connections_of_operators(self) -> None:
        self._attack(self.vm.admin_port, _IDLE)

    # Guards against the body of a change that is received without a limit.
    def test_change_without_end(self) -> None:
        for framing, part in (
            (b'Content-Length: 999999999999\r\n\r\n', _PART),
            (
                b'Transfer-Encoding: chunked\r\n\r\n',
                b'10000\r\n%b\r\n' % _PART,
            ),
        ):
            with self.subTest(framing):
                attack = Attack(
                    _POST + framing,
                    part,
                    100_000_000,
                    connections=5,
                    must_be_cut=True,
                )
                self._attack(self.vm.admin_port, attack)

    @property
    def _peer_port(self) -> int:
        return int(self.vm.name.rpartition(':')[2])

    def _attack(self, port: int, attack: Attack) -> None:
        """Attack a port; check the process, its bounds and its admin port."""
        reactor = EPollReactor()
        crowd = Crowd(reactor, ('127.0.0.1', port), attack)
        self.descriptors = MAX_DESCRIPTORS
        self.has_answered = False
        reactor.callWhenRunning(self._play, reactor, crowd)
        reactor.run(installSignalHandlers=False)
        self.assertIsNone(self.vm.process.poll())
        self.assertLess(self._peak_memory_mb(), MEMORY_MB)
        self.assertLess(self.descriptors, MAX_DESCRIPTORS)
        if attack.must_be_cut:
            self.assertEqual(crowd.complete_count, 0, 'all was received')
        self.assertTrue(self.has_answered)

    def _play(self, reactor: EPollReactor, crowd: Crowd) -> None:
        async def play() -> None:
            crowd.begin()
            end_s = reactor.seconds() + _CROWD_TIMEOUT_S
            while not crowd.has_ended and reactor.seconds() < end_s:
                await deferLater(reactor, 0.05)
            await deferLater(reactor, _SETTLE_S)
            self.descriptors = len(os.listdir(self._process_path('fd')))
            self.has_answered = bool(self.vm.admin('status'))
            crowd.leave()

        playing = Deferred.fromCoroutine(play())
        playing.addBoth(lambda _outcome: reactor.stop())

    def _process_path(self, name: str) -> Path:
        return Path('/proc', str(self.vm.pid), name)

    def _peak_memory_mb(self) -> float:
        path = self._process_path('status')
        (line,) = [
            status_line
            for status_line in path.read_text('ascii').splitlines()
            if status_line.startswith('VmHWM:')
        ]
        return int(line.split()[1]) / _KB_PER_MB


if __name__ == '__main__':
    unittest.main()
