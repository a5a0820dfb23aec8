"""Stand-in for a backend server with limited slots, cold starts and faults."""

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
_COLD_OVERLOAD_FACTOR = 20  # slowdown of calls above ``cold_slots``


@dataclass(frozen=True)
class BackendSpec:
    """Name and capacity of a backend server.

    A server is cold until it has served ``cold_calls`` calls; while cold, it
    serves at most ``cold_slots`` calls at normal speed, and others much slower.
    """

    name: str
    slots: int = 3
    mean_service_ms: float = 12
    max_queue: int = 6
    cold_calls: int = 5
    cold_slots: int = 1


@dataclass
class BackendFaults:
    """Faults that a test injects.

    - ``is_draining``: shed every new call.
    - ``slowness``: factor on the mean service time.
    - ``fails_fast``: respond to every call with status 500 at once.
    - ``truncates``: send every response one byte short and close.
    - ``report_lag_s``: age of the load reports that callers see.
    """

    is_draining: bool = False
    slowness: float = 1
    fails_fast: bool = False
    truncates: bool = False
    report_lag_s: float = 0


@dataclass(frozen=True)
class RunRecord:
    """One execution of a call; ``run_id`` is server name, incarnation and number."""

    run_id: str
    method: str
    path: str
    operation_key: str | None


class BackendStandIn(Resource):
    """Serves every path; the response to a POST has the id of its run.

    ``/healthz`` returns the load report. ``runs`` lists the calls executed.
    """

    isLeaf = True  # noqa: WPS115

    def __init__(self, reactor: Any, spec: BackendSpec, seed: int) -> None:
        super().__init__()
        self.faults = BackendFaults()
        self.runs: list[RunRecord] = []
        self.cancelled = 0
        self.shed_calls = 0
        self.max_in_flight = 0
        self._reactor = reactor
        self._spec = spec
        self._random = Random(seed)
        self._in_flight = 0
        self._queue: deque[_PendingCall] = deque()
        self._completed_calls = 0
        self._run_number = 0
        self._incarnation = 1
        self._load_reports: deque[tuple[float, bytes]] = deque()
        self.statuses: Counter[int] = Counter()

    def restart_cold(self) -> None:
        """Turn into a new, cold incarnation; calls in flight are not aborted."""
        self._incarnation += 1
        self._completed_calls = 0

    def render(self, request: Request) -> int | bytes:
        """Serve, queue or shed a call."""
        if request.path == b'/healthz':
            return self._delayed_load_report()
        body = request.content.read()
        call = _PendingCall(request, body)
        request.notifyFinish().addErrback(self._cancel_call, call)
        if self.faults.fails_fast:
            self._respond(call, HTTPStatus.INTERNAL_SERVER_ERROR.value, {})
        elif self.faults.is_draining:
            self._shed(call)
        elif self._in_flight < self._spec.slots:
            self._start_call(call)
        elif len(self._queue) < self._spec.max_queue:
            self._queue.append(call)
        else:
            self._shed(call)
        return NOT_DONE_YET

    @property
    def is_cold(self) -> bool:
        """Whether the server is still warming up and has little capacity."""
        return self._completed_calls < self._spec.cold_calls

    def _start_call(self, call: _PendingCall) -> None:
        self._in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self._in_flight)
        self._run_number += 1
        request = call.request
        key = request.getHeader('idempotency-key')
        record = RunRecord(
            run_id='/'.join(
                (
                    self._spec.name,
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
            self._service_time_s(request),
            self._finish_call,
            call,
            record,
        )

    def _service_time_s(self, request: Request) -> float:
        """Return a random service time in seconds.

        The ``x-service-ms`` header of the request overrides it.
        """
        requested_ms = request.getHeader('x-service-ms')
        if requested_ms is not None:
            return float(requested_ms) / _MS_PER_S
        mean_s = self._spec.mean_service_ms / _MS_PER_S * self.faults.slowness
        if self.is_cold and self._in_flight > self._spec.cold_slots:
            mean_s *= _COLD_OVERLOAD_FACTOR
        return self._random.expovariate(1 / mean_s)

    def _finish_call(self, call: _PendingCall, record: RunRecord) -> None:
        self._free_slot()
        self._completed_calls += 1
        response = {
            'server': self._spec.name,
            'method': record.method,
            'path': record.path,
            'echo': call.request.getHeader('x-echo'),
            'body_bytes': len(call.body),
        }
        if record.method == 'POST':
            response['run_id'] = record.run_id
        self._respond(call, HTTPStatus.OK.value, response)

    def _shed(self, call: _PendingCall) -> None:
        self.shed_calls += 1
        call.request.setHeader(b'turmericpost-outcome', b'not-run')
        self._respond(call, HTTPStatus.SERVICE_UNAVAILABLE.value, {})

    def _respond(self, call: _PendingCall, status: int, response: Any) -> None:
        call.is_finished = True
        request = call.request
        self.statuses[status] += 1
        encoded = json.dumps(response).encode()
        request.setResponseCode(status)
        attempt_id = request.getHeader('turmericpost-attempt-id')
        if attempt_id is not None:
            request.setHeader('turmericpost-attempt-id', attempt_id)
        request.setHeader(b'content-type', b'application/json')
        request.setHeader(b'content-length', b'%d' % len(encoded))
        request.setHeader(
            b'endpoint-load-metrics', b'JSON %b' % self._delayed_load_report()
        )
        if self.faults.truncates:
            request.write(encoded[:-1])
            request.channel.loseConnection()
            return
        if request.method != b'HEAD':
            request.write(encoded)
        request.finish()

    def _cancel_call(self, _failure: object, call: _PendingCall) -> None:
        if call.is_finished:
            return
        call.is_finished = True
        self.cancelled += 1
        if call in self._queue:
            self._queue.remove(call)
        elif call.timer is not None and call.timer.active():
            call.timer.cancel()
            self._free_slot()

    def _free_slot(self) -> None:
        self._in_flight -= 1
        if self._queue and self._in_flight < self._spec.slots:
            self._start_call(self._queue.popleft())

    def _delayed_load_report(self) -> bytes:
        now_s = self._reactor.seconds()
        self._load_reports.append((now_s, self._current_load_report()))
        visible_until_s = now_s - self.faults.report_lag_s
        while (
            len(self._load_reports) > 1
            and self._load_reports[1][0] <= visible_until_s
        ):
            self._load_reports.popleft()
        return self._load_reports[0][1]

    def _current_load_report(self) -> bytes:
        state = _COLD if self.is_cold else _WARM
        if self.faults.is_draining:
            state = _DRAINING
        named_metrics = {
            'slots': self._spec.slots,
            'in_flight': self._in_flight + len(self._queue),
            'state': state,
            'incarnation': self._incarnation,
        }
        utilization = self._in_flight / self._spec.slots
        report = {
            'application_utilization': utilization,
            'named_metrics': named_metrics,
        }
        return json.dumps(report).encode()


class _PendingCall:
    """A call that is queued or being served."""

    def __init__(self, request: Request, body: bytes) -> None:
        self.request = request
        self.body = body
        self.timer: Any = None
        self.is_finished = False
