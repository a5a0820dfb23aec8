"""HTTP/1.1 message parsers; the only module that uses ``httptools``."""

from __future__ import annotations

from enum import Enum
from typing import Any, Protocol

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
    HttpResponseParser,
)
from result import Err, Ok, Result


class CodecError(Enum):
    """Why received bytes can't be parsed as an HTTP/1.1 message."""

    MALFORMED = 'malformed'
    UPGRADE = 'upgrade'


class MessageSink(Protocol):
    """Receives parser callbacks in message order."""

    def on_message_begin(self) -> None:
        """Handle the start of a message."""

    def on_header(self, name: bytes, text: bytes) -> None:
        """Handle a header or trailer field."""

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of the message."""


class RequestSink(MessageSink, Protocol):
    """Receives parser callbacks of requests."""

    def on_url(self, target: bytes) -> None:
        """Handle a part of the request target."""


_PARSE_OK: Result[None, CodecError] = Ok(None)


class RequestParser:
    """Incremental parser of the requests on one connection."""

    def __init__(self, sink: RequestSink) -> None:
        self._parser: Any = HttpRequestParser(sink)

    @property
    def method(self) -> str:
        """Method of the current request."""
        return str(self._parser.get_method().decode('ascii'))

    @property
    def version(self) -> str:
        """Version of the current request, such as ``1.1``."""
        return str(self._parser.get_http_version())

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection may carry another request."""
        return bool(self._parser.should_keep_alive())

    def feed(self, received: bytes) -> Result[None, CodecError]:
        """Parse received bytes and call the sink."""
        return _feed(self._parser, received)

    def close(self) -> None:
        """Drop the reference to the sink, so that both can be freed."""
        self._parser = None


class ResponseParser:
    """Incremental parser of the responses on one connection."""

    def __init__(self, sink: MessageSink) -> None:
        self._parser: Any = HttpResponseParser(sink)

    @property
    def status(self) -> int:
        """Status code of the current response."""
        return int(self._parser.get_status_code())

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection may carry another response."""
        return bool(self._parser.should_keep_alive())

    def feed(self, received: bytes) -> Result[None, CodecError]:
        """Parse received bytes and call the sink."""
        return _feed(self._parser, received)

    def close(self) -> None:
        """Drop the reference to the sink, so that both can be freed."""
        self._parser = None


def _feed(
    parser: HttpRequestParser | HttpResponseParser,
    received: bytes,
) -> Result[None, CodecError]:
    try:
        parser.feed_data(received)
    except HttpParserUpgrade:
        return Err(CodecError.UPGRADE)
    except HttpParserError:
        return Err(CodecError.MALFORMED)
    return _PARSE_OK
