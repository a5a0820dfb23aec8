"""Open-loop load sent through an entry VM and directly to a backend server.

Both loads run at the same time, so that their latencies can be compared.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from turmericpost_standins.load.client import (
    LoadClient,
    LoadResponse,
    LoadTarget,
)
from turmericpost_standins.load.results import CallVerdict, LoadResult

_OK = 200
_CALL_TIMEOUT_S = 15
_IDLE_CHECK_INTERVAL_S = 0.05


@dataclass(frozen=True)
class LoadPlan:
    """Rates, duration and content of the calls.

    ``service_ms`` is the service time that the stand-in backend server uses
    for each call; if it is ``None``, the stand-in draws a random service time.
    """

    service: str
    account: str
    rate_per_s: float
    direct_rate_per_s: float
    duration_s: float
    service_ms: float | None
    post_share: float
    seed: int


class LoadGenerator:
    """Sends calls to one target at random intervals.

    The intervals are distributed exponentially and don't depend on responses.
    """

    def __init__(
        self,
        reactor: Any,
        plan: LoadPlan,
        target: LoadTarget,
        load_result: LoadResult,
        rate_per_s: float,
    ) -> None:
        self.load_result = load_result
        self._reactor = reactor
        self._plan = plan
        self._rate_per_s = rate_per_s
        self._client = LoadClient(reactor, target)
        self._random = Random(' '.join((str(plan.seed), load_result.name)))
        self._call_count = 0
        self._calls_in_flight = 0
        self._end_s = reactor.seconds() + plan.duration_s
        self._next_call_s = reactor.seconds()
        self._done: Deferred[None] = Deferred()

    def start(self) -> Deferred[None]:
        """Start to send calls; the deferred fires when every call has ended."""
        if self._rate_per_s:
            self._schedule_next_call()
        else:
            self._reactor.callLater(0, self._done.callback, None)
        return self._done

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def _schedule_next_call(self) -> None:
        self._next_call_s += self._random.expovariate(self._rate_per_s)
        if self._next_call_s >= self._end_s:
            self._finish_when_idle()
            return
        wait_s = max(0, self._next_call_s - self._reactor.seconds())
        self._reactor.callLater(wait_s, self._start_call)

    def _start_call(self) -> None:
        self._call_count += 1
        echo = '-'.join((self.load_result.name, str(self._call_count)))
        call = _Call(self._reactor.seconds(), echo, self._record_call)
        self._calls_in_flight += 1
        connection = self._client.call(
            self._encode_request(echo), call.on_response
        )
        call.timer = self._reactor.callLater(
            _CALL_TIMEOUT_S,
            call.on_timeout,
            connection.close,
        )
        self._schedule_next_call()

    def _record_call(self, call: _Call, response: LoadResponse | None) -> None:
        self._calls_in_flight -= 1
        latency_s = self._reactor.seconds() - call.begun_s
        verdict = call.verdict(response)
        self.load_result.record(verdict, latency_s)
        if verdict is CallVerdict.REFUSED and response is not None:
            reason = response.headers.get('turmericpost-reason', 'none')
            self.load_result.reasons[reason] += 1

    def _finish_when_idle(self) -> None:
        if self._calls_in_flight:
            self._reactor.callLater(
                _IDLE_CHECK_INTERVAL_S, self._finish_when_idle
            )
        else:
            self._done.callback(None)

    def _encode_request(self, echo: str) -> bytes:
        plan = self._plan
        is_post = self._random.random() < plan.post_share
        lines = [
            'POST /order HTTP/1.1' if is_post else 'GET /item HTTP/1.1',
            f'Host: {plan.service}',
            f'Turmericpost-Account: {plan.account}',
            f'X-Echo: {echo}',
        ]
        if plan.service_ms is not None:
            lines.append(f'X-Service-Ms: {plan.service_ms}')
        if is_post:
            lines.append('Content-Length: 5')
        head = '\r\n'.join(lines).encode('ascii')
        body = b'order' if is_post else b''
        return b'%b\r\n\r\n%b' % (head, body)


class _Call:
    def __init__(
        self,
        begun_s: float,
        echo: str,
        on_end: Callable[[_Call, LoadResponse | None], None],
    ) -> None:
        self.begun_s = begun_s
        self.timer: Any = None
        self._echo = echo
        self._on_end = on_end
        self._has_timed_out = False

    def on_response(self, response: LoadResponse | None) -> None:
        """Record the end of the call; ``None`` means no complete response."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self._on_end(self, response)

    def on_timeout(self, close: Callable[[], None]) -> None:
        """Mark the call as timed out and close its connection."""
        self._has_timed_out = True
        close()

    def verdict(self, response: LoadResponse | None) -> CallVerdict:
        """Return the verdict on the call, given its response if any."""
        if self._has_timed_out:
            return CallVerdict.LOST
        if response is None:
            return CallVerdict.INCOMPLETE
        if response.status != _OK:
            return CallVerdict.REFUSED
        if json.loads(response.body).get('echo') != self._echo:
            return CallVerdict.MISMATCHED
        return CallVerdict.COMPLETE


async def run_load(
    reactor: Any,
    plan: LoadPlan,
    entry: LoadTarget,
    backend: LoadTarget,
) -> tuple[LoadResult, LoadResult]:
    """Send load through an entry VM and directly to a backend server.

    Returns the results of both: through the entry VM, then direct.
    """
    via_entry_vm = LoadGenerator(
        reactor,
        plan,
        entry,
        LoadResult('through'),
        plan.rate_per_s,
    )
    direct = LoadGenerator(
        reactor,
        plan,
        backend,
        LoadResult('direct'),
        plan.direct_rate_per_s,
    )
    completions = (via_entry_vm.start(), direct.start())
    for completion in completions:
        await completion
    via_entry_vm.close()
    direct.close()
    return via_entry_vm.load_result, direct.load_result
