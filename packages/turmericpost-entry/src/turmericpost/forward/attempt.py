"""One attempt of a call at one backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol as Interface

from turmericpost.forward.load_header import LOAD_FIELD, parse_load_field
from turmericpost.forward.pool import ConnectionPool, PendingConnection
from turmericpost.forward.refusals import OUTCOME
from turmericpost.forward.relays import RelayKind
from turmericpost.http1.client import BackendConnection
from turmericpost.http1.heads import ResponseHead
from turmericpost.observe.metrics import Metrics
from turmericpost_core.clock import Clock
from turmericpost_core.config.document import BackendServer
from turmericpost_core.limits.backend_load import AttemptResult, BackendLoad
from turmericpost_core.outcome.ledger import Attempt, AttemptEnd
from turmericpost_core.outcome.reasons import Outcome
from turmericpost_core.routing.balancer import Balancer

_SHED_STATUS = 503
_FIRST_SERVER_ERROR = 500
_NOT_RUN = Outcome.NOT_RUN.value.encode('ascii')


class AttemptOwner(Interface):
    """The call that an attempt belongs to."""

    def write_request(self, connection: BackendConnection) -> None:
        """Write the request, and its body as it comes."""

    def request_is_sent(self) -> bool:
        """Return whether the whole request has been written."""

    def is_head_request(self) -> bool:
        """Return whether the method is HEAD."""

    def attempt_head(self, head: ResponseHead) -> bool:
        """Take the head; return whether the answer is wanted."""

    def attempt_body(self, body: bytes) -> None:
        """Take a part of the answer."""

    def attempt_ended(self, attempt: Attempt) -> None:
        """Take the end of the attempt."""

    def pause_request(self) -> None:
        """Stop sending the request."""

    def resume_request(self) -> None:
        """Go on sending the request."""


@dataclass(frozen=True)
class AttemptTools:
    """What every attempt of an entry VM works with."""

    clock: Clock
    balancer: Balancer
    pool: ConnectionPool
    metrics: Metrics


class BackendAttempt:
    """Connects, sends, and judges the answer; ends exactly once."""

    def __init__(
        self,
        backend: BackendServer,
        load: BackendLoad,
        owner: AttemptOwner,
        tools: AttemptTools,
        *,
        relay_kind: RelayKind | None = None,
    ) -> None:
        self.relay_kind = relay_kind
        self._backend = backend
        self._load = load
        self._owner = owner
        self._tools = tools
        self._pending: PendingConnection | None = None
        self._connection: BackendConnection | None = None
        self._begun_s = tools.clock.monotonic_s()
        self._latency_s = float(0)
        self._unwanted: AttemptEnd | None = None
        self._is_failing = False
        self._bytes_sent = False
        self._is_over = False

    def start(self) -> None:
        """Take or open a connection and send the request."""
        connection = self._tools.pool.take_idle(self._backend.address)
        if connection is not None:
            self.connected(connection)
            return
        pending = self._tools.pool.open(
            self._backend.host,
            self._backend.port,
            self,
        )
        self._pending = pending

    def connected(self, connection: BackendConnection) -> None:
        """Send the request on the connection."""
        self._connection = connection
        self._bytes_sent = True
        connection.begin(self, to_head_request=self._owner.is_head_request())
        self._owner.write_request(connection)

    def connect_failed(self) -> None:
        """End the attempt: nothing was sent."""
        self._finish(AttemptResult.FAILURE, AttemptEnd.CONNECT_FAILED)

    def is_stale_response(self, head: ResponseHead) -> bool:
        """Return false: these answers carry no id of their call."""
        return False

    def response_head_received(self, head: ResponseHead) -> None:
        """Judge the head and pass it on."""
        now_s = self._tools.clock.monotonic_s()
        self._latency_s = now_s - self._begun_s
        self._record_report(head, now_s)
        self._is_failing = head.status >= _FIRST_SERVER_ERROR
        if self._is_shed(head):
            self._unwanted = AttemptEnd.SHED
        elif not self._owner.attempt_head(head):
            self._unwanted = AttemptEnd.SERVER_ERROR

    def response_body_received(self, body: bytes) -> None:
        """Pass on a part of a wanted answer."""
        if self._unwanted is None:
            self._owner.attempt_body(body)

    def response_complete(self) -> None:
        """End the attempt with a whole answer."""
        self._give_connection_back()
        self._tools.metrics.record_attempt(self._latency_s)
        if self._unwanted is AttemptEnd.SHED:
            self._finish(AttemptResult.SHED, AttemptEnd.SHED)
        elif self._is_failing:
            end = self._unwanted or AttemptEnd.COMPLETE_RESPONSE
            self._finish(AttemptResult.FAILURE, end)
        else:
            self._finish(AttemptResult.SUCCESS, AttemptEnd.COMPLETE_RESPONSE)

    def response_failed(self, end: AttemptEnd) -> None:
        """End the attempt without a whole answer."""
        self._finish(AttemptResult.FAILURE, end)

    def pause_request(self) -> None:
        """Pass on that the backend server reads slowly."""
        self._owner.pause_request()

    def resume_request(self) -> None:
        """Pass on that the backend server reads again."""
        self._owner.resume_request()

    def pause_response(self) -> None:
        """Stop reading the answer."""
        if self._connection is not None:
            self._connection.pause_response()

    def resume_response(self) -> None:
        """Go on reading the answer."""
        if self._connection is not None:
            self._connection.resume_response()

    def cancel(self, end: AttemptEnd) -> None:
        """Give the attempt up; the backend server sees the connection close."""
        if self._pending is not None and self._connection is None:
            self._pending.forget()
        if self._connection is not None:
            self._connection.cancel()
        self._finish(AttemptResult.CANCELLED, end)

    def _finish(self, standing: AttemptResult, end: AttemptEnd) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._tools.balancer.finish(
            self._load,
            standing,
            self._latency_s,
            self._tools.clock.monotonic_s(),
        )
        self._owner.attempt_ended(Attempt(end, self._bytes_sent))

    def _is_shed(self, head: ResponseHead) -> bool:
        """Return whether the call may go elsewhere; a key may not."""
        if self.relay_kind is RelayKind.KEY:
            return False
        return head.status == _SHED_STATUS and head.first(OUTCOME) == _NOT_RUN

    def _give_connection_back(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is None:
            return
        if self._owner.request_is_sent():
            self._tools.pool.give_back(self._backend.address, connection)
        else:
            connection.cancel()

    def _record_report(self, head: ResponseHead, now_s: float) -> None:
        text = head.first(LOAD_FIELD)
        if text is None:
            return
        report = parse_load_field(text)
        if report.is_ok():
            self._tools.balancer.record_report(
                self._backend.address,
                report.unwrap(),
                now_s,
            )
