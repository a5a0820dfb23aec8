"""HTTP/1.1 message heads: header fields, hop-by-hop rules and rendering."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import TypeAlias

Headers: TypeAlias = list[tuple[bytes, bytes]]

CONNECTION = b'connection'
CONTENT_LENGTH = b'content-length'
EXPECT = b'expect'
HOST = b'host'
KEEP_ALIVE = b'keep-alive'
TRANSFER_ENCODING = b'transfer-encoding'
UPGRADE = b'upgrade'
VIA = b'via'

_HOP_BY_HOP = frozenset(
    (
        CONNECTION,
        KEEP_ALIVE,
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        TRANSFER_ENCODING,
        UPGRADE,
    )
)

_STATUS_PHRASES = MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus}
)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request; field names are in lower case."""

    method: str
    target: bytes
    headers: Headers
    keeps_alive: bool

    def first(self, name: bytes) -> bytes | None:
        """Return the first field value for a name, ``None`` if missing."""
        return first_field(self.headers, name)

    @property
    def content_length(self) -> int | None:
        """Length of the body in bytes, ``None`` if chunked."""
        text = self.first(CONTENT_LENGTH)
        if text is not None:
            return int(text)
        return None if self.first(TRANSFER_ENCODING) else 0


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of a response; field names are in lower case.

    ``has_body`` is false for responses to HEAD and for 204 and 304.
    """

    status: int
    headers: Headers
    has_body: bool

    def first(self, name: bytes) -> bytes | None:
        """Return the first field value for a name, ``None`` if missing."""
        return first_field(self.headers, name)

    @property
    def content_length(self) -> int | None:
        """Content length in bytes, ``None`` if chunked or unframed."""
        text = self.first(CONTENT_LENGTH)
        return None if text is None else int(text)

    @property
    def is_framed(self) -> bool:
        """Whether the body's end is known without closing the connection."""
        if not self.has_body or self.first(CONTENT_LENGTH) is not None:
            return True
        transfer_coding = self.first(TRANSFER_ENCODING)
        return transfer_coding is not None and transfer_coding.lower().endswith(
            b'chunked'
        )


def first_field(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    """Return the value of the first field with a name, ``None`` if missing."""
    for field_name, text in headers:
        if field_name == name:
            return text
    return None


def end_to_end(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return the fields that a proxy forwards, without the dropped ones.

    Fields named by ``Connection`` are hop-by-hop too (RFC 9110, 7.6.1).
    """
    excluded = _HOP_BY_HOP | dropped | connection_options(headers)
    return [header for header in headers if header[0] not in excluded]


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the options in all ``Connection`` fields, in lower case."""
    return frozenset(
        token
        for name, text in headers
        if name == CONNECTION
        for token in _tokens(text)
    )


def render_request(method: str, target: bytes, headers: Headers) -> bytes:
    """Return the bytes of a request head."""
    start = b'%b %b HTTP/1.1\r\n' % (method.encode('ascii'), target)
    return start + _render_fields(headers)


def render_response(status: int, headers: Headers) -> bytes:
    """Return the bytes of a response head."""
    phrase = _STATUS_PHRASES.get(status, '').encode('ascii')
    start = b'HTTP/1.1 %d %b\r\n' % (status, phrase)
    return start + _render_fields(headers)


def render_chunk(body: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(body), body)


LAST_CHUNK = b'0\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


def _tokens(text: bytes) -> Iterable[bytes]:
    return (token.strip().lower() for token in text.split(b','))


def _render_fields(headers: Headers) -> bytes:
    lines = [b'%b: %b\r\n' % header for header in headers]
    lines.append(b'\r\n')
    return b''.join(lines)
