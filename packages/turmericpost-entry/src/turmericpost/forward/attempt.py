"""Attempt: sends a call to one backend server and evaluates the response."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol as Interface

from turmericpost.forward.call_facts import ATTEMPT_ID_HEADER
from turmericpost.forward.load_header import (
    LOAD_REPORT_HEADER,
    parse_load_report,
)
from turmericpost.forward.pool import ConnectionPool, PendingConnection
from turmericpost.forward.refusals import OUTCOME_HEADER
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
    """Call that an attempt belongs to; receives the events of the attempt."""

    def write_request(self, connection: BackendConnection) -> None:
        """Write the request head and body.

        Later parts of the body are written as they arrive.
        """

    def request_is_sent(self) -> bool:
        """Return whether the whole request has been written."""

    def is_head_request(self) -> bool:
        """Return whether the method is HEAD."""

    def attempt_response_head(self, head: ResponseHead) -> bool:
        """Handle the response head; return false to discard the response."""

    def attempt_response_body(self, body: bytes) -> None:
        """Handle a part of the response body."""

    def attempt_ended(self, attempt: Attempt) -> None:
        """Handle the end of the attempt."""

    def pause_request(self) -> None:
        """Pause sending the request."""

    def resume_request(self) -> None:
        """Resume sending the request."""


@dataclass(frozen=True)
class AttemptDependencies:
    """Collaborators shared by all attempts of an entry VM."""

    clock: Clock
    balancer: Balancer
    pool: ConnectionPool
    metrics: Metrics
    attempt_numbers: Iterator[int] = field(default_factory=count)


class BackendAttempt:
    """Sends a call to one backend server and reports how the attempt ended.

    ``AttemptOwner.attempt_ended`` is called exactly once. ``attempt_id`` is
    what the response should repeat, ``None`` if the call is relayed to another
    entry VM.
    """

    def __init__(
        self,
        backend: BackendServer,
        load: BackendLoad,
        call: AttemptOwner,
        dependencies: AttemptDependencies,
        *,
        relay_kind: RelayKind | None = None,
    ) -> None:
        self.relay_kind = relay_kind
        self.attempt_id: bytes | None = None
        if relay_kind is None:
            self.attempt_id = b'%d' % next(dependencies.attempt_numbers)
        self._backend = backend
        self._load = load
        self._call = call
        self._dependencies = dependencies
        self._pending: PendingConnection | None = None
        self._connection: BackendConnection | None = None
        self._begun_s = dependencies.clock.monotonic_s()
        self._latency_s = float(0)
        self._discard_reason: AttemptEnd | None = None
        self._is_server_error = False
        self._has_sent_bytes = False
        self._is_reused = False
        self._repeats_id = False
        self._is_over = False

    def start(self) -> None:
        """Use an idle connection or open one, then send the request."""
        connection = self._dependencies.pool.take_idle(self._backend.address)
        if connection is not None:
            self._is_reused = True
            self.connected(connection)
            return
        pending = self._dependencies.pool.open(
            self._backend.host,
            self._backend.port,
            self,
        )
        self._pending = pending

    def connected(self, connection: BackendConnection) -> None:
        """Send the request on the connection."""
        self._connection = connection
        self._has_sent_bytes = True
        connection.begin(self, to_head_request=self._call.is_head_request())
        self._call.write_request(connection)

    def connect_failed(self) -> None:
        """End the attempt as failed; no byte of the request was sent."""
        self._finish(AttemptResult.FAILURE, AttemptEnd.CONNECT_FAILED)

    def is_stale_response(self, head: ResponseHead) -> bool:
        """Return whether the response belongs to an earlier attempt.

        A connection is reused only if the server has repeated the ids of all
        attempts on it.
        """
        if self.attempt_id is None:
            return False
        repeated_id = head.first(ATTEMPT_ID_HEADER)
        self._repeats_id = repeated_id == self.attempt_id
        if self._repeats_id:
            return False
        return self._is_reused or repeated_id is not None

    def response_head_received(self, head: ResponseHead) -> None:
        """Record the load report, if any, and pass the head to the call.

        The rest of the response is discarded if the backend server shed the
        call or if the call rejects the head.
        """
        now_s = self._dependencies.clock.monotonic_s()
        self._latency_s = now_s - self._begun_s
        self._record_load_report(head, now_s)
        self._is_server_error = head.status >= _FIRST_SERVER_ERROR
        if self._is_shed(head):
            self._discard_reason = AttemptEnd.SHED
        elif not self._call.attempt_response_head(head):
            self._discard_reason = AttemptEnd.SERVER_ERROR

    def response_body_received(self, body: bytes) -> None:
        """Pass a body part to the call unless the response is discarded."""
        if self._discard_reason is None:
            self._call.attempt_response_body(body)

    def response_complete(self) -> None:
        """Release the connection; end the attempt with a complete response."""
        self._release_connection()
        self._dependencies.metrics.record_attempt(self._latency_s)
        if self._discard_reason is AttemptEnd.SHED:
            self._finish(AttemptResult.SHED, AttemptEnd.SHED)
        elif self._is_server_error:
            end = self._discard_reason or AttemptEnd.COMPLETE_RESPONSE
            self._finish(AttemptResult.FAILURE, end)
        else:
            self._finish(AttemptResult.SUCCESS, AttemptEnd.COMPLETE_RESPONSE)

    def response_failed(self, end: AttemptEnd) -> None:
        """End the attempt as failed: the response is incomplete or invalid."""
        self._finish(AttemptResult.FAILURE, end)

    def pause_request(self) -> None:
        """Pause the request body, as the backend server reads too slowly."""
        self._call.pause_request()

    def resume_request(self) -> None:
        """Resume the request body because the backend server reads again."""
        self._call.resume_request()

    def pause_response(self) -> None:
        """Pause reading the response from the backend server."""
        if self._connection is not None:
            self._connection.pause_response(self)

    def resume_response(self) -> None:
        """Resume reading the response from the backend server."""
        if self._connection is not None:
            self._connection.resume_response(self)

    def cancel(self, end: AttemptEnd) -> None:
        """Cancel the attempt by closing its connection."""
        if self._pending is not None and self._connection is None:
            self._pending.abandon()
        if self._connection is not None:
            self._connection.cancel()
        self._finish(AttemptResult.CANCELLED, end)

    def _finish(self, attempt_result: AttemptResult, end: AttemptEnd) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._dependencies.balancer.finish(
            self._load,
            attempt_result,
            self._latency_s,
            self._dependencies.clock.monotonic_s(),
        )
        self._call.attempt_ended(Attempt(end, self._has_sent_bytes))

    def _is_shed(self, head: ResponseHead) -> bool:
        """Return whether the backend server shed the call before running it.

        False for a call relayed to the owner of its operation key, because
        no other VM may run it.
        """
        if self.relay_kind is RelayKind.KEY:
            return False
        return (
            head.status == _SHED_STATUS
            and head.first(OUTCOME_HEADER) == _NOT_RUN
        )

    def _release_connection(self) -> None:
        """Keep the connection for reuse if the server repeats attempt ids.

        Otherwise a second copy of the response would pass for the response to
        the next call.
        """
        connection = self._connection
        self._connection = None
        if connection is None:
            return
        if not self._call.request_is_sent():
            connection.cancel()
        elif self._repeats_id or self.attempt_id is None:
            self._dependencies.pool.release(self._backend.address, connection)
        elif connection.is_usable:
            connection.close()

    def _record_load_report(self, head: ResponseHead, now_s: float) -> None:
        text = head.first(LOAD_REPORT_HEADER)
        if text is None:
            return
        report = parse_load_report(text)
        if report.is_ok():
            self._dependencies.balancer.record_report(
                self._backend.address,
                report.unwrap(),
                now_s,
            )
