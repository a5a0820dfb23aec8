"""Heads over the limit, without end, or made of very many fields."""

from __future__ import annotations

import unittest

from tests.hostile.crowd import Attack
from tests.hostile.hostile_case import SENT_BYTES, WAITING, HostileCase

_START = b'GET /a/x HTTP/1.1\r\n'
_HOST = b'Host: a.example\r\nX-Request-Id: odd\r\nX-Deadline-Ms: 1400\r\n'
_FIELDS = b'ab:xy\r\n' * 2200
_FIELD = b'x' * 65_536


class EndlessHeadTest(HostileCase):
    # Guards against heads over the limit whose parsed fields are kept after
    # their connection has closed.
    def test_fields_without_end(self) -> None:
        self._attack_without_end('Front', _START, _FIELDS * 4)

    # Guards against one field that fills receive buffers on all connections.
    def test_field_without_end(self) -> None:
        self._attack_without_end('Front', _START + b'X: ', _FIELD)

    # Guards against a target that fills receive buffers on all connections.
    def test_target_without_end(self) -> None:
        self._attack_without_end('Front', b'GET /', _FIELD)

    # Guards against a head behind a waiting request that has no size limit.
    def test_field_without_end_behind_a_request(self) -> None:
        wire = b''.join((WAITING, _START, b'X: '))
        self._attack_without_end('Front', wire, _FIELD)

    # Guards against the same for a target.
    def test_target_without_end_behind_a_request(self) -> None:
        self._attack_without_end('Front', WAITING + b'GET /', _FIELD)

    # Guards against ports of the VM's own endpoints without these limits.
    def test_fields_without_end_on_endpoint_ports(self) -> None:
        for port in ('Ready', 'Directory', 'Metrics'):
            with self.subTest(port):
                self._attack_without_end(port, _START, _FIELDS * 4)

    def _attack_without_end(
        self, port: str, first: bytes, repeated: bytes
    ) -> None:
        self.attack(
            port,
            Attack(first, repeated, SENT_BYTES, rounds=5, must_be_closed=True),
        )


class ManyFieldsTest(HostileCase):
    # Guards against unfinished heads of legal size that cost many times their
    # bytes, on many connections at once.
    def test_unfinished_heads(self) -> None:
        self.attack('Front', Attack(_START + _FIELDS))

    # Guards against served requests whose fields stay in memory while their
    # connections are idle.
    def test_requests_on_idle_connections(self) -> None:
        wire = b''.join((_START, _HOST, _FIELDS, b'\r\n'))
        self.attack('Front', Attack(wire))

    # Guards against closed connections whose fields stay in memory.
    def test_requests_on_closed_connections(self) -> None:
        fields = b''.join((_HOST, b'Connection: close\r\n', _FIELDS))
        wire = b''.join((_START, fields, b'\r\n'))
        self.attack('Front', Attack(wire, rounds=4))

    # Guards against the fields of all requests that wait for a response.
    def test_waiting_requests(self) -> None:
        wire = b''.join((WAITING[:-2], _FIELDS, b'\r\n'))
        self.attack('Front', Attack(wire))

    # Guards against fields kept for each request behind a waiting one.
    def test_requests_behind_a_request(self) -> None:
        wire = b''.join((_START, _HOST, _FIELDS, b'\r\n'))
        self.attack('Front', Attack(WAITING + wire * 8, connections=50))


class EmptyLinesTest(HostileCase):
    # Guards against connections that stay open, and are read, for as long as
    # empty lines arrive in place of a request.
    def test_empty_lines_without_end(self) -> None:
        for port in ('Front', 'Ready'):
            with self.subTest(port):
                attack = Attack(
                    b'\r\n', b'\r\n' * 32_768, SENT_BYTES, must_be_closed=True
                )
                self.attack(port, attack)


if __name__ == '__main__':
    unittest.main()
