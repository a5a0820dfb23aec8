"""Connections, and requests ahead of their responses, on every port."""

from __future__ import annotations

import unittest

import msgpack

from tests.hostile.crowd import Attack
from tests.hostile.hostile_case import WAITING, HostileCase

_IDLE = Attack(b'', connections=400)
_UNKNOWN = b'GET /none/x HTTP/1.1\r\nHost: a.example\r\n\r\n'
_METRICS = b'GET /metrics HTTP/1.1\r\nHost: a.example\r\n\r\n'
_CLOSING = b'GET %b HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n'
_BARE = b'GET / HTTP/1.1\r\n\r\n'


class ManyConnectionsTest(HostileCase):
    # Guards against connections that leave no descriptors for servers.
    def test_idle_connections_of_callers(self) -> None:
        self.attack('Front', _IDLE)

    # Guards against connections to other ports that leave none for callers.
    def test_idle_connections_to_other_ports(self) -> None:
        for port in ('Ready', 'Directory', 'Metrics', 'Internal'):
            with self.subTest(port):
                self.attack(port, _IDLE)

    # Guards against connections that can never be closed after a target that
    # is no address.
    def test_invalid_targets(self) -> None:
        for port in ('Front', 'Ready'):
            for target in (b'http://[', b'//['):
                with self.subTest(port=port, target=target):
                    wire = _CLOSING % target
                    attack = Attack(wire, connections=50, must_be_closed=True)
                    self.attack(port, attack)


class UnreadResponsesTest(HostileCase):
    # Guards against responses to requests sent ahead that pile up for callers
    # that don't read them.
    def test_metrics(self) -> None:
        attack = Attack(
            _METRICS,
            _METRICS * 100,
            sent_bytes=500_000,
            connections=20,
            is_reading=False,
        )
        self.attack('Metrics', attack)


class RequestsAheadTest(HostileCase):
    # Guards against requests kept behind a waiting one without a limit.
    def test_small_requests_behind_a_request(self) -> None:
        self.attack('Front', Attack(WAITING + _BARE * 3500, connections=100))

    # Guards against refusals of requests sent ahead that call one another.
    def test_refused_requests_behind_a_request(self) -> None:
        waiting = WAITING.replace(b'8000', b'500')
        closing = _CLOSING % b'/none/x'
        wire = b''.join((waiting, _UNKNOWN * 1000, closing))
        attack = Attack(wire, connections=20, must_be_closed=True)
        self.attack('Front', attack)


class UpdateRequestsTest(HostileCase):
    extra_routes = 600

    # Guards against an encoded update kept for every version that is asked for.
    def test_requests_with_many_versions(self) -> None:
        attack = Attack(_update_request, connections=20, rounds=150)
        self.attack('Internal', attack)


def _update_request(number: int) -> bytes:
    """Return a request that states an old version, a different one each."""
    wire: bytes = msgpack.packb((-number, 0, None))
    return wire


if __name__ == '__main__':
    unittest.main()
