"""Checks of a soak: the promises, and what callers and servers saw."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from tests.soak.callers import SentRequest
from tests.soak.vm_process import CHECK_INTERVAL_S

LIMIT_PER_S = 2.0
_LIMIT_WINDOW_S = 4.0
_MAX_LIMITED_RUNS = 1.5 * LIMIT_PER_S * _LIMIT_WINDOW_S + 5
_MIN_SERVED_SHARE = 0.9
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_REFUSED_AS_WRONG = frozenset(range(300, 500)) - _NOT_RUN_STATUSES
_OK = 200


@dataclass(frozen=True)
class Run:
    """A request that a backend server began to run."""

    backend_id: str
    body: bytes = field(repr=False)
    begun_s: float


Runs: TypeAlias = Sequence[Run]


def check_request(request: SentRequest, runs: Runs) -> Iterator[str]:
    """Yield what is wrong with a request and its runs."""
    if request.is_order and len(runs) > 1:
        yield _describe('ran twice', request, runs)
    if request.is_order and request.status in _NOT_RUN_STATUSES and runs:
        yield _describe('ran, and was refused', request, runs)
    if request.status in _REFUSED_AS_WRONG:
        yield _describe('was proper, and refused as wrong', request, len(runs))
    if request.status == _OK and request.response_id != request.request_id:
        yield _describe('got another response', request, request.response_id)
    if request.is_cut and not _may_be_cut(request, runs):
        yield _describe('was cut off', request, (runs, request.vm.history()))
    if any(run.body != request.body for run in runs):
        yield _describe('ran with another body', request, len(runs))


def check_servers(
    request: SentRequest, runs: Runs, left: set[str], evacuated: set[str]
) -> Iterator[str]:
    """Yield a run at a server that had left or in an evacuated domain."""
    for run in runs:
        if run.backend_id in left:
            yield _describe('ran at a server that had left', request, run)
        if run.backend_id in evacuated:
            yield _describe('ran in an evacuated domain', request, run)


def check_recovery(last: Sequence[SentRequest]) -> Iterator[str]:
    """Yield what is wrong if too few of the last requests were served."""
    served = sum(request.status == _OK for request in last)
    if served < _MIN_SERVED_SHARE * len(last) or not last:
        yield f'{served} of {len(last)} served at the end'


def check_added_route(statuses: Sequence[tuple[str, int]]) -> Iterator[str]:
    """Yield the VMs that do not know a route in time, by their statuses."""
    if not statuses:
        yield 'no VM was asked for the added route'
    for vm, status in statuses:
        if status in _REFUSED_AS_WRONG:
            yield f'{vm} refused a request for an added route with {status}'


def check_configs(vm: str, log_lines: Iterable[str]) -> Iterator[str]:
    """Yield the configurations older than one before in the same process."""
    newest = 0
    for line in log_lines:
        event = _parse_event(line)
        name = event.get('name')
        if name == 'process-started':
            newest = 0
        if name != 'knowledge-changed':
            continue
        version = event['config'] or 0
        if version < newest:
            at_utc = event['at_utc']
            yield f'{vm} went back from {newest} to {version} at {at_utc}'
        newest = max(newest, version)


def check_rate_limit(times_s: Sequence[float]) -> Iterator[str]:
    """Yield what is wrong if a limited server got too many requests.

    ``times_s`` holds the times of its runs once the limit is known.
    """
    most = max(
        (
            sum(0 <= time_s - first_s <= _LIMIT_WINDOW_S for time_s in times_s)
            for first_s in times_s
        ),
        default=0,
    )
    if most > _MAX_LIMITED_RUNS:
        yield f'{most} requests in 4 s, {_MAX_LIMITED_RUNS} are allowed'


def _parse_event(line: str) -> dict[str, Any]:
    """Return the fields of a log line; none if it is no JSON object."""
    try:
        event = json.loads(line)
    except ValueError:
        return {}
    return event if isinstance(event, dict) else {}


def _may_be_cut(request: SentRequest, runs: Runs) -> bool:
    """Return whether the caller has to expect a closed connection.

    It has if the VM was killed since the connection was opened, and if a
    request that was not run crossed the closing of a used connection.
    """
    latest_s = request.ended_s + CHECK_INTERVAL_S
    if any(
        request.opened_s <= killed_s <= latest_s
        for killed_s in request.vm.killed_s
    ):
        return True
    return not (request.is_first or runs)


def _describe(what: str, request: SentRequest, detail: object) -> str:
    vm = request.vm.settings.name
    times = f'{request.sent_s:.3f} to {request.ended_s:.3f} s'
    outcome = f'with status {request.status}'
    parts = (request.request_id, 'at', vm, what, outcome, times, detail)
    return ' '.join(map(str, parts))
