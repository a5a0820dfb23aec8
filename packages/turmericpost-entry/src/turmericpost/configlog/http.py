"""Requests to the platform over HTTP with a bound on time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from io import BytesIO
from typing import Any

from result import Err, Ok, Result
from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    readBody,
)

from turmericpost.observe.metrics import Metrics


class PlatformErrorKind(Enum):
    """Why the platform gave no answer."""

    NOT_SENT = 'not-sent'
    ANSWER_LOST = 'answer-lost'


@dataclass(frozen=True)
class PlatformError:
    """No answer; ``NOT_SENT`` means that the request had no effect."""

    kind: PlatformErrorKind
    detail: str


@dataclass(frozen=True)
class PlatformAnswer:
    """Status and body of an answer of the platform."""

    status: int
    body: bytes


class PlatformHttp:
    """HTTP client for the platform's services."""

    def __init__(
        self, reactor: Any, timeout_s: float, metrics: Metrics
    ) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._metrics = metrics
        self._pool = HTTPConnectionPool(reactor)
        self._agent = Agent(
            reactor,
            connectTimeout=timeout_s,
            pool=self._pool,
        )

    async def request(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        extra_wait_s: float = 0,
    ) -> Result[PlatformAnswer, PlatformError]:
        """Send a request; ``extra_wait_s`` allows for a long poll."""
        producer = None
        if body is not None:
            producer = FileBodyProducer(BytesIO(body))
        pending = self._agent.request(
            method.encode('ascii'),
            url.encode('ascii'),
            None,
            producer,
        )
        pending.addTimeout(self._timeout_s + extra_wait_s, self._reactor)
        try:
            response = await pending
        except (ConnectError, ConnectingCancelledError) as refused:
            return _error(PlatformErrorKind.NOT_SENT, refused)
        except (Exception, CancelledError) as lost:
            return _error(PlatformErrorKind.ANSWER_LOST, lost)
        return await self._read(response, len(body or b''))

    async def close(self) -> None:
        """Close the connections kept."""
        await self._pool.closeCachedConnections()

    async def _read(
        self,
        response: Any,
        sent_bytes: int,
    ) -> Result[PlatformAnswer, PlatformError]:
        pending = readBody(response)
        pending.addTimeout(self._timeout_s, self._reactor)
        try:
            body = await pending
        except (Exception, CancelledError) as lost:
            return _error(PlatformErrorKind.ANSWER_LOST, lost)
        self._metrics.count_platform_bytes(len(body) + sent_bytes)
        return Ok(PlatformAnswer(response.code, body))


def _error(
    kind: PlatformErrorKind,
    cause: BaseException,
) -> Err[PlatformError]:
    return Err(PlatformError(kind, f'{type(cause).__name__}: {cause}'))
