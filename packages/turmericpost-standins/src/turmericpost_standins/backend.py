"""Stand-in for a backend server: slots, cold start, shedding, faults."""

from __future__ import annotations

import json
from collections import Counter, deque
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from typing import Any

from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

_MS_PER_S = 1000
_COLD = 0
_WARM = 1
_DRAINING = 2
_COLLAPSE_FACTOR = 20


@dataclass(frozen=True)
class BackendSpec:
    """Capacity of a backend server."""

    name: str
    slots: int = 3
    mean_service_ms: float = 12
    max_queue: int = 6
    cold_calls: int = 5
    cold_slots: int = 1


@dataclass
class BackendFaults:
    """Faults that a test switches on."""

    is_draining: bool = False
    slowness: float = 1
    fails_fast: bool = False
    truncates: bool = False
    report_lag_s: float = 0


@dataclass(frozen=True)
class RunRecord:
    """One run of an operation, as the backend server's own log has it."""

    run_id: str
    method: str
    path: str
    operation_key: str | None


class BackendStandIn(Resource):
    """Answers any path; the answer to a POST carries an id of its run."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, reactor: Any, size: BackendSpec, seed: int) -> None:
        super().__init__()
        self.faults = BackendFaults()
        self.runs: list[RunRecord] = []
        self.cancelled = 0
        self.sheds = 0
        self.most_in_flight = 0
        self._reactor = reactor
        self._size = size
        self._random = Random(seed)
        self._in_flight = 0
        self._queue: deque[_WaitingCall] = deque()
        self._answered = 0
        self._run_number = 0
        self._incarnation = 1
        self._reports: deque[tuple[float, bytes]] = deque()
        self.statuses: Counter[int] = Counter()

    def turn_cold(self) -> None:
        """Restart without warning: a new, cold incarnation."""
        self._incarnation += 1
        self._answered = 0

    def render(self, request: Request) -> int | bytes:
        """Serve, queue or shed a call."""
        if request.path == b'/healthz':
            return self._report()
        body = request.content.read()
        call = _WaitingCall(request, body)
        request.notifyFinish().addErrback(self._caller_gone, call)
        if self.faults.fails_fast:
            self._answer(call, HTTPStatus.INTERNAL_SERVER_ERROR.value, {})
        elif self.faults.is_draining:
            self._shed(call)
        elif self._in_flight < self._size.slots:
            self._serve(call)
        elif len(self._queue) < self._size.max_queue:
            self._queue.append(call)
        else:
            self._shed(call)
        return NOT_DONE_YET

    @property
    def is_cold(self) -> bool:
        """Whether the server can carry only a little."""
        return self._answered < self._size.cold_calls

    def _serve(self, call: _WaitingCall) -> None:
        self._in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self._in_flight)
        self._run_number += 1
        request = call.request
        key = request.getHeader('idempotency-key')
        record = RunRecord(
            run_id='/'.join(
                (
                    self._size.name,
                    str(self._incarnation),
                    str(self._run_number),
                )
            ),
            method=request.method.decode('latin-1'),
            path=request.path.decode('latin-1'),
            operation_key=key,
        )
        self.runs.append(record)
        call.timer = self._reactor.callLater(
            self._service_s(request),
            self._served,
            call,
            record,
        )

    def _service_s(self, request: Request) -> float:
        """Return a drawn time, or the one that the caller asks for."""
        asked_ms = request.getHeader('x-service-ms')
        if asked_ms is not None:
            return float(asked_ms) / _MS_PER_S
        mean_s = self._size.mean_service_ms / _MS_PER_S * self.faults.slowness
        if self.is_cold and self._in_flight > self._size.cold_slots:
            mean_s *= _COLLAPSE_FACTOR
        return self._random.expovariate(1 / mean_s)

    def _served(self, call: _WaitingCall, record: RunRecord) -> None:
        self._free_slot()
        self._answered += 1
        answer = {
            'server': self._size.name,
            'method': record.method,
            'path': record.path,
            'echo': call.request.getHeader('x-echo'),
            'body_bytes': len(call.body),
        }
        if record.method == 'POST':
            answer['run_id'] = record.run_id
        self._answer(call, HTTPStatus.OK.value, answer)

    def _shed(self, call: _WaitingCall) -> None:
        self.sheds += 1
        call.request.setHeader(b'turmericpost-outcome', b'not-run')
        self._answer(call, HTTPStatus.SERVICE_UNAVAILABLE.value, {})

    def _answer(self, call: _WaitingCall, status: int, answer: Any) -> None:
        call.is_over = True
        request = call.request
        self.statuses[status] += 1
        encoded = json.dumps(answer).encode()
        request.setResponseCode(status)
        request.setHeader(b'content-type', b'application/json')
        request.setHeader(b'content-length', b'%d' % len(encoded))
        request.setHeader(b'endpoint-load-metrics', b'JSON %b' % self._report())
        if self.faults.truncates:
            request.write(encoded[:-1])
            request.channel.loseConnection()
            return
        if request.method != b'HEAD':
            request.write(encoded)
        request.finish()

    def _caller_gone(self, _failure: object, call: _WaitingCall) -> None:
        if call.is_over:
            return
        call.is_over = True
        self.cancelled += 1
        if call in self._queue:
            self._queue.remove(call)
        elif call.timer is not None and call.timer.active():
            call.timer.cancel()
            self._free_slot()

    def _free_slot(self) -> None:
        self._in_flight -= 1
        if self._queue and self._in_flight < self._size.slots:
            self._serve(self._queue.popleft())

    def _report(self) -> bytes:
        now_s = self._reactor.seconds()
        self._reports.append((now_s, self._current_report()))
        shown_s = now_s - self.faults.report_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= shown_s:
            self._reports.popleft()
        return self._reports[0][1]

    def _current_report(self) -> bytes:
        state = _COLD if self.is_cold else _WARM
        if self.faults.is_draining:
            state = _DRAINING
        named = {
            'slots': self._size.slots,
            'in_flight': self._in_flight + len(self._queue),
            'state': state,
            'incarnation': self._incarnation,
        }
        utilization = self._in_flight / self._size.slots
        report = {
            'application_utilization': utilization,
            'named_metrics': named,
        }
        return json.dumps(report).encode()


class _WaitingCall:
    """A call at the stand-in."""

    def __init__(self, request: Request, body: bytes) -> None:
        self.request = request
        self.body = body
        self.timer: Any = None
        self.is_over = False
