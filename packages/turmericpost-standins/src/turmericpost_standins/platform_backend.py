"""Stand-in for a backend server of the users' platform."""

from __future__ import annotations

import json
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

_MS_PER_S = 1000
_OK = 200
_MISDIRECTED = 421
_UNAVAILABLE = 503
_USUAL_PERCENT = 100
_LINE_END = b'\r\n'


class WhenFull(Enum):
    """What a server does with a request that it can't queue."""

    SHED = 'shed'
    HANG = 'hang'
    RESET = 'reset'


@dataclass
class PlatformBackendFaults:
    """Faults that a test switches on; counts go down with each use."""

    lose_answers: int = 0
    double_answers: int = 0
    unframed_answers: int = 0
    cut_answers: int = 0
    is_ill: bool = False
    is_draining: bool = False
    slowness_percent: int = _USUAL_PERCENT
    closes: bool = False


@dataclass(frozen=True)
class PlatformBackendSpec:
    """Slots, queue and work of a server."""

    backend_id: str
    service: str
    failure_domain: str
    slots: int = 3
    queue: int = 6
    service_time_s: float = 0.02
    when_full: WhenFull = WhenFull.SHED


@dataclass(frozen=True)
class PlatformRun:
    """A request that the server began to work on."""

    request_id: str
    method: str
    path: str
    body: bytes
    begun_s: float


class PlatformBackend(Resource):
    """Answers every path; ``/health`` at once, with its load."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, reactor: Any, size: PlatformBackendSpec) -> None:
        super().__init__()
        self.size = size
        self.faults = PlatformBackendFaults()
        self.cold_until_s = float(0)
        self.started_ms = 1
        self.runs: list[PlatformRun] = []
        self.probes = 0
        self.cancelled = 0
        self._reactor = reactor
        self._running: set[Request] = set()
        self._waiting: deque[Request] = deque()

    def encode_registration(self, address: str) -> bytes:
        """Return the record in which the server registers itself."""
        left_s = max(self.cold_until_s - self._reactor.seconds(), 0)
        return json.dumps(
            {
                'Service': self.size.service,
                'Address': address,
                'Zone': self.size.failure_domain,
                'Version': 'v1',
                'Slots': self.size.slots,
                'State': 'draining' if self.faults.is_draining else 'ready',
                'WarmupLeftMs': int(left_s * _MS_PER_S),
                'Seq': len(self.runs),
                'born': self.started_ms,
            }
        ).encode()

    def render(self, request: Request) -> int:
        """Serve a request."""
        if request.path == b'/health':
            self._answer_probe(request)
            return NOT_DONE_YET
        expected = request.getHeader(b'x-expect-instance')
        if expected not in {None, self.size.backend_id.encode()}:
            request.setHeader(b'x-instance-id', self.size.backend_id)
            self._refuse(request, _MISDIRECTED)
            return NOT_DONE_YET
        request.notifyFinish().addErrback(self._gone, request)
        if len(self._running) < self.size.slots:
            self._run(request)
        elif len(self._waiting) < self.size.queue:
            self._waiting.append(request)
        else:
            self._turn_away(request)
        return NOT_DONE_YET

    def _answer_probe(self, request: Request) -> None:
        self.probes += 1
        is_well = not (self.faults.is_ill or self.faults.is_draining)
        request.setResponseCode(_OK if is_well else _UNAVAILABLE)
        request.setHeader(b'x-instance-id', self.size.backend_id)
        left_s = self.cold_until_s - self._reactor.seconds()
        if left_s > 0:
            request.setHeader(b'x-warmup-ms', str(int(left_s * _MS_PER_S)))
        self._tell_load(request)
        request.finish()

    def _run(self, request: Request) -> None:
        self._running.add(request)
        self.runs.append(
            PlatformRun(
                (request.getHeader(b'x-request-id') or b'').decode(),
                request.method.decode(),
                request.path.decode(),
                request.content.read(),
                self._reactor.seconds(),
            ),
        )
        factor = self.faults.slowness_percent / _USUAL_PERCENT
        self._reactor.callLater(
            self.size.service_time_s * factor, self._end, request
        )

    def _end(self, request: Request) -> None:
        if request not in self._running:
            return
        self._running.discard(request)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            request.transport.abortConnection()
        else:
            self._answer(request)
        if self._waiting and len(self._running) < self.size.slots:
            self._run(self._waiting.popleft())

    def _answer(self, request: Request) -> None:
        run = len(self.runs)
        backend_id = self.size.backend_id
        body = f'run {run} of {backend_id}'.encode()
        if self.faults.double_answers:
            self.faults.double_answers -= 1
            self._answer_raw(request, body, times=2)
        elif self.faults.unframed_answers:
            self.faults.unframed_answers -= 1
            self._answer_raw(request, body, is_framed=False)
        elif self.faults.cut_answers:
            self.faults.cut_answers -= 1
            self._answer_raw(request, body[:-1], stated=len(body))
        else:
            self._answer_whole(request, body)

    def _answer_whole(self, request: Request, body: bytes) -> None:
        request.setHeader(
            b'x-request-id',
            request.getHeader(b'x-request-id') or b'',
        )
        request.setHeader(b'x-response-stamp', f'stamp-{len(self.runs)}')
        request.setHeader(b'content-length', str(len(body)))
        self._tell_load(request)
        if self.faults.closes:
            request.setHeader(b'connection', b'close')
        request.write(body)
        request.finish()

    def _answer_raw(
        self,
        request: Request,
        body: bytes,
        *,
        times: int = 1,
        is_framed: bool = True,
        stated: int | None = None,
    ) -> None:
        """Write an answer past the server library, as it would not."""
        request_id = request.getHeader(b'x-request-id') or b''
        length = len(body) if stated is None else stated
        lines = [
            b'HTTP/1.1 200 OK',
            b'X-Request-Id: %b' % request_id,
            b'X-Response-Stamp: stamp',
        ]
        if is_framed:
            lines.append(b'Content-Length: %d' % length)
        wire = _LINE_END.join((*lines, b'', body))
        request.transport.write(wire * times)
        request.transport.loseConnection()

    def _turn_away(self, request: Request) -> None:
        if self.size.when_full is WhenFull.RESET:
            request.transport.abortConnection()
        elif self.size.when_full is WhenFull.SHED:
            request.setHeader(b'x-not-executed', b'1')
            self._refuse(request, _UNAVAILABLE)

    def _refuse(self, request: Request, status: int) -> None:
        request.setResponseCode(status)
        request.setHeader(b'content-length', b'0')
        request.finish()

    def _tell_load(self, request: Request) -> None:
        figures = (
            len(self._running),
            len(self._waiting),
            self.size.slots,
            self.faults.slowness_percent,
        )
        request.setHeader(b'x-server-load', ','.join(map(str, figures)))

    def _gone(self, _failure: object, request: Request) -> None:
        """Drop the work of a request whose connection closed."""
        if request in self._running:
            self._running.discard(request)
            self.cancelled += 1
        elif request in self._waiting:
            self._waiting.remove(request)
