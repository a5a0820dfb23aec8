"""One send of a call to the backend server of a permit."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol as Interface

from turmericpost.gateway.call_codec import CallCodec, ResponseInfo
from turmericpost.gateway.connections import ServerConnections
from turmericpost.gateway.permit_client import Permit
from turmericpost.http1.client import BackendConnection
from turmericpost.http1.heads import Headers, ResponseHead
from turmericpost_core.clock import Clock
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    ReportedLoad,
)
from turmericpost_core.outcome.ledger import AttemptEnd
from turmericpost_core.outcome.next_step import AttemptStatus

MAX_BUFFERED_RESPONSE_BYTES = 262144
"""Size up to which an answer is held until it is whole.

Ten times the largest usual answer; a broken one can then be asked for again.
"""

_FIRST_SERVER_ERROR = 500


@dataclass(slots=True)
class BufferedResponse:
    """An answer, whole or its first part."""

    facts: ResponseInfo
    headers: Headers
    has_body: bool
    content_length: int | None
    body: bytes = b''


@dataclass(frozen=True)
class AttemptDependencies:
    """What attempts need of their VM."""

    connections: ServerConnections
    call_codec: CallCodec
    clock: Clock
    finish: Callable[[Permit, AttemptReport], None]


class AttemptOwner(Interface):
    """The call as its attempts see it."""

    @property
    def call_id(self) -> str:
        """Id that the caller gave the call."""

    @property
    def is_head_request(self) -> bool:
        """Whether the answer has no body."""

    def write_request(
        self,
        connection: BackendConnection,
        backend_id: str,
    ) -> bool:
        """Write the request; return false if the time is over."""

    def request_is_sent(self) -> bool:
        """Return whether the whole request has been written."""

    def attempt_answered(
        self, attempt: Attempt, answer: BufferedResponse
    ) -> None:
        """Take a whole answer."""

    def attempt_streams(
        self, attempt: Attempt, answer: BufferedResponse
    ) -> bool:
        """Take the first part of a long answer; false to give it up."""

    def attempt_part(self, attempt: Attempt, body: bytes) -> None:
        """Take a further part of a long answer."""

    def attempt_failed(
        self,
        attempt: Attempt,
        end: AttemptStatus,
        cause: str,
    ) -> None:
        """Learn that no whole answer comes."""

    def pause_request(self) -> None:
        """Stop sending the body."""

    def resume_request(self) -> None:
        """Send the body on."""


class Attempt:
    """A send, from its permit to its end."""

    def __init__(
        self,
        call: AttemptOwner,
        permit: Permit,
        tools: AttemptDependencies,
    ) -> None:
        self.permit = permit
        self.sent_s: float | None = None
        self.is_over = False
        self._call = call
        self._tools = tools
        self._connection: BackendConnection | None = None
        self._answer: BufferedResponse | None = None
        self._parts: list[bytes] = []
        self._held_bytes = 0
        self._streams = False
        self._forget: Callable[[], None] | None = None

    def start(self, max_idle_s: float) -> None:
        """Connect and send."""
        forget = self._tools.connections.connect(
            self.permit.backend,
            self,
            max_idle_s,
        )
        self._forget = forget

    def cancel(self) -> None:
        """Close at once; the server takes it as a cancellation."""
        if self.is_over:
            return
        self._give_back(AttemptOutcome.UNUSED)
        if self._connection is not None:
            self._connection.cancel()
        elif self._forget is not None:
            self._forget()

    def give_up(self) -> None:
        """Close at the deadline; the silence counts against the server."""
        if self.is_over:
            return
        was_sent = self.sent_s is not None
        outcome = AttemptOutcome.FAILURE if was_sent else AttemptOutcome.UNUSED
        self._give_back(outcome)
        if self._connection is not None:
            self._connection.cancel()
        elif self._forget is not None:
            self._forget()

    def pause_response(self) -> None:
        """Stop reading the answer."""
        if self._connection is not None:
            self._connection.pause_response()

    def resume_response(self) -> None:
        """Go on reading the answer."""
        if self._connection is not None:
            self._connection.resume_response()

    def connected(self, connection: BackendConnection) -> None:
        """Send the call."""
        if self.is_over:
            connection.close()
            return
        self._connection = connection
        connection.begin(self, to_head_request=self._call.is_head_request)
        backend_id = self.permit.backend.backend_id
        if self._call.write_request(connection, backend_id):
            self.sent_s = self._tools.clock.monotonic_s()

    def connect_failed(self, detail: str) -> None:
        """Fail without having sent anything."""
        if not self.is_over:
            self._give_back(AttemptOutcome.FAILURE)
            self._call.attempt_failed(self, AttemptStatus.NOT_SENT, detail)

    def is_stale_response(self, head: ResponseHead) -> bool:
        """Return whether the answer is to an earlier call."""
        return self._tools.call_codec.is_stale_response(
            head, self._call.call_id
        )

    def response_head_received(self, head: ResponseHead) -> None:
        """Take the head."""
        self._answer = BufferedResponse(
            self._tools.call_codec.read_answer(head),
            head.headers,
            head.has_body,
            head.content_length,
        )

    def response_body_received(self, body: bytes) -> None:
        """Hold a part, or pass it on if the answer is long."""
        if self._streams:
            self._call.attempt_part(self, body)
            return
        self._parts.append(body)
        self._held_bytes += len(body)
        if (
            self._held_bytes > MAX_BUFFERED_RESPONSE_BYTES
            and self._answer is not None
        ):
            self._answer.body = b''.join(self._parts)
            self._streams = self._call.attempt_streams(self, self._answer)

    def response_complete(self) -> None:
        """Hand over the whole answer."""
        answer = self._answer
        if answer is None or self.is_over:
            return
        facts = answer.facts
        if facts.is_other_backend:
            self._give_back(AttemptOutcome.GONE)
            self._call.attempt_failed(
                self, AttemptStatus.NOT_RUN, 'other-backend'
            )
        elif facts.not_run:
            self._give_back(AttemptOutcome.SHED, facts.reported_load)
            self._call.attempt_failed(self, AttemptStatus.NOT_RUN, 'shed')
        else:
            failed = facts.status >= _FIRST_SERVER_ERROR
            outcome = (
                AttemptOutcome.FAILURE if failed else AttemptOutcome.SUCCESS
            )
            self._give_back(outcome, facts.reported_load)
            answer.body = b''.join(self._parts)
            self._call.attempt_answered(self, answer)

    def response_failed(self, end: AttemptEnd) -> None:
        """Fail: the server may have run the call."""
        if self.is_over:
            return
        self._give_back(AttemptOutcome.FAILURE)
        was_sent = self.sent_s is not None
        send_end = AttemptStatus.LOST if was_sent else AttemptStatus.NOT_SENT
        self._call.attempt_failed(self, send_end, end.value)

    def pause_request(self) -> None:
        """Stop sending the body."""
        self._call.pause_request()

    def resume_request(self) -> None:
        """Send the body on."""
        self._call.resume_request()

    def _give_back(
        self,
        outcome: AttemptOutcome,
        reported_load: ReportedLoad | None = None,
    ) -> None:
        self.is_over = True
        now_s = self._tools.clock.monotonic_s()
        latency_s = 0 if self.sent_s is None else now_s - self.sent_s
        self._tools.finish(
            self.permit, AttemptReport(outcome, latency_s, reported_load)
        )
        if outcome is AttemptOutcome.GONE:
            backend_id = self.permit.backend.backend_id
            self._tools.connections.drop(backend_id)
        elif outcome in {AttemptOutcome.SUCCESS, AttemptOutcome.SHED}:
            self._keep_connection()

    def _keep_connection(self) -> None:
        if self._connection is None:
            return
        if self._call.request_is_sent():
            backend_id = self.permit.backend.backend_id
            self._tools.connections.give_back(backend_id, self._connection)
        else:
            self._connection.cancel()
