"""Handling of one call: permits, attempts, retries, hedging and response."""

from __future__ import annotations

from typing import Any
from typing import Protocol as Interface

from turmericpost.forward.request_body import RequestBody
from turmericpost.gateway.attempt import (
    Attempt,
    AttemptDependencies,
    BufferedResponse,
)
from turmericpost.gateway.connections import (
    IDLE_REUSE_S,
    NON_IDEMPOTENT_IDLE_REUSE_S,
)
from turmericpost.gateway.permit_acquirer import (
    CallContext,
    PermitAcquirer,
    PermitSource,
)
from turmericpost.gateway.permit_client import Permit
from turmericpost.gateway.refusals import Refusal, refuse
from turmericpost.gateway.restartable_timer import RestartableTimer
from turmericpost.gateway.trail import Trail
from turmericpost.http1.client import BackendConnection
from turmericpost.http1.exchange import Exchange
from turmericpost.http1.heads import (
    CONTENT_LENGTH,
    end_to_end,
)
from turmericpost_core.grants.permits import DenialReason
from turmericpost_core.outcome.hedging import hedge_after_s
from turmericpost_core.outcome.next_step import (
    AttemptHistory,
    AttemptStatus,
    NextStep,
    failure_step,
    next_step,
    record_attempt,
)
from turmericpost_core.outcome.reasons import RefusalReason

MAX_REPLAYABLE_BODY_BYTES = 65536
"""Maximum size of a request body that can be sent again for a retry.

Such a body is received completely before it is sent. The limit is nearly three
times the largest usual request.
"""

MAX_UNSENT_BODY_BYTES = 262144
"""Size of the unsent request body above which reading from the caller pauses
until a permit is granted."""

DEADLINE_MARGIN_S = 0.005
"""Time before the deadline of a call at which it is ended, so that the response
still reaches the caller in time."""

_MS_PER_S = 1000
_FRAMING = frozenset((CONTENT_LENGTH,))


class CallHost(PermitSource, Interface):
    """What a call needs of the VM: permits, timers and recording of its end."""

    @property
    def dependencies(self) -> AttemptDependencies:
        """Collaborators of the call's attempts."""

    @property
    def reactor(self) -> Any:
        """Reactor that the call starts its timers on."""

    def forwarded_head(
        self,
        exchange: Exchange,
        backend_id: str,
        time_left_s: float,
    ) -> bytes:
        """Return the request head to send to a backend server."""

    def call_completed(self, call: GatewayCall, status: int) -> None:
        """Record a call that was answered by a backend server."""

    def call_refused(self, call: GatewayCall, refusal: Refusal) -> None:
        """Record a call that this VM refused or failed."""

    def call_cancelled(self, call: GatewayCall) -> None:
        """Record a call whose caller closed its connection."""

    def record_failed_attempt(self, cause: str) -> None:
        """Count an attempt that failed or got a retried server error."""


class GatewayCall:
    """A call, from its request head to its response."""

    def __init__(
        self,
        host: CallHost,
        exchange: Exchange,
        context: CallContext,
    ) -> None:
        self.context = context
        self.record = AttemptHistory(
            context.route.is_idempotent,
            context.route.max_attempts,
        )
        self.trail = Trail(host.dependencies.clock, context.arrived_s)
        self._host = host
        self._exchange = exchange
        self._body = RequestBody(
            chunked=exchange.head.content_length is None,
            max_replay_bytes=MAX_REPLAYABLE_BODY_BYTES,
            max_unsent_bytes=MAX_UNSENT_BODY_BYTES,
        )
        self._permit_acquirer = PermitAcquirer(host, context, self.trail, self)
        self._attempts: list[Attempt] = []
        self._fallback_response: BufferedResponse | None = None
        self._retry_after_s = float(0)
        self._is_streaming = False
        self._is_finished = False
        self._timer = RestartableTimer(host.reactor)
        self._hedge_timer = RestartableTimer(host.reactor)

    @property
    def is_head_request(self) -> bool:
        """Whether the method is HEAD, so that the response has no body."""
        return self._exchange.head.method == 'HEAD'

    @property
    def call_id(self) -> str:
        """Request id sent by the caller, empty if it sent none."""
        return self.context.call_id

    def begin(self) -> None:
        """Start the deadline timer and receive the body.

        The first permit is requested when the body is complete, or when its
        size exceeds ``MAX_REPLAYABLE_BODY_BYTES``.
        """
        now_s = self._host.dependencies.clock.monotonic_s()
        left_s = self.context.deadline_at_s - now_s - DEADLINE_MARGIN_S
        self._timer.start(max(left_s, 0), self._deadline_passed)
        self._exchange.accept_body(self)

    def body_received(self, body: bytes) -> None:
        """Buffer a part of the body, or send it on."""
        self._body.add(body)
        if self._body.unsent_bytes > MAX_REPLAYABLE_BODY_BYTES:
            self._request_permit_once()
        if self._body.unsent_bytes > self._body.max_unsent_bytes:
            self._exchange.pause_body()

    def body_complete(self) -> None:
        """Mark the body as complete.

        Requests a permit if none was requested yet.
        """
        self._body.complete()
        self._request_permit_once()

    def body_failed(self, reason: RefusalReason) -> None:
        """Refuse the call because its body can't be received.

        If a part was sent already, a backend server may have run the call, and
        the reason is changed to ``CONNECTION_LOST``.
        """
        if _may_have_run(self.record, self._attempts):
            reason = RefusalReason.CONNECTION_LOST
        self._cancel_attempts()
        self._refuse(Refusal(reason))

    def caller_gone(self) -> None:
        """Cancel the call: its caller closed the connection."""
        if not self._is_finished:
            self._cancel_attempts()
            self._finish()
            self._host.call_cancelled(self)

    def end_waiting(self) -> None:
        """Fail the call unless an attempt is in flight."""
        if not self._attempts:
            self._permit_acquirer.cancel_pending()
            self._fail(0)

    def pause_response(self) -> None:
        """Stop reading the response: the caller reads slowly."""
        for attempt in self._attempts:
            attempt.pause_response()

    def resume_response(self) -> None:
        """Continue reading the response."""
        for attempt in self._attempts:
            attempt.resume_response()

    def permit_requested(self, permit_request_id: str) -> None:
        """Store the id of the pending permit request."""
        self._permit_acquirer.permit_requested(permit_request_id)

    def permit_granted(self, permit: Permit) -> None:
        """Start an attempt with the permit.

        The first attempt also starts the timer of the hedged attempt.
        """
        self._permit_acquirer.reply_received()
        self.trail.add(
            'permit',
            permit=permit.permit_id,
            backend=permit.backend.backend_id,
            domain=permit.backend.failure_domain,
            slowness=permit.slowness_percent,
            report_ms=round(permit.report_age_s * _MS_PER_S),
        )
        attempt = Attempt(self, permit, self._host.dependencies)
        self._attempts.append(attempt)
        is_retryable = self.context.route.is_idempotent
        idle_s = IDLE_REUSE_S if is_retryable else NON_IDEMPOTENT_IDLE_REUSE_S
        attempt.start(idle_s)
        if len(self._attempts) == 1:
            hedge_delay_s = hedge_after_s(permit.expected_s)
            self._hedge_timer.start(hedge_delay_s, self._hedge)

    def permit_denied(self, end: DenialReason, retry_after_s: float) -> None:
        """Request a permit in the next failure domain, or fail the call.

        The call fails if no domain is left, the retry budget is spent or the
        deadline has passed. While another attempt is in flight, the denial is
        ignored.
        """
        self._permit_acquirer.reply_received()
        self.trail.add('denied', end=end.value, retry_after_s=retry_after_s)
        if retry_after_s:
            earliest_s = self._retry_after_s or retry_after_s
            self._retry_after_s = min(earliest_s, retry_after_s)
        if self._attempts:
            return
        is_final = end in {DenialReason.RETRY_BUDGET, DenialReason.DEADLINE}
        is_retry = self.record.is_retry
        if is_final or not self._permit_acquirer.request_next(
            is_retry=is_retry
        ):
            self._fail(self._retry_after_s)

    def write_request(
        self,
        connection: BackendConnection,
        backend_id: str,
    ) -> bool:
        """Write the request head and the body received so far.

        Always returns true.
        """
        now_s = self._host.dependencies.clock.monotonic_s()
        left_s = self.context.deadline_at_s - now_s
        head = self._host.forwarded_head(self._exchange, backend_id, left_s)
        connection.write(head + self._body.attach(connection))
        self.trail.add(
            'sent',
            backend=backend_id,
            permit=_permit_at(backend_id, self._attempts),
            left_s=round(left_s, 3),
        )
        self._exchange.resume_body()
        return True

    def request_is_sent(self) -> bool:
        """Return whether the request has been written to its end."""
        return self._body.is_complete

    def response_received(
        self, attempt: Attempt, response: BufferedResponse
    ) -> None:
        """Deliver the response, or retry the call after a server error."""
        self._record_attempt_end(attempt, AttemptStatus.ANSWERED)
        if self._is_streaming:
            self._finish()
            self._host.call_completed(self, response.info.status)
            self._exchange.send_end()
            return
        step = next_step(
            self.record, AttemptStatus.ANSWERED, response.info.status
        )
        if step is NextStep.RETRY_OR_DELIVER and self._body.is_replayable:
            self._fallback_response = response
            self._retry(attempt, 'server-error')
        else:
            self._cancel_attempts()
            self._deliver(response)

    def start_streaming(
        self, attempt: Attempt, response: BufferedResponse
    ) -> bool:
        """Send the first part of a response too large to buffer.

        All other attempts are cancelled.
        """
        self._attempts.remove(attempt)
        self._cancel_attempts()
        self._attempts.append(attempt)
        self._is_streaming = True
        headers = end_to_end(response.headers, _FRAMING)
        status = response.info.status
        self._exchange.send_head(status, headers, response.content_length)
        self._exchange.send_body(response.body)
        return True

    def streamed_body_received(self, attempt: Attempt, body: bytes) -> None:
        """Send a later part of a streamed response."""
        self._exchange.send_body(body)

    def attempt_failed(
        self,
        attempt: Attempt,
        attempt_status: AttemptStatus,
        cause: str,
    ) -> None:
        """Retry the call, or fail it if it can't be retried.

        A response that is already being streamed is aborted.
        """
        self._record_attempt_end(attempt, attempt_status, cause)
        if self._is_streaming:
            self._abort_response(RefusalReason.TRUNCATED_ANSWER)
            return
        step = next_step(self.record, attempt_status)
        if step is NextStep.RETRY and self._body.is_replayable:
            self._retry(attempt, cause)
        elif not self._attempts:
            self._host.record_failed_attempt(cause)
            self._fail(0)

    def pause_request(self) -> None:
        """Stop reading the body: the backend server reads slowly."""
        self._exchange.pause_body()

    def resume_request(self) -> None:
        """Continue reading the body."""
        self._exchange.resume_body()

    def _request_permit_once(self) -> None:
        is_idle = not (self._permit_acquirer.is_pending or self._attempts)
        if is_idle and not self._is_finished and not self.record.attempts:
            self._request_permit()

    def _request_permit(self) -> None:
        if not self._permit_acquirer.request_first(
            is_retry=self.record.is_retry
        ):
            self._fail(0)

    def _retry(self, attempt: Attempt, cause: str) -> None:
        self._host.record_failed_attempt(cause)
        self._permit_acquirer.tried_backends.add(
            attempt.permit.backend.backend_id
        )
        if not self._attempts:
            self._request_permit()

    def _hedge(self) -> None:
        """Request a permit for a hedged attempt.

        Called when the first attempt takes longer than expected.
        """
        running = len(self._attempts)
        is_busy = self._is_streaming or self._permit_acquirer.is_pending
        if is_busy or not (running and self.record.may_hedge(running)):
            return
        if self._body.is_complete and self._body.is_replayable:
            permits = [attempt.permit for attempt in self._attempts]
            domain = permits[0].backend.failure_domain
            busy_backends = frozenset(
                active_permit.backend.backend_id for active_permit in permits
            )
            self._permit_acquirer.request_hedge(domain, busy_backends)

    def _record_attempt_end(
        self, attempt: Attempt, end: AttemptStatus, cause: str = ''
    ) -> None:
        self.trail.add(
            'ended',
            backend=attempt.permit.backend.backend_id,
            end=end.value,
            cause=cause,
        )
        if attempt in self._attempts:
            self._attempts.remove(attempt)
        self._body.detach()
        self.record = record_attempt(self.record, end)

    def _deliver(self, response: BufferedResponse) -> None:
        self._finish()
        self._host.call_completed(self, response.info.status)
        status = response.info.status
        if response.has_body:
            headers = end_to_end(response.headers, _FRAMING)
            self._exchange.send_full_response(status, headers, response.body)
        else:
            headers = end_to_end(response.headers, frozenset())
            self._exchange.send_bodiless_response(status, headers)

    def _fail(self, retry_after_s: float) -> None:
        """End a call that can't be retried.

        Sends the last server error if there is one. Otherwise, the response
        states that the call was not run, or that it may have been run.
        """
        if self._fallback_response:
            self._deliver(self._fallback_response)
        elif failure_step(self.record) is NextStep.FAIL_UNKNOWN:
            self._refuse(Refusal(RefusalReason.CONNECTION_LOST))
        else:
            reason = RefusalReason.NO_FREE_SLOT
            self._refuse(Refusal(reason, retry_after_s))

    def _deadline_passed(self) -> None:
        may_have_run = _may_have_run(self.record, self._attempts)
        for attempt in self._attempts:
            attempt.time_out()
        self._cancel_attempts()
        if self._is_streaming:
            self._abort_response(RefusalReason.DEADLINE_EXCEEDED)
        elif self._fallback_response:
            self._deliver(self._fallback_response)
        elif may_have_run:
            self._refuse(Refusal(RefusalReason.DEADLINE_EXCEEDED))
        else:
            self._refuse(Refusal(RefusalReason.NO_FREE_SLOT, 0))

    def _cancel_attempts(self) -> None:
        """Cancel the pending permit request and all attempts."""
        self._permit_acquirer.cancel_pending()
        for attempt in self._attempts:
            attempt.cancel()
        self._attempts.clear()

    def _abort_response(self, reason: RefusalReason) -> None:
        """End a call whose streamed response can't be completed."""
        self._finish()
        self._host.call_refused(self, Refusal(reason))
        self._exchange.abort()

    def _refuse(self, refusal: Refusal) -> None:
        if self._is_finished:
            return
        self._finish()
        self._host.call_refused(self, refusal)
        refuse(self._exchange, refusal)

    def _finish(self) -> None:
        self._is_finished = True
        self._timer.stop()
        self._hedge_timer.stop()


def _may_have_run(record: AttemptHistory, attempts: list[Attempt]) -> bool:
    """Return whether a backend server may have begun to run the call."""
    if record.may_have_run:
        return True
    return any(attempt.sent_s is not None for attempt in attempts)


def _permit_at(backend_id: str, attempts: list[Attempt]) -> str:
    """Return the id of the permit in use at a server, empty if none.

    The attempts of a call are at different servers.
    """
    for attempt in attempts:
        if attempt.permit.backend.backend_id == backend_id:
            return attempt.permit.permit_id
    return ''
