"""The way of one call: wait, attempt, judge, retry or answer."""

from __future__ import annotations

from twisted.internet.interfaces import IDelayedCall

from turmericpost.forward.attempt import BackendAttempt
from turmericpost.forward.call_parts import (
    CallHost,
    CallParts,
    deadline_ms,
    new_ledger,
)
from turmericpost.forward.refusals import refuse_exchange
from turmericpost.forward.relays import RelayKind
from turmericpost.forward.request_head import OnwardFields, forwarded_head
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
_NOT_TAKEN = frozenset((AttemptEnd.SHED, AttemptEnd.CONNECT_FAILED))
_RETRIED_STATUSES = frozenset((502, 503, 504))


class ForwardedCall:
    """A call from its head to its answer."""

    def __init__(
        self,
        host: CallHost,
        parts: CallParts,
        route: Route,
    ) -> None:
        self.request = parts.request
        self.route = route
        self.tried: set[str] = set()
        self.begun_s = host.now_s()
        self.deadline_s = self.begun_s + deadline_ms(parts, route) / _MS_PER_S
        self.body = parts.body
        self.is_waiting = False
        self._host = host
        self._exchange = parts.exchange
        self._answer = parts.answer
        self.offered: set[str] = set()
        self.offered_to = ''
        self.waiting_since_s = self.begun_s
        self.next_offer_s = self.begun_s
        self.is_offered_by_peer = parts.arrived_as is RelayKind.OFFERED
        self.is_relayed_by_peer = parts.arrived_as is RelayKind.PASSED
        self._ledger = new_ledger(parts, route)
        self._observer = parts.observer
        self._attempt: BackendAttempt | None = None
        self._deadline_timer: IDelayedCall | None = None
        self._is_over = False

    @property
    def account(self) -> str:
        """Client account of the call."""
        return self.request.facts.account

    @property
    def can_be_offered(self) -> bool:
        """Whether the call is in memory, so that it can be sent again."""
        return self.body.is_complete and self.body.is_replayable

    @property
    def attempts(self) -> int:
        """Attempts ended so far."""
        return self._ledger.attempts

    def keep_deadline_timer(self, timer: IDelayedCall) -> None:
        """Keep the timer that ends the call at its deadline."""
        self._deadline_timer = timer

    def begin(self) -> None:
        """Take the body and look for a backend server."""
        self._exchange.accept_body(self)
        if not self._is_over:
            self._host.dispatch(self)

    def begin_at_owner(self, owner: VmRecord) -> None:
        """Take the body and go to the one VM that may run the call.

        What was run there before is not known, so no failure is not-run.
        """
        self._ledger = CallLedger(retryable=False, may_have_run=True)
        self._exchange.accept_body(self)
        if not self._is_over:
            self._host.relay_to_owner(self, owner)

    def start_attempt(
        self,
        backend: BackendServer,
        attempt: BackendAttempt,
    ) -> None:
        """Send the call to a backend server or to an entry VM."""
        self._attempt = attempt
        attempt.start()

    def deadline_passed(self) -> None:
        """Give the call up at its deadline."""
        self._give_up(AttemptEnd.DEADLINE, RefusalReason.DEADLINE_EXCEEDED)

    def refuse(self, reason: RefusalReason) -> None:
        """End the call without an answer of a backend server."""
        self._conclude(CallResult(refused_outcome(self._ledger), reason))

    def body_received(self, body: bytes) -> None:
        """Send or keep a part of the body."""
        if self._observer is not None:
            self._observer.body_part(body)
        self.body.add(body)
        if self.body.waiting_bytes > self.body.max_waiting_bytes:
            self._exchange.pause_body()

    def body_complete(self) -> None:
        """Send the end of the body."""
        if self._observer is not None:
            self._observer.body_whole()
        self.body.complete()

    def body_failed(self, reason: RefusalReason) -> None:
        """Give the call up: its body can't be received."""
        self._give_up(AttemptEnd.CALLER_GONE, reason)

    def caller_gone(self) -> None:
        """Cancel the work nobody waits for.

        An observed call goes on: a duplicate may come for its answer.
        """
        if self._observer is not None and self.body.is_complete:
            self.resume_response()
            return
        self._give_up(AttemptEnd.CALLER_GONE, RefusalReason.CALLER_GONE)

    def pause_response(self) -> None:
        """Stop reading the answer: the caller reads slowly."""
        if self._attempt is not None:
            self._attempt.pause_response()

    def resume_response(self) -> None:
        """Go on reading the answer."""
        if self._attempt is not None:
            self._attempt.resume_response()

    def write_request(self, connection: BackendConnection) -> None:
        """Write the head, then the body as far as it is there."""
        left_s = self.deadline_s - self._host.now_s()
        onward = OnwardFields(
            deadline_ms=max(int(left_s * _MS_PER_S), 1),
            depth=self.request.depth + (self._relay_kind is None),
            relay_kind=self._relay_kind,
        )
        head = forwarded_head(self._exchange.head, onward)
        connection.write(head + self.body.attach(connection))
        self._exchange.resume_body()

    def request_is_sent(self) -> bool:
        """Return whether the whole request has been written."""
        return self.body.is_complete

    def is_head_request(self) -> bool:
        """Return whether the method is HEAD."""
        return self._exchange.head.method == 'HEAD'

    def attempt_head(self, head: ResponseHead) -> bool:
        """Take the head, unless another attempt is the better answer."""
        if head.status in _RETRIED_STATUSES and self._may_repeat():
            return False
        self._answer.begin(head, is_relayed=self._relay_kind is not None)
        return True

    def attempt_body(self, body: bytes) -> None:
        """Pass on a part of the answer."""
        self._answer.add(body)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Answer, retry or refuse."""
        kind = self._relay_kind
        self._attempt = None
        self.body.detach()
        if not self._is_over and self._is_turned_down(attempt, kind):
            self._host.turned_down(self, kind)
            return
        if kind is RelayKind.OFFERED:
            self._host.offer_taken(self)
        self._ledger = record_attempt(self._ledger, attempt)
        if not self._is_over:
            self._settle(attempt)
        self._host.slot_freed(self.route.service.name)

    def pause_request(self) -> None:
        """Stop reading the body: the backend server reads slowly."""
        self._exchange.pause_body()

    def resume_request(self) -> None:
        """Go on reading the body."""
        self._exchange.resume_body()

    @property
    def _relay_kind(self) -> RelayKind | None:
        return None if self._attempt is None else self._attempt.relay_kind

    def _is_turned_down(
        self,
        attempt: Attempt,
        kind: RelayKind | None,
    ) -> bool:
        """Return whether another VM did not take the call."""
        if kind is None or kind is RelayKind.KEY:
            return False
        if not self.body.is_replayable:
            return False
        return attempt.end in _NOT_TAKEN

    def _settle(self, attempt: Attempt) -> None:
        if attempt.end is AttemptEnd.COMPLETE_RESPONSE:
            self._close()
            if self._observer is not None:
                self._observer.answered(self._answer.kept())
            self._answer.end()
            self._host.record_answered(self)
        elif self._answer.is_streaming:
            reason = retry_reason(self._ledger, attempt)
            self._break_off(attempt, reason.err())
        else:
            self._answer.discard()
            self._retry_or_refuse(attempt)

    def _break_off(self, attempt: Attempt, final: CallResult | None) -> None:
        self._close()
        self._exchange.abort()
        reason = RefusalReason.TRUNCATED_ANSWER
        if final is not None and final.reason is not None:
            reason = final.reason
        self._record_refused(Outcome.UNKNOWN, reason)

    def _retry_or_refuse(self, attempt: Attempt) -> None:
        decision = retry_reason(self._ledger, attempt)
        if decision.is_err():
            self._conclude(decision.unwrap_err())
        elif self.body.is_replayable and self._host.may_retry(self):
            self._host.record_retry(self, decision.unwrap())
            self._host.dispatch(self)
        else:
            self.refuse(RefusalReason(decision.unwrap().value))

    def _may_repeat(self) -> bool:
        if not (self._ledger.retryable and self.body.is_replayable):
            return False
        return self._host.may_retry(self)

    def _give_up(self, end: AttemptEnd, reason: RefusalReason) -> None:
        if self._is_over:
            return
        self._is_over = True
        if self.is_waiting:
            self._host.stop_waiting(self)
        if self._attempt is not None:
            self._attempt.cancel(end)
        self._is_over = False
        if self._answer.is_streaming:
            self._close()
            self._exchange.abort()
            self._record_refused(Outcome.UNKNOWN, reason)
        else:
            self.refuse(reason)

    def _conclude(self, final: CallResult) -> None:
        if self._is_over or final.reason is None:
            return
        self._close()
        self._record_refused(final.outcome, final.reason)
        if not self._exchange.is_over:
            refuse_exchange(self._exchange, final.outcome, final.reason)

    def _record_refused(
        self,
        outcome: Outcome,
        reason: RefusalReason,
    ) -> None:
        self._host.record_refused(self, outcome, reason)
        if self._observer is not None:
            self._observer.refused(outcome, reason)

    def _close(self) -> None:
        self._is_over = True
        self._answer.stop_timer()
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()
