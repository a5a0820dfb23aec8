"""Keyed operations of this VM: one run, and duplicates that join it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from twisted.internet.interfaces import IReactorTime

from turmericpost.forward.buffered_response import send_answer
from turmericpost.forward.joined_call import JoinedCall, RequestFingerprint
from turmericpost.forward.observer import CallObserver
from turmericpost.forward.refusals import refuse_exchange
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
    """A call that carries an operation key."""

    operation_id: OperationId
    exchange: Exchange
    deadline_s: float
    expires_s: float


class RunningOperations:
    """Runs each operation once and answers its duplicates alike."""

    def __init__(
        self,
        reactor: IReactorTime,
        table: OperationTable,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self._reactor = reactor
        self._metrics = metrics
        self._joined: defaultdict[OperationId, list[JoinedCall]]
        self._joined = defaultdict(list)

    def reserve(self, request: OperationRequest) -> bool:
        """Enter the operation; refuse and return false when full."""
        entered = self.table.begin(request.operation_id, request.expires_s)
        if entered.is_err():
            self.refuse(
                request.exchange,
                Outcome.NOT_RUN,
                entered.unwrap_err(),
            )
        return bool(entered.is_ok())

    def observer(self, request: OperationRequest) -> CallObserver:
        """Return what follows the one run of a reserved operation."""
        fingerprint = RequestFingerprint(request.exchange.head)
        return _FirstRun(self, request.operation_id, fingerprint)

    def join(self, request: OperationRequest) -> None:
        """Let a duplicate wait for the first run."""
        self._metrics.calls_begun += 1
        operation_id = request.operation_id
        joined = JoinedCall(
            request.exchange,
            lambda ready: self._compare(operation_id, ready),
        )
        self._joined[operation_id].append(joined)
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
        """Refuse a call that joins nothing."""
        self._metrics.calls_begun += 1
        self._end(exchange, outcome, reason)

    def withdraw(
        self, operation_id: OperationId, reason: RefusalReason
    ) -> None:
        """Forget an operation that was not run; tell its duplicates."""
        self.table.withdraw(operation_id)
        for joined in self._take_joined(operation_id):
            self._end(joined.exchange, Outcome.NOT_RUN, reason)

    def settle(self, operation_id: OperationId) -> None:
        """Answer the duplicates that can be answered now."""
        for joined in tuple(self._joined.get(operation_id, ())):
            self._compare(operation_id, joined)

    def _compare(self, operation_id: OperationId, joined: JoinedCall) -> None:
        operation = self.table.find(operation_id)
        if joined.failure is not None:
            self._drop(operation_id, joined)
            self._end(joined.exchange, Outcome.NOT_RUN, joined.failure)
        elif operation is not None and joined.fingerprint is not None:
            self._answer(operation_id, operation, joined)

    def _answer(
        self,
        operation_id: OperationId,
        operation: Operation,
        joined: JoinedCall,
    ) -> None:
        first = operation.fingerprint
        is_other = first is not None and first != joined.fingerprint
        if operation.state is OperationState.RUNNING and not is_other:
            return
        self._drop(operation_id, joined)
        exchange = joined.exchange
        if is_other:
            self._end(exchange, Outcome.NOT_RUN, RefusalReason.KEY_REUSED)
        elif operation.state is OperationState.UNKNOWN:
            reason = RefusalReason.KEY_FIRST_RUN_UNKNOWN
            self._end(exchange, Outcome.UNKNOWN, reason)
        elif operation.response is None:
            reason = RefusalReason.KEY_ANSWER_NOT_KEPT
            self._end(exchange, Outcome.COMPLETE, reason)
        else:
            self._metrics.duplicates_answered += 1
            send_answer(exchange, operation.response)

    def _time_out(self, operation_id: OperationId, joined: JoinedCall) -> None:
        self._drop(operation_id, joined)
        reason = RefusalReason.DEADLINE_EXCEEDED
        self._end(joined.exchange, Outcome.UNKNOWN, reason)

    def _drop(self, operation_id: OperationId, joined: JoinedCall) -> None:
        joined.stop_timer()
        waiting = self._joined[operation_id]
        waiting.remove(joined)
        if not waiting:
            self._joined.pop(operation_id)

    def _take_joined(self, operation_id: OperationId) -> list[JoinedCall]:
        taken = self._joined.pop(operation_id, [])
        for joined in taken:
            joined.stop_timer()
        return taken

    def _end(
        self,
        exchange: Exchange,
        outcome: Outcome,
        reason: RefusalReason,
    ) -> None:
        self._metrics.refusals[reason] += 1
        if not exchange.is_over:
            refuse_exchange(exchange, outcome, reason)


class _FirstRun:
    """Notes in the table what becomes of the one run."""

    def __init__(
        self,
        operations: RunningOperations,
        operation_id: OperationId,
        fingerprint: RequestFingerprint,
    ) -> None:
        self._operations = operations
        self._operation_id = operation_id
        self._fingerprint = fingerprint

    def body_part(self, body: bytes) -> None:
        """Add a part of the body to the fingerprint."""
        self._fingerprint.update(body)

    def body_whole(self) -> None:
        """Note what the request was."""
        self._operations.table.set_fingerprint(
            self._operation_id,
            self._fingerprint.digest(),
        )
        self._operations.settle(self._operation_id)

    def answered(self, response: StoredResponse | None) -> None:
        """Keep the answer for duplicates."""
        self._operations.table.complete(self._operation_id, response)
        self._operations.settle(self._operation_id)

    def refused(self, outcome: Outcome, reason: RefusalReason) -> None:
        """Forget what was not run; remember what may have been."""
        if outcome is Outcome.NOT_RUN:
            self._operations.withdraw(self._operation_id, reason)
        else:
            self._operations.table.mark_unknown(self._operation_id)
            self._operations.settle(self._operation_id)
