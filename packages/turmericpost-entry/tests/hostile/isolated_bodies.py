"""Bodies whose framing has no end, or that cost more than their bytes."""

from __future__ import annotations

import unittest

from tests.hostile.crowd import Attack
from tests.hostile.hostile_case import SENT_BYTES, WAITING, HostileCase

_POST = (
    b'POST /%b/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: odd\r\n'
    b'X-Deadline-Ms: 8000\r\n'
)
_CHUNKED = _POST + b'Transfer-Encoding: chunked\r\n\r\n'
_PART = b'x' * 65_536


class EndlessFramingTest(HostileCase):
    # Guards against a trailer field that is collected without a limit.
    def test_trailer_without_end(self) -> None:
        first = _CHUNKED % b'wait' + b'2\r\nhi\r\n0\r\nX: '
        self._attack_without_end(first, _PART)

    # Guards against trailer fields that are read without a limit.
    def test_trailers_without_end(self) -> None:
        first = _CHUNKED % b'wait' + b'2\r\nhi\r\n0\r\n'
        self._attack_without_end(first, b'ab:xy\r\n' * 9000)

    # Guards against the extension of a chunk that is read without a limit.
    def test_chunk_extension_without_end(self) -> None:
        self._attack_without_end(_CHUNKED % b'wait' + b'2;', _PART)

    # Guards against connections that stay open for the body of a request that
    # was refused.
    def test_body_without_end_after_a_refusal(self) -> None:
        first = _CHUNKED % b'none'
        chunk = b'10000\r\n%b\r\n' % _PART
        self.attack(
            'Front',
            Attack(
                first,
                chunk,
                sent_bytes=400_000_000,
                connections=10,
                must_be_closed=True,
                must_be_cut=True,
            ),
        )

    def _attack_without_end(self, first: bytes, repeated: bytes) -> None:
        self.attack(
            'Front', Attack(first, repeated, SENT_BYTES, must_be_closed=True)
        )


class SmallChunksTest(HostileCase):
    # Guards against time that grows with the square of the number of chunks,
    # for a body behind a waiting request.
    def test_body_behind_a_request(self) -> None:
        chunks = b'1\r\nx\r\n' * 60_000
        self.attack(
            'Front', Attack(WAITING + _CHUNKED % b'a' + chunks, connections=20)
        )

    # Guards against parts of a body that cost many times their bytes.
    def test_unfinished_body(self) -> None:
        chunks = b'2\r\nxy\r\n' * 30_000
        self.attack('Front', Attack(_CHUNKED % b'a' + chunks, connections=100))


class UnfinishedBodyTest(HostileCase):
    # Guards against bodies of legal size that fill the memory together.
    def test_bodies_on_many_connections(self) -> None:
        head = _POST % b'a' + b'Content-Length: 500000\r\n\r\n'
        self.attack('Front', Attack(head + _PART * 5))

    # Guards against bodies of ended requests that stay in memory.
    def test_bodies_of_refused_and_served_requests(self) -> None:
        for path in (b'a', b'wait'):
            with self.subTest(path):
                head = _POST.replace(b'8000', b'300') % path
                framing = b'Connection: close\r\nContent-Length: 60000\r\n\r\n'
                wire = b''.join((head, framing, _PART[:60_000]))
                attack = Attack(wire, connections=50, rounds=40)
                self.attack('Front', attack)


if __name__ == '__main__':
    unittest.main()
