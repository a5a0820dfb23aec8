"""HTTP client for platform services, with timeouts."""

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
    """Why a request to the platform got no response."""

    NOT_SENT = 'not-sent'
    RESPONSE_LOST = 'answer-lost'


@dataclass(frozen=True)
class PlatformError:
    """A request to the platform that got no response.

    ``NOT_SENT`` means that the request had no effect; after
    ``RESPONSE_LOST`` it may have had one.
    """

    kind: PlatformErrorKind
    detail: str


@dataclass(frozen=True)
class PlatformResponse:
    """Status and body of a response from the platform."""

    status: int
    body: bytes


class PlatformHttpClient:
    """HTTP client that reuses connections and counts transferred bytes."""

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
    ) -> Result[PlatformResponse, PlatformError]:
        """Send a request.

        ``extra_wait_s`` extends the timeout for long polls.
        """
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
        except (ConnectError, ConnectingCancelledError) as connect_error:
            return _error_result(PlatformErrorKind.NOT_SENT, connect_error)
        except (Exception, CancelledError) as response_error:
            return _error_result(
                PlatformErrorKind.RESPONSE_LOST, response_error
            )
        return await self._read(response, len(body or b''))

    async def close(self) -> None:
        """Close the idle connections of the pool."""
        await self._pool.closeCachedConnections()

    async def _read(
        self,
        response: Any,
        sent_bytes: int,
    ) -> Result[PlatformResponse, PlatformError]:
        pending = readBody(response)
        pending.addTimeout(self._timeout_s, self._reactor)
        try:
            body = await pending
        except (Exception, CancelledError) as response_error:
            return _error_result(
                PlatformErrorKind.RESPONSE_LOST, response_error
            )
        self._metrics.count_platform_bytes(len(body) + sent_bytes)
        return Ok(PlatformResponse(response.code, body))


def _error_result(
    kind: PlatformErrorKind,
    cause: BaseException,
) -> Err[PlatformError]:
    return Err(PlatformError(kind, f'{type(cause).__name__}: {cause}'))
