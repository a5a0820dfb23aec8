"""Open-loop load through an entry VM and straight to a back end, at once."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from turmericpost_standins.load.client import (
    LoadAnswer,
    LoadClient,
    LoadTarget,
)
from turmericpost_standins.load.results import CallVerdict, PathResult

_OK = 200
_CALL_TIMEOUT_S = 15
_SETTLE_S = 0.05


@dataclass(frozen=True)
class LoadPlan:
    """Rates, duration and form of the calls.

    ``service_ms`` asks the stand-in for a fixed service time; ``None``
    leaves it to the stand-in's own distribution.
    """

    service: str
    account: str
    rate_per_s: float
    direct_rate_per_s: float
    duration_s: float
    service_ms: float | None
    post_share: float
    seed: int


class LoadPath:
    """Calls of one way, with exponential gaps between them."""

    def __init__(
        self,
        reactor: Any,
        plan: LoadPlan,
        target: LoadTarget,
        path: PathResult,
        rate_per_s: float,
    ) -> None:
        self.path = path
        self._reactor = reactor
        self._plan = plan
        self._rate_per_s = rate_per_s
        self._client = LoadClient(reactor, target)
        self._random = Random(' '.join((str(plan.seed), path.name)))
        self._number = 0
        self._open_calls = 0
        self._ends_s = reactor.seconds() + plan.duration_s
        self._next_s = reactor.seconds()
        self._done: Deferred[None] = Deferred()

    def start(self) -> Deferred[None]:
        """Begin; fires when every call has ended."""
        if self._rate_per_s:
            self._schedule()
        else:
            self._reactor.callLater(0, self._done.callback, None)
        return self._done

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def _schedule(self) -> None:
        self._next_s += self._random.expovariate(self._rate_per_s)
        if self._next_s >= self._ends_s:
            self._await_rest()
            return
        wait_s = max(0, self._next_s - self._reactor.seconds())
        self._reactor.callLater(wait_s, self._call)

    def _call(self) -> None:
        self._number += 1
        echo = '-'.join((self.path.name, str(self._number)))
        call = _Call(self._reactor.seconds(), echo, self._ended)
        self._open_calls += 1
        connection = self._client.call(self._wire(echo), call.answered)
        call.timer = self._reactor.callLater(
            _CALL_TIMEOUT_S,
            call.timed_out,
            connection.close,
        )
        self._schedule()

    def _ended(self, call: _Call, answer: LoadAnswer | None) -> None:
        self._open_calls -= 1
        latency_s = self._reactor.seconds() - call.begun_s
        verdict = call.verdict(answer)
        self.path.record(verdict, latency_s)
        if verdict is CallVerdict.REFUSED and answer is not None:
            reason = answer.headers.get('turmericpost-reason', 'none')
            self.path.reasons[reason] += 1

    def _await_rest(self) -> None:
        if self._open_calls:
            self._reactor.callLater(_SETTLE_S, self._await_rest)
        else:
            self._done.callback(None)

    def _wire(self, echo: str) -> bytes:
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
        ended: Callable[[_Call, LoadAnswer | None], None],
    ) -> None:
        self.begun_s = begun_s
        self.timer: Any = None
        self._echo = echo
        self._ended = ended
        self._has_timed_out = False

    def answered(self, answer: LoadAnswer | None) -> None:
        """Take the answer, or that there is none."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self._ended(self, answer)

    def timed_out(self, close: Callable[[], None]) -> None:
        """Give the call up."""
        self._has_timed_out = True
        close()

    def verdict(self, answer: LoadAnswer | None) -> CallVerdict:
        """Judge the answer."""
        if self._has_timed_out:
            return CallVerdict.LOST
        if answer is None:
            return CallVerdict.BROKEN
        if answer.status != _OK:
            return CallVerdict.REFUSED
        if json.loads(answer.body).get('echo') != self._echo:
            return CallVerdict.MIXED
        return CallVerdict.WHOLE


async def run_load(
    reactor: Any,
    plan: LoadPlan,
    entry: LoadTarget,
    backend: LoadTarget,
) -> tuple[PathResult, PathResult]:
    """Drive both ways at once; return the results through and direct."""
    through = LoadPath(
        reactor,
        plan,
        entry,
        PathResult('through'),
        plan.rate_per_s,
    )
    direct = LoadPath(
        reactor,
        plan,
        backend,
        PathResult('direct'),
        plan.direct_rate_per_s,
    )
    ends = (through.start(), direct.start())
    for end in ends:
        await end
    through.close()
    direct.close()
    return through.path, direct.path
