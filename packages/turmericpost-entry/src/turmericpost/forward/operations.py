"""Runs keyed operations once and sends the same response to duplicates."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from twisted.internet.interfaces import IReactorTime

from turmericpost.forward.buffered_response import send_stored_response
from turmericpost.forward.joined_call import JoinedCall, RequestFingerprint
from turmericpost.forward.observer import CallObserver
from turmericpost.forward.refusals import send_refusal
from turmericpost.http1.exchange import Exchange
from turmericpost.observe.metrics import Metrics
from turmericpost_core.operations.table import (
    Operation,
    OperationId,
    OperationState,
    OperationTable,
    StoredResponse,
)
from turmericpost_core.outcome.reasons import Outcome, RefusalReason

RunStarter: TypeAlias = Callable[[CallObserver], None]


@dataclass(frozen=True)
class OperationRequest:
    """A call with an operation key; times are monotonic seconds."""

    operation_id: OperationId
    exchange: Exchange
    deadline_s: float
    expires_s: float


class KeyedOperations:
    """Keyed operations of this VM, with the duplicates that wait for them."""

    def __init__(
        self,
        reactor: IReactorTime,
        table: OperationTable,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self._reactor = reactor
        self._metrics = metrics
        self._joined_calls: defaultdict[OperationId, list[JoinedCall]]
        self._joined_calls = defaultdict(list)

    def reserve(self, request: OperationRequest) -> bool:
        """Add an operation to the table; if it is full, refuse the call.

        Returns whether the operation was added.
        """
        begin_result = self.table.begin(request.operation_id, request.expires_s)
        if begin_result.is_err():
            self.refuse(
                request.exchange,
                Outcome.NOT_RUN,
                begin_result.unwrap_err(),
            )
        return bool(begin_result.is_ok())

    def observer(self, request: OperationRequest) -> CallObserver:
        """Return the observer for the first run of a reserved operation."""
        fingerprint = RequestFingerprint(request.exchange.head)
        return _FirstRunObserver(self, request.operation_id, fingerprint)

    def join(self, request: OperationRequest) -> None:
        """Queue a duplicate call until its operation has a result.

        The result is that of the first run of the operation.
        """
        self._metrics.calls_begun += 1
        operation_id = request.operation_id
        joined = JoinedCall(
            request.exchange,
            lambda ready_call: self._check_duplicate(operation_id, ready_call),
        )
        self._joined_calls[operation_id].append(joined)
        wait_s = max(0, request.deadline_s - self._reactor.seconds())
        timer = self._reactor.callLater(
            wait_s,
            self._time_out,
            operation_id,
            joined,
        )
        joined.begin(timer)

    def refuse(
        self,
        exchange: Exchange,
        outcome: Outcome,
        reason: RefusalReason,
    ) -> None:
        """Refuse a call that is not waiting for the result of an operation."""
        self._metrics.calls_begun += 1
        self._send_refusal(exchange, outcome, reason)

    def withdraw(
        self, operation_id: OperationId, reason: RefusalReason
    ) -> None:
        """Remove an operation that was not run and refuse its duplicates."""
        self.table.withdraw(operation_id)
        for joined in self._remove_all_duplicates(operation_id):
            self._send_refusal(joined.exchange, Outcome.NOT_RUN, reason)

    def respond_to_duplicates(self, operation_id: OperationId) -> None:
        """Respond to each duplicate whose result is known."""
        for joined in tuple(self._joined_calls.get(operation_id, ())):
            self._check_duplicate(operation_id, joined)

    def _check_duplicate(
        self, operation_id: OperationId, joined: JoinedCall
    ) -> None:
        operation = self.table.find(operation_id)
        if joined.failure is not None:
            self._remove_duplicate(operation_id, joined)
            self._send_refusal(joined.exchange, Outcome.NOT_RUN, joined.failure)
        elif operation is not None and joined.fingerprint is not None:
            self._respond_to_duplicate(operation_id, operation, joined)

    def _respond_to_duplicate(
        self,
        operation_id: OperationId,
        operation: Operation,
        joined: JoinedCall,
    ) -> None:
        first_fingerprint = operation.fingerprint
        is_different_request = (
            first_fingerprint is not None
            and first_fingerprint != joined.fingerprint
        )
        if (
            operation.state is OperationState.RUNNING
            and not is_different_request
        ):
            return
        self._remove_duplicate(operation_id, joined)
        exchange = joined.exchange
        if is_different_request:
            self._send_refusal(
                exchange, Outcome.NOT_RUN, RefusalReason.KEY_REUSED
            )
        elif operation.state is OperationState.UNKNOWN:
            reason = RefusalReason.KEY_FIRST_RUN_UNKNOWN
            self._send_refusal(exchange, Outcome.UNKNOWN, reason)
        elif operation.response is None:
            reason = RefusalReason.KEY_ANSWER_NOT_KEPT
            self._send_refusal(exchange, Outcome.COMPLETE, reason)
        else:
            self._metrics.duplicates_answered += 1
            send_stored_response(exchange, operation.response)

    def _time_out(self, operation_id: OperationId, joined: JoinedCall) -> None:
        self._remove_duplicate(operation_id, joined)
        reason = RefusalReason.DEADLINE_EXCEEDED
        self._send_refusal(joined.exchange, Outcome.UNKNOWN, reason)

    def _remove_duplicate(
        self, operation_id: OperationId, joined: JoinedCall
    ) -> None:
        joined.stop_timer()
        waiting_calls = self._joined_calls[operation_id]
        waiting_calls.remove(joined)
        if not waiting_calls:
            self._joined_calls.pop(operation_id)

    def _remove_all_duplicates(
        self, operation_id: OperationId
    ) -> list[JoinedCall]:
        removed_calls = self._joined_calls.pop(operation_id, [])
        for joined in removed_calls:
            joined.stop_timer()
        return removed_calls

    def _send_refusal(
        self,
        exchange: Exchange,
        outcome: Outcome,
        reason: RefusalReason,
    ) -> None:
        self._metrics.refusals[reason] += 1
        if not exchange.is_over:
            send_refusal(exchange, outcome, reason)


class _FirstRunObserver:
    """Records progress of an operation's first run in the operation table."""

    def __init__(
        self,
        operations: KeyedOperations,
        operation_id: OperationId,
        fingerprint: RequestFingerprint,
    ) -> None:
        self._operations = operations
        self._operation_id = operation_id
        self._fingerprint = fingerprint

    def request_body_part(self, body: bytes) -> None:
        """Add a part of the body to the fingerprint."""
        self._fingerprint.update(body)

    def request_body_complete(self) -> None:
        """Record the fingerprint of the request."""
        self._operations.table.set_fingerprint(
            self._operation_id,
            self._fingerprint.digest(),
        )
        self._operations.respond_to_duplicates(self._operation_id)

    def completed(self, response: StoredResponse | None) -> None:
        """Store the response for duplicates."""
        self._operations.table.complete(self._operation_id, response)
        self._operations.respond_to_duplicates(self._operation_id)

    def refused(self, outcome: Outcome, reason: RefusalReason) -> None:
        """Remove an operation that was not run; mark any other as unknown."""
        if outcome is Outcome.NOT_RUN:
            self._operations.withdraw(self._operation_id, reason)
        else:
            self._operations.table.mark_unknown(self._operation_id)
            self._operations.respond_to_duplicates(self._operation_id)
