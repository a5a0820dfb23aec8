"""The way of one call: seek a permit, send, judge, repeat or answer."""

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
    UNREPEATABLE_IDLE_REUSE_S,
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
"""Size up to which a request is held until it is whole before it is sent,
and can be sent again: nearly three times the largest usual request."""

MAX_UNSENT_BODY_BYTES = 262144
"""Size at which reading from the caller pauses until a permit is there."""

DEADLINE_MARGIN_S = 0.005
"""Time by which the answer at a deadline goes out before it."""

_MS_PER_S = 1000
_FRAMING = frozenset((CONTENT_LENGTH,))


class CallHost(PermitSource, Interface):
    """The VM as a call sees it."""

    @property
    def tools(self) -> AttemptDependencies:
        """What attempts need."""

    @property
    def reactor(self) -> Any:
        """Source of timers."""

    def onward_head(
        self,
        exchange: Exchange,
        backend_id: str,
        time_left_s: float,
    ) -> bytes:
        """Return the head as it goes to a backend server."""

    def call_answered(self, call: GatewayCall, status: int) -> None:
        """Note a call that got an answer of a backend server."""

    def call_refused(self, call: GatewayCall, refusal: Refusal) -> None:
        """Note a call that got an answer of this VM."""

    def call_cancelled(self, call: GatewayCall) -> None:
        """Note a call whose caller went away."""

    def send_failed(self, cause: str) -> None:
        """Count a send without a whole answer."""


class GatewayCall:
    """A call from its head to its answer."""

    def __init__(
        self,
        host: CallHost,
        exchange: Exchange,
        facts: CallContext,
    ) -> None:
        self.facts = facts
        self.record = AttemptHistory(
            facts.route.is_idempotent,
            facts.route.max_attempts,
        )
        self.trail = Trail(host.tools.clock, facts.arrived_s)
        self._host = host
        self._exchange = exchange
        self._body = RequestBody(
            chunked=exchange.head.content_length is None,
            max_kept_bytes=MAX_REPLAYABLE_BODY_BYTES,
            max_waiting_bytes=MAX_UNSENT_BODY_BYTES,
        )
        self._seeker = PermitAcquirer(host, facts, self.trail, self)
        self._attempts: list[Attempt] = []
        self._fallback: BufferedResponse | None = None
        self._is_streaming = False
        self._is_over = False
        self._timer = RestartableTimer(host.reactor)
        self._hedge_timer = RestartableTimer(host.reactor)

    @property
    def is_head_request(self) -> bool:
        """Whether the answer has no body."""
        return self._exchange.head.method == 'HEAD'

    @property
    def call_id(self) -> str:
        """Id that the caller gave the call."""
        return self.facts.call_id

    def begin(self) -> None:
        """Take the body, and look for a backend server once it is here."""
        left_s = self.facts.deadline_at_s - self._now_s() - DEADLINE_MARGIN_S
        self._timer.start(max(left_s, 0), self._deadline_passed)
        self._exchange.accept_body(self)

    def body_received(self, body: bytes) -> None:
        """Keep or send a part of the body."""
        self._body.add(body)
        if self._body.waiting_bytes > MAX_REPLAYABLE_BODY_BYTES:
            self._seek_once()
        if self._body.waiting_bytes > self._body.max_waiting_bytes:
            self._exchange.pause_body()

    def body_complete(self) -> None:
        """Send the end of the body, or look for a backend server."""
        self._body.complete()
        self._seek_once()

    def body_failed(self, reason: RefusalReason) -> None:
        """Give the call up: its body can't be received.

        Once a part was sent on, a server may have begun to run it.
        """
        if self._may_have_run:
            reason = RefusalReason.CONNECTION_LOST
        self._stop()
        self._refuse(Refusal(reason))

    def caller_gone(self) -> None:
        """Cancel the work that nobody waits for."""
        if not self._is_over:
            self._stop()
            self._close()
            self._host.call_cancelled(self)

    def pause_response(self) -> None:
        """Stop reading the answer: the caller reads slowly."""
        for attempt in self._attempts:
            attempt.pause_response()

    def resume_response(self) -> None:
        """Go on reading the answer."""
        for attempt in self._attempts:
            attempt.resume_response()

    def asked(self, permit_request_id: str) -> None:
        """Keep the id of an ask that has no answer yet."""
        self._seeker.asked(permit_request_id)

    def permitted(self, permit: Permit) -> None:
        """Send the call."""
        self._seeker.answered()
        self.trail.add(
            'permit',
            permit=permit.permit_id,
            backend=permit.backend.backend_id,
            domain=permit.backend.failure_domain,
            slowness=permit.slowness_percent,
            report_ms=round(permit.report_age_s * _MS_PER_S),
        )
        attempt = Attempt(self, permit, self._host.tools)
        self._attempts.append(attempt)
        is_repeatable = self.facts.route.is_idempotent
        idle_s = IDLE_REUSE_S if is_repeatable else UNREPEATABLE_IDLE_REUSE_S
        attempt.start(idle_s)
        if len(self._attempts) == 1:
            late_s = hedge_after_s(permit.expected_s)
            self._hedge_timer.start(late_s, self._hedge)

    def denied(self, end: DenialReason, retry_after_s: float) -> None:
        """Try another failure domain, or refuse."""
        self._seeker.answered()
        self.trail.add('denied', end=end.value, retry_after_s=retry_after_s)
        if self._attempts:
            return
        is_final = end in {DenialReason.RETRY_BUDGET, DenialReason.DEADLINE}
        is_retry = self.record.is_retry
        if is_final or not self._seeker.ask_next(is_retry=is_retry):
            self._fail(retry_after_s)

    def write_request(
        self,
        connection: BackendConnection,
        backend_id: str,
    ) -> bool:
        """Write the head, then the body as far as it is there."""
        left_s = self.facts.deadline_at_s - self._now_s()
        head = self._host.onward_head(self._exchange, backend_id, left_s)
        connection.write(head + self._body.attach(connection))
        self.trail.add('sent', backend=backend_id, left_s=round(left_s, 3))
        self._exchange.resume_body()
        return True

    def request_is_sent(self) -> bool:
        """Return whether the whole request has been written."""
        return self._body.is_complete

    def attempt_answered(
        self, attempt: Attempt, answer: BufferedResponse
    ) -> None:
        """Deliver the answer, or send the call again."""
        self._ended(attempt, AttemptStatus.ANSWERED)
        if self._is_streaming:
            self._close()
            self._host.call_answered(self, answer.facts.status)
            self._exchange.send_end()
            return
        step = next_step(
            self.record, AttemptStatus.ANSWERED, answer.facts.status
        )
        if step is NextStep.RETRY_OR_DELIVER and self._body.is_replayable:
            self._fallback = answer
            self._repeat(attempt, 'server-error')
        else:
            self._stop()
            self._deliver(answer)

    def attempt_streams(
        self, attempt: Attempt, answer: BufferedResponse
    ) -> bool:
        """Begin to pass on an answer too long to hold."""
        self._attempts.remove(attempt)
        self._stop()
        self._attempts.append(attempt)
        self._is_streaming = True
        headers = end_to_end(answer.headers, _FRAMING)
        status = answer.facts.status
        self._exchange.send_head(status, headers, answer.content_length)
        self._exchange.send_body(answer.body)
        return True

    def attempt_part(self, attempt: Attempt, body: bytes) -> None:
        """Pass on a part of a long answer."""
        self._exchange.send_body(body)

    def attempt_failed(
        self,
        attempt: Attempt,
        end: AttemptStatus,
        cause: str,
    ) -> None:
        """Send the call again or fail truthfully."""
        self._ended(attempt, end, cause)
        if self._is_streaming:
            self._close()
            reason = RefusalReason.TRUNCATED_ANSWER
            self._host.call_refused(self, Refusal(reason))
            self._exchange.abort()
            return
        step = next_step(self.record, end)
        if step is NextStep.RETRY and self._body.is_replayable:
            self._repeat(attempt, cause)
        elif not self._attempts:
            self._host.send_failed(cause)
            self._fail(0)

    def pause_request(self) -> None:
        """Stop reading the body: the server reads slowly."""
        self._exchange.pause_body()

    def resume_request(self) -> None:
        """Go on reading the body."""
        self._exchange.resume_body()

    @property
    def _may_have_run(self) -> bool:
        """Whether a server may have begun to run the call."""
        if self.record.may_have_run:
            return True
        return any(one.sent_s is not None for one in self._attempts)

    def _now_s(self) -> float:
        return self._host.tools.clock.monotonic_s()

    def _seek_once(self) -> None:
        idle = not (self._seeker.is_asking or self._attempts)
        if idle and not self._is_over and not self.record.attempts:
            self._seek()

    def _seek(self) -> None:
        if not self._seeker.seek(is_retry=self.record.is_retry):
            self._fail(0)

    def _repeat(self, attempt: Attempt, cause: str) -> None:
        self._host.send_failed(cause)
        self._seeker.tried.add(attempt.permit.backend.backend_id)
        if not self._attempts:
            self._seek()

    def _hedge(self) -> None:
        """Ask for a second server: the first has turned slow or silent."""
        running = len(self._attempts)
        is_busy = self._is_streaming or self._seeker.is_asking
        if is_busy or not (running and self.record.may_hedge(running)):
            return
        if self._body.is_complete and self._body.is_replayable:
            permits = [attempt.permit for attempt in self._attempts]
            domain = permits[0].backend.failure_domain
            busy = frozenset(one.backend.backend_id for one in permits)
            self._seeker.ask_second(domain, busy)

    def _ended(
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

    def _deliver(self, answer: BufferedResponse) -> None:
        self._close()
        self._host.call_answered(self, answer.facts.status)
        status = answer.facts.status
        if answer.has_body:
            headers = end_to_end(answer.headers, _FRAMING)
            self._exchange.send_full_response(status, headers, answer.body)
        else:
            headers = end_to_end(answer.headers, frozenset())
            self._exchange.send_bodiless_response(status, headers)

    def _fail(self, retry_after_s: float) -> None:
        """Answer truthfully that there is no answer of a server."""
        if self._fallback:
            self._deliver(self._fallback)
        elif failure_step(self.record) is NextStep.FAIL_UNKNOWN:
            self._refuse(Refusal(RefusalReason.CONNECTION_LOST))
        else:
            reason = RefusalReason.NO_FREE_SLOT
            self._refuse(Refusal(reason, retry_after_s))

    def _deadline_passed(self) -> None:
        may_have_run = self._may_have_run
        for attempt in self._attempts:
            attempt.give_up()
        self._stop()
        if self._is_streaming:
            self._close()
            self._exchange.abort()
        elif self._fallback:
            self._deliver(self._fallback)
        elif may_have_run:
            self._refuse(Refusal(RefusalReason.DEADLINE_EXCEEDED))
        else:
            self._refuse(Refusal(RefusalReason.NO_FREE_SLOT, 0))

    def _stop(self) -> None:
        """Take back what is under way."""
        self._seeker.take_back()
        for attempt in self._attempts:
            attempt.cancel()
        self._attempts.clear()

    def _refuse(self, refusal: Refusal) -> None:
        if self._is_over:
            return
        self._close()
        self._host.call_refused(self, refusal)
        refuse(self._exchange, refusal)

    def _close(self) -> None:
        self._is_over = True
        self._timer.stop()
        self._hedge_timer.stop()
