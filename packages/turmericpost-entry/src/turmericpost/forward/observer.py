"""What a keyed operation learns of the call that runs it."""

from __future__ import annotations

from typing import Protocol

from turmericpost_core.operations.table import StoredResponse
from turmericpost_core.outcome.reasons import Outcome, RefusalReason


class CallObserver(Protocol):
    """Follows one call; the call goes on when its caller has gone."""

    def body_part(self, body: bytes) -> None:
        """Take a part of the request body."""

    def body_whole(self) -> None:
        """Take the end of the request body."""

    def answered(self, answer: StoredResponse | None) -> None:
        """Take the whole answer, ``None`` if it was too large to keep."""

    def refused(self, outcome: Outcome, reason: RefusalReason) -> None:
        """Learn that the call ended without an answer."""
