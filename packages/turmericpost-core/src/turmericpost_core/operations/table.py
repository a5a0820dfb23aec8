"""Table of keyed operations that this incarnation has run.

An entry is never dropped before its key is too old to be run. When the table
is full a new operation is refused.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from result import Err, Ok, Result

from turmericpost_core.outcome.reasons import RefusalReason


class OperationState(Enum):
    """What is known of the one run of an operation."""

    RUNNING = 'running'
    COMPLETE = 'complete'
    UNKNOWN = 'unknown'


@dataclass(frozen=True)
class OperationId:
    """Identity of an operation: keys of two accounts never meet."""

    account: str
    service: str
    key: str


@dataclass(frozen=True)
class StoredResponse:
    """Whole answer of a run, for duplicates; fields as on the wire.

    ``body`` is ``None`` for answers that have none, as to HEAD.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None


@dataclass(frozen=True)
class Operation:
    """An operation that this VM runs or has run.

    ``fingerprint`` is ``None`` until the whole request is there. ``answer``
    is ``None`` while running, after an unknown end, and when too large.
    """

    expires_s: float
    state: OperationState = OperationState.RUNNING
    fingerprint: bytes | None = None
    response: StoredResponse | None = None


class OperationTable:
    """Operations by their identity; times are monotonic seconds."""

    def __init__(self, max_operations: int) -> None:
        self._max_operations = max_operations
        self._operations: dict[OperationId, Operation] = {}

    def __len__(self) -> int:
        """Return how many operations are kept."""
        return len(self._operations)

    def find(self, operation_id: OperationId) -> Operation | None:
        """Return an operation, ``None`` if it never ran here."""
        return self._operations.get(operation_id)

    def begin(
        self,
        operation_id: OperationId,
        expires_s: float,
    ) -> Result[None, RefusalReason]:
        """Enter an operation that is about to run."""
        if len(self._operations) >= self._max_operations:
            return Err(RefusalReason.KEY_TABLE_FULL)
        self._operations[operation_id] = Operation(expires_s)
        return Ok(None)

    def set_fingerprint(
        self,
        operation_id: OperationId,
        fingerprint: bytes,
    ) -> None:
        """Note what the request was."""
        self._change(operation_id, fingerprint=fingerprint)

    def complete(
        self,
        operation_id: OperationId,
        response: StoredResponse | None,
    ) -> None:
        """Note that the run gave a whole answer."""
        state = OperationState.COMPLETE
        self._change(operation_id, state=state, response=response)

    def mark_unknown(self, operation_id: OperationId) -> None:
        """Note that nobody knows whether the operation ran."""
        self._change(operation_id, state=OperationState.UNKNOWN)

    def withdraw(self, operation_id: OperationId) -> None:
        """Forget an operation that was not run, so that it may run later."""
        self._operations.pop(operation_id, None)

    def evict_expired(self, now_s: float) -> None:
        """Forget the operations whose keys are too old to be run."""
        expired = [
            operation_id
            for operation_id, operation in self._operations.items()
            if operation.expires_s <= now_s
            and operation.state is not OperationState.RUNNING
        ]
        for operation_id in expired:
            self._operations.pop(operation_id)

    def _change(self, operation_id: OperationId, **parts: object) -> None:
        operation = self._operations.get(operation_id)
        if operation is not None:
            changed = replace(operation, **parts)  # type: ignore[arg-type]
            self._operations[operation_id] = changed
