"""Plain HTTP relay on ``twisted.web``, as a baseline for measurements."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

_IDLE_CONNECTIONS = 32


class BaselineRelay(Resource):
    """Relays every call to one backend server and returns its response.

    Of the response, it passes on the status and the body, not the headers.
    """

    isLeaf = True  # noqa: WPS115

    def __init__(self, reactor: Any, backend_url: str) -> None:
        super().__init__()
        self._backend_url = backend_url.encode('ascii')
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = _IDLE_CONNECTIONS
        self._agent = Agent(reactor, pool=pool)

    def render(self, request: Request) -> int:
        """Start to relay a call; the response follows asynchronously."""
        relay = Deferred.fromCoroutine(self._relay(request))
        relay.addErrback(lambda _failure: request.loseConnection())
        return NOT_DONE_YET

    async def _relay(self, request: Request) -> None:
        headers = Headers()
        for name, header_texts in request.requestHeaders.getAllRawHeaders():
            headers.setRawHeaders(name, header_texts)
        response = await self._agent.request(
            request.method,
            self._backend_url + request.uri,
            headers,
        )
        body = await readBody(response)
        request.setResponseCode(response.code)
        request.setHeader(b'content-length', b'%d' % len(body))
        request.write(body)
        request.finish()
