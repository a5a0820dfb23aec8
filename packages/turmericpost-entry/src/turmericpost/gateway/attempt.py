"""One attempt: a call sent to the backend server named in a permit."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol as Interface

from turmericpost.gateway.call_codec import CallCodec, ResponseInfo
from turmericpost.gateway.connections import ServerConnections
from turmericpost.gateway.permit_client import MAX_PERMIT_AGE_S, Permit
from turmericpost.http1.client import BackendConnection
from turmericpost.http1.heads import Headers, ResponseHead
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    ReportedLoad,
)
from turmericpost_core.grants.rate_limits import RateLimitStatement
from turmericpost_core.outcome.ledger import AttemptEnd
from turmericpost_core.outcome.next_step import AttemptStatus

MAX_BUFFERED_RESPONSE_BYTES = 262144
"""Maximum size of a response that is buffered until it is complete.

Larger ones are streamed. The limit is ten times the largest usual response.
While a response is buffered, the call can be retried if the connection to the
backend server fails.
"""

PERMIT_EXPIRED = 'permit-expired'
SERVER_CLOSED = 'server-closed'

_MIN_SERVER_ERROR_STATUS = 500


@dataclass(slots=True)
class BufferedResponse:
    """A complete response, or the first part of one that is streamed."""

    info: ResponseInfo
    headers: Headers
    has_body: bool
    content_length: int | None
    body: bytes = b''


@dataclass(frozen=True)
class AttemptDependencies:
    """Collaborators of an attempt.

    ``release_permit`` reports the end of the attempt to the broker,
    ``record_rate_limit`` and ``record_availability`` what the backend server
    states. ``may_send`` returns whether a server takes requests now.
    """

    connections: ServerConnections
    call_codec: CallCodec
    clock: Clock
    release_permit: Callable[[Permit, AttemptReport], None]
    record_rate_limit: Callable[[Permit, RateLimitStatement], None]
    record_availability: Callable[[Permit, ResponseInfo], None]
    may_send: Callable[[Backend], bool]


class AttemptOwner(Interface):
    """Callbacks of an attempt to the call that it belongs to."""

    @property
    def call_id(self) -> str:
        """Request id sent by the caller, empty if it sent none."""

    @property
    def is_head_request(self) -> bool:
        """Whether the method is HEAD, so that the response has no body."""

    def write_request(
        self,
        connection: BackendConnection,
        backend_id: str,
    ) -> bool:
        """Write the request head and the body received so far.

        Returns whether the request was written.
        """

    def request_is_sent(self) -> bool:
        """Return whether the request has been written to its end."""

    def response_received(
        self, attempt: Attempt, response: BufferedResponse
    ) -> None:
        """Handle a complete response."""

    def start_streaming(
        self, attempt: Attempt, response: BufferedResponse
    ) -> bool:
        """Start streaming a response that is too large to buffer.

        ``response`` holds the part received so far. Returns whether later
        parts should be passed to ``streamed_body_received``.
        """

    def streamed_body_received(self, attempt: Attempt, body: bytes) -> None:
        """Handle a later part of the body of a streamed response."""

    def attempt_failed(
        self,
        attempt: Attempt,
        attempt_status: AttemptStatus,
        cause: str,
    ) -> None:
        """Handle an attempt that ended without a complete response."""

    def pause_request(self) -> None:
        """Stop reading the request body: the backend server reads slowly."""

    def resume_request(self) -> None:
        """Continue reading the request body."""


class Attempt:
    """An attempt, from its permit to its outcome."""

    def __init__(
        self,
        call: AttemptOwner,
        permit: Permit,
        dependencies: AttemptDependencies,
    ) -> None:
        self.permit = permit
        self.sent_s: float | None = None
        self.is_finished = False
        self._call = call
        self._dependencies = dependencies
        self._granted_s = dependencies.clock.monotonic_s()
        self._connection: BackendConnection | None = None
        self._response: BufferedResponse | None = None
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._is_streaming = False
        self._abandon_connect: Callable[[], None] | None = None

    def start(self, max_idle_s: float) -> None:
        """Connect to the backend server and send the call.

        An idle connection is reused if it has been idle for at most
        ``max_idle_s`` seconds. Fails at once if the server takes no requests.
        """
        if not self._dependencies.may_send(self.permit.backend):
            self._fail_unsent(SERVER_CLOSED)
            return
        abandon = self._dependencies.connections.connect(
            self.permit.backend,
            self,
            max_idle_s,
        )
        self._abandon_connect = abandon

    def cancel(self) -> None:
        """Close the connection, which cancels the call at the backend server.

        The permit is released as unused.
        """
        if self.is_finished:
            return
        self._release_permit(AttemptOutcome.UNUSED)
        if self._connection is not None:
            self._connection.cancel()
        elif self._abandon_connect is not None:
            self._abandon_connect()

    def time_out(self) -> None:
        """Close the connection at the deadline of the call.

        If the request was sent, the broker counts a failure of the backend
        server, otherwise the permit is released as unused.
        """
        if self.is_finished:
            return
        was_sent = self.sent_s is not None
        outcome = AttemptOutcome.FAILURE if was_sent else AttemptOutcome.UNUSED
        self._release_permit(outcome)
        if self._connection is not None:
            self._connection.cancel()
        elif self._abandon_connect is not None:
            self._abandon_connect()

    def pause_response(self) -> None:
        """Stop reading the response."""
        if self._connection is not None:
            self._connection.pause_response(self)

    def resume_response(self) -> None:
        """Continue reading the response."""
        if self._connection is not None:
            self._connection.resume_response(self)

    def connected(self, connection: BackendConnection) -> None:
        """Write the request on the opened connection."""
        if self.is_finished:
            connection.close()
            return
        unsent_cause = self._unsent_cause()
        if unsent_cause is not None:
            self._return_connection(connection)
            self._fail_unsent(unsent_cause)
            return
        self._connection = connection
        connection.begin(self, to_head_request=self._call.is_head_request)
        backend_id = self.permit.backend.backend_id
        if self._call.write_request(connection, backend_id):
            self.sent_s = self._dependencies.clock.monotonic_s()

    def connect_failed(self, detail: str) -> None:
        """Report that the attempt failed before the call was sent."""
        if not self.is_finished:
            self._release_permit(AttemptOutcome.FAILURE)
            self._call.attempt_failed(self, AttemptStatus.NOT_SENT, detail)

    def is_stale_response(self, head: ResponseHead) -> bool:
        """Return whether the response belongs to an earlier request."""
        return self._dependencies.call_codec.is_stale_response(
            head, self._call.call_id
        )

    def response_head_received(self, head: ResponseHead) -> None:
        """Store the head of the response."""
        self._response = BufferedResponse(
            self._dependencies.call_codec.read_response(head),
            head.headers,
            head.has_body,
            head.content_length,
        )
        self._record_rate_limit(self._response.info)

    def response_body_received(self, body: bytes) -> None:
        """Buffer a part of the body, or pass it on if the response streams."""
        if self._is_streaming:
            self._call.streamed_body_received(self, body)
            return
        self._chunks.append(body)
        self._buffered_bytes += len(body)
        if (
            self._buffered_bytes > MAX_BUFFERED_RESPONSE_BYTES
            and self._response is not None
        ):
            self._response.body = b''.join(self._chunks)
            self._record_availability(self._response.info)
            self._is_streaming = self._call.start_streaming(
                self, self._response
            )

    def response_complete(self) -> None:
        """Report the outcome to the broker, and the response to the call."""
        response = self._response
        if response is None or self.is_finished:
            return
        info = response.info
        self._record_availability(info)
        if info.is_wrong_backend:
            self._release_permit(AttemptOutcome.GONE)
            self._call.attempt_failed(
                self, AttemptStatus.NOT_RUN, 'other-backend'
            )
        elif info.not_run:
            self._release_permit(AttemptOutcome.SHED, info.reported_load)
            self._call.attempt_failed(self, AttemptStatus.NOT_RUN, 'shed')
        else:
            failed = info.status >= _MIN_SERVER_ERROR_STATUS
            outcome = (
                AttemptOutcome.FAILURE if failed else AttemptOutcome.SUCCESS
            )
            self._release_permit(outcome, info.reported_load)
            response.body = b''.join(self._chunks)
            self._call.response_received(self, response)
        if info.is_leaving:
            self._dependencies.connections.close_idle(
                self.permit.backend.backend_id
            )

    def response_failed(self, end: AttemptEnd) -> None:
        """Report that the attempt ended without a complete response.

        If the call was sent, the backend server may have run it.
        """
        if self.is_finished:
            return
        self._release_permit(AttemptOutcome.FAILURE)
        was_sent = self.sent_s is not None
        attempt_status = (
            AttemptStatus.LOST if was_sent else AttemptStatus.NOT_SENT
        )
        self._call.attempt_failed(self, attempt_status, end.value)

    def pause_request(self) -> None:
        """Pause the request body: the backend server reads it slowly."""
        self._call.pause_request()

    def resume_request(self) -> None:
        """Resume the request body."""
        self._call.resume_request()

    def _is_permit_expired(self) -> bool:
        now_s = self._dependencies.clock.monotonic_s()
        return now_s - self._granted_s > MAX_PERMIT_AGE_S

    def _unsent_cause(self) -> str | None:
        """Return why the call must not be sent now, ``None`` if it may be."""
        if self._is_permit_expired():
            return PERMIT_EXPIRED
        may_send = self._dependencies.may_send(self.permit.backend)
        return None if may_send else SERVER_CLOSED

    def _fail_unsent(self, cause: str) -> None:
        """Return the permit; the call was not sent."""
        self._release_permit(AttemptOutcome.UNUSED)
        self._call.attempt_failed(self, AttemptStatus.NOT_SENT, cause)

    def _return_connection(self, connection: BackendConnection) -> None:
        self._dependencies.connections.release_connection(
            self.permit.backend.backend_id, connection
        )

    def _record_rate_limit(self, info: ResponseInfo) -> None:
        """Record the server's limit, or that it states none any more.

        A response that was not run may lack the limit although it holds.
        """
        if self.sent_s is None or info.is_wrong_backend:
            return
        if info.requests_per_s is None:
            if info.not_run or info.has_rate_limit:
                return
            statement = RateLimitStatement(None, self.sent_s)
        else:
            now_s = self._dependencies.clock.monotonic_s()
            statement = RateLimitStatement(info.requests_per_s, now_s)
        self._dependencies.record_rate_limit(self.permit, statement)

    def _record_availability(self, info: ResponseInfo) -> None:
        """Record what the server states, unless another one responded."""
        if not info.is_wrong_backend:
            self._dependencies.record_availability(self.permit, info)

    def _release_permit(
        self,
        outcome: AttemptOutcome,
        reported_load: ReportedLoad | None = None,
    ) -> None:
        self.is_finished = True
        now_s = self._dependencies.clock.monotonic_s()
        latency_s = 0 if self.sent_s is None else now_s - self.sent_s
        self._dependencies.release_permit(
            self.permit, AttemptReport(outcome, latency_s, reported_load)
        )
        if outcome is AttemptOutcome.GONE:
            backend_id = self.permit.backend.backend_id
            self._dependencies.connections.close_idle(backend_id)
        elif outcome in {AttemptOutcome.SUCCESS, AttemptOutcome.SHED}:
            self._release_connection()

    def _release_connection(self) -> None:
        if self._connection is None:
            return
        if self._call.request_is_sent():
            self._return_connection(self._connection)
        else:
            self._connection.cancel()
