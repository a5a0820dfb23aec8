"""Table of the keyed operations that this VM incarnation has run.

An operation stays in the table until its key has expired. While the table is
full, new operations are refused.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from result import Err, Ok, Result

from turmericpost_core.outcome.reasons import RefusalReason


class OperationState(Enum):
    """State of the only run of an operation.

    ``UNKNOWN`` means that nobody knows whether the operation was run.
    """

    RUNNING = 'running'
    COMPLETE = 'complete'
    UNKNOWN = 'unknown'


@dataclass(frozen=True)
class OperationId:
    """Identity of an operation; each account has its own keys."""

    account: str
    service: str
    key: str


@dataclass(frozen=True)
class StoredResponse:
    """Complete response of a run, which duplicate calls get as well.

    ``headers`` are as received. ``body`` is ``None`` for a response without
    one, such as a response to HEAD.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None


@dataclass(frozen=True)
class Operation:
    """An operation that this VM runs or has run.

    ``fingerprint`` is ``None`` until the whole request has arrived.
    ``response`` is ``None`` while the operation runs, if its result is
    unknown, and if the response was too large to store.
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
        """Return the number of operations in the table."""
        return len(self._operations)

    def find(self, operation_id: OperationId) -> Operation | None:
        """Return an operation, ``None`` if it is not in the table."""
        return self._operations.get(operation_id)

    def begin(
        self,
        operation_id: OperationId,
        expires_s: float,
    ) -> Result[None, RefusalReason]:
        """Add an operation about to run; refuse if the table is full."""
        if len(self._operations) >= self._max_operations:
            return Err(RefusalReason.KEY_TABLE_FULL)
        self._operations[operation_id] = Operation(expires_s)
        return Ok(None)

    def set_fingerprint(
        self,
        operation_id: OperationId,
        fingerprint: bytes,
    ) -> None:
        """Store the fingerprint of the request of an operation."""
        self._update(operation_id, fingerprint=fingerprint)

    def complete(
        self,
        operation_id: OperationId,
        response: StoredResponse | None,
    ) -> None:
        """Mark an operation as complete and store its response."""
        state = OperationState.COMPLETE
        self._update(operation_id, state=state, response=response)

    def mark_unknown(self, operation_id: OperationId) -> None:
        """Record that it is unknown whether an operation was run."""
        self._update(operation_id, state=OperationState.UNKNOWN)

    def withdraw(self, operation_id: OperationId) -> None:
        """Remove an operation that was not run, so that it can run later."""
        self._operations.pop(operation_id, None)

    def evict_expired(self, now_s: float) -> None:
        """Remove finished operations whose keys have expired."""
        expired = [
            operation_id
            for operation_id, operation in self._operations.items()
            if operation.expires_s <= now_s
            and operation.state is not OperationState.RUNNING
        ]
        for operation_id in expired:
            self._operations.pop(operation_id)

    def _update(self, operation_id: OperationId, **fields: object) -> None:
        operation = self._operations.get(operation_id)
        if operation is not None:
            changed = replace(operation, **fields)  # type: ignore[arg-type]
            self._operations[operation_id] = changed
