"""Baseline: a plain relay on ``twisted.web`` server and agent."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

_IDLE_CONNECTIONS = 32


class BaselineRelay(Resource):
    """Sends every call to one back end and answers with its body."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, reactor: Any, backend_url: str) -> None:
        super().__init__()
        self._backend_url = backend_url.encode('ascii')
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = _IDLE_CONNECTIONS
        self._agent = Agent(reactor, pool=pool)

    def render(self, request: Request) -> int:
        """Relay one call."""
        relaying = Deferred.fromCoroutine(self._relay(request))
        relaying.addErrback(lambda _failure: request.loseConnection())
        return NOT_DONE_YET

    async def _relay(self, request: Request) -> None:
        headers = Headers()
        for name, texts in request.requestHeaders.getAllRawHeaders():
            headers.setRawHeaders(name, texts)
        answer = await self._agent.request(
            request.method,
            self._backend_url + request.uri,
            headers,
        )
        body = await readBody(answer)
        request.setResponseCode(answer.code)
        request.setHeader(b'content-length', b'%d' % len(body))
        request.write(body)
        request.finish()
