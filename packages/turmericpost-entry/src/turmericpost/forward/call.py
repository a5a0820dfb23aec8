"""A forwarded call: its attempts, retries and final response or refusal."""

from __future__ import annotations

from twisted.internet.interfaces import IDelayedCall

from turmericpost.forward.attempt import BackendAttempt
from turmericpost.forward.call_parts import (
    CallController,
    CallInputs,
    deadline_ms,
    new_call_ledger,
)
from turmericpost.forward.refusals import send_refusal
from turmericpost.forward.relays import RelayKind
from turmericpost.forward.request_head import NextHopFields, forwarded_head
from turmericpost.http1.client import BackendConnection
from turmericpost.http1.heads import ResponseHead
from turmericpost_core.config.document import BackendServer
from turmericpost_core.membership.vm_records import VmRecord
from turmericpost_core.outcome.ledger import (
    Attempt,
    AttemptEnd,
    CallLedger,
    CallResult,
    record_attempt,
    refused_outcome,
    retry_reason,
)
from turmericpost_core.outcome.reasons import (
    Outcome,
    RefusalReason,
)
from turmericpost_core.routing.table import Route

_MS_PER_S = 1000
_DECLINED_ENDS = frozenset((AttemptEnd.SHED, AttemptEnd.CONNECT_FAILED))
_RETRYABLE_STATUSES = frozenset((502, 503, 504))


class ForwardedCall:
    """One call, from the request head to the end of its response."""

    def __init__(
        self,
        controller: CallController,
        inputs: CallInputs,
        route: Route,
    ) -> None:
        self.request = inputs.request
        self.route = route
        self.tried_addresses: set[str] = set()
        self.begun_s = controller.now_s()
        self.deadline_s = self.begun_s + deadline_ms(inputs, route) / _MS_PER_S
        self.body = inputs.body
        self.is_waiting = False
        self._controller = controller
        self._exchange = inputs.exchange
        self._response = inputs.response
        self.offered: set[str] = set()
        self.offered_vm_name = ''
        self.waiting_since_s = self.begun_s
        self.next_offer_s = self.begun_s
        self.is_offered_by_peer = (
            inputs.incoming_relay_kind is RelayKind.OFFERED
        )
        self.is_relayed_by_peer = inputs.incoming_relay_kind is RelayKind.PASSED
        self._ledger = new_call_ledger(inputs, route)
        self._observer = inputs.observer
        self._attempt: BackendAttempt | None = None
        self._deadline_timer: IDelayedCall | None = None
        self._is_over = False

    @property
    def account(self) -> str:
        """Client account of the call."""
        return self.request.facts.account

    @property
    def can_be_offered(self) -> bool:
        """Whether the whole request is in memory, so that it can be relayed."""
        return self.body.is_complete and self.body.is_replayable

    @property
    def attempts(self) -> int:
        """Number of attempts that have ended."""
        return self._ledger.attempts

    def attach_deadline_timer(self, timer: IDelayedCall) -> None:
        """Store the timer that ends the call at its deadline."""
        self._deadline_timer = timer

    def begin(self) -> None:
        """Start receiving the body and dispatch the call."""
        self._exchange.accept_body(self)
        if not self._is_over:
            self._controller.dispatch(self)

    def begin_at_key_owner(self, owner: VmRecord) -> None:
        """Start receiving the body and relay the call to its key owner.

        The owner may have run the operation before, so a failure is never
        reported as ``NOT_RUN``.
        """
        self._ledger = CallLedger(retryable=False, may_have_run=True)
        self._exchange.accept_body(self)
        if not self._is_over:
            self._controller.relay_to_key_owner(self, owner)

    def start_attempt(
        self,
        backend: BackendServer,
        attempt: BackendAttempt,
    ) -> None:
        """Start an attempt to a backend server or another entry VM."""
        self._attempt = attempt
        attempt.start()

    def deadline_passed(self) -> None:
        """Cancel the call because its deadline has passed."""
        self._cancel(AttemptEnd.DEADLINE, RefusalReason.DEADLINE_EXCEEDED)

    def refuse(self, reason: RefusalReason) -> None:
        """Send a refusal to the caller and end the call."""
        self._end_without_response(
            CallResult(refused_outcome(self._ledger), reason)
        )

    def body_received(self, body: bytes) -> None:
        """Send or buffer a part of the request body."""
        if self._observer is not None:
            self._observer.request_body_part(body)
        self.body.add(body)
        if self.body.unsent_bytes > self.body.max_unsent_bytes:
            self._exchange.pause_body()

    def body_complete(self) -> None:
        """Mark the request body as complete and send its end."""
        if self._observer is not None:
            self._observer.request_body_complete()
        self.body.complete()

    def body_failed(self, reason: RefusalReason) -> None:
        """Cancel the call because its body can't be received."""
        self._cancel(AttemptEnd.CALLER_GONE, reason)

    def caller_gone(self) -> None:
        """Cancel the call because its caller has disconnected.

        A keyed call whose body is complete goes on, because a duplicate
        may ask for its response later.
        """
        if self._observer is not None and self.body.is_complete:
            self.resume_response()
            return
        self._cancel(AttemptEnd.CALLER_GONE, RefusalReason.CALLER_GONE)

    def pause_response(self) -> None:
        """Pause reading the response because the caller reads too slowly."""
        if self._attempt is not None:
            self._attempt.pause_response()

    def resume_response(self) -> None:
        """Resume reading the response."""
        if self._attempt is not None:
            self._attempt.resume_response()

    def write_request(self, connection: BackendConnection) -> None:
        """Write the request head and the part of the body received so far."""
        remaining_s = self.deadline_s - self._controller.now_s()
        attempt = self._attempt
        next_hop = NextHopFields(
            deadline_ms=max(int(remaining_s * _MS_PER_S), 1),
            call_depth=self.request.call_depth + (self._relay_kind is None),
            relay_kind=self._relay_kind,
            attempt_id=None if attempt is None else attempt.attempt_id,
        )
        head = forwarded_head(self._exchange.head, next_hop)
        connection.write(head + self.body.attach(connection))
        self._exchange.resume_body()

    def request_is_sent(self) -> bool:
        """Return whether the whole request has been written."""
        return self.body.is_complete

    def is_head_request(self) -> bool:
        """Return whether the method is HEAD."""
        return self._exchange.head.method == 'HEAD'

    def attempt_response_head(self, head: ResponseHead) -> bool:
        """Store the response head.

        Returns false if a retry is possible instead.
        """
        if head.status in _RETRYABLE_STATUSES and self._may_retry():
            return False
        self._response.begin(head, is_relayed=self._relay_kind is not None)
        return True

    def attempt_response_body(self, body: bytes) -> None:
        """Send or buffer a part of the response body."""
        self._response.add(body)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Finish, retry or refuse the call according to the attempt's end."""
        kind = self._relay_kind
        self._attempt = None
        self.body.detach()
        if not self._is_over and self._is_relay_declined(attempt, kind):
            self._controller.relay_declined(self, kind)
            return
        if kind is RelayKind.OFFERED:
            self._controller.offer_accepted(self)
        self._ledger = record_attempt(self._ledger, attempt)
        if not self._is_over:
            self._handle_attempt_end(attempt)
        self._controller.slot_freed(self.route.service.name)

    def pause_request(self) -> None:
        """Pause reading the body, as the backend server reads too slowly."""
        self._exchange.pause_body()

    def resume_request(self) -> None:
        """Resume reading the body from the caller."""
        self._exchange.resume_body()

    @property
    def _relay_kind(self) -> RelayKind | None:
        return None if self._attempt is None else self._attempt.relay_kind

    def _is_relay_declined(
        self,
        attempt: Attempt,
        kind: RelayKind | None,
    ) -> bool:
        """Return whether another VM declined a call relayed to it."""
        if kind is None or kind is RelayKind.KEY:
            return False
        if not self.body.is_replayable:
            return False
        return attempt.end in _DECLINED_ENDS

    def _handle_attempt_end(self, attempt: Attempt) -> None:
        if attempt.end is AttemptEnd.COMPLETE_RESPONSE:
            self._mark_over()
            if self._observer is not None:
                self._observer.completed(self._response.stored_response())
            self._response.end()
            self._controller.record_completed(self)
        elif self._response.is_streaming:
            reason = retry_reason(self._ledger, attempt)
            self._abort_response(attempt, reason.err())
        else:
            self._response.discard()
            self._retry_or_refuse(attempt)

    def _abort_response(
        self, attempt: Attempt, final_result: CallResult | None
    ) -> None:
        self._mark_over()
        self._exchange.abort()
        reason = RefusalReason.TRUNCATED_ANSWER
        if final_result is not None and final_result.reason is not None:
            reason = final_result.reason
        self._record_refused(Outcome.UNKNOWN, reason)

    def _retry_or_refuse(self, attempt: Attempt) -> None:
        retry_decision = retry_reason(self._ledger, attempt)
        if retry_decision.is_err():
            self._end_without_response(retry_decision.unwrap_err())
        elif self.body.is_replayable and self._controller.may_retry(self):
            self._controller.record_retry(self, retry_decision.unwrap())
            self._controller.dispatch(self)
        else:
            self.refuse(RefusalReason(retry_decision.unwrap().value))

    def _may_retry(self) -> bool:
        if not (self._ledger.retryable and self.body.is_replayable):
            return False
        return self._controller.may_retry(self)

    def _cancel(self, end: AttemptEnd, reason: RefusalReason) -> None:
        if self._is_over:
            return
        self._is_over = True
        if self.is_waiting:
            self._controller.stop_waiting(self)
        if self._attempt is not None:
            self._attempt.cancel(end)
        self._is_over = False
        if self._response.is_streaming:
            self._mark_over()
            self._exchange.abort()
            self._record_refused(Outcome.UNKNOWN, reason)
        else:
            self.refuse(reason)

    def _end_without_response(self, final_result: CallResult) -> None:
        if self._is_over or final_result.reason is None:
            return
        self._mark_over()
        self._record_refused(final_result.outcome, final_result.reason)
        if not self._exchange.is_over:
            send_refusal(
                self._exchange, final_result.outcome, final_result.reason
            )

    def _record_refused(
        self,
        outcome: Outcome,
        reason: RefusalReason,
    ) -> None:
        self._controller.record_refused(self, outcome, reason)
        if self._observer is not None:
            self._observer.refused(outcome, reason)

    def _mark_over(self) -> None:
        self._is_over = True
        self._response.stop_timer()
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()
