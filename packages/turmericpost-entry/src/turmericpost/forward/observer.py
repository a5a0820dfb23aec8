"""Interface to observe the progress of a keyed call."""

from __future__ import annotations

from typing import Protocol

from turmericpost_core.operations.table import StoredResponse
from turmericpost_core.outcome.reasons import Outcome, RefusalReason


class CallObserver(Protocol):
    """Receives the events of one call.

    A call with an observer continues after its caller has disconnected,
    provided that its request body is complete.
    """

    def request_body_part(self, body: bytes) -> None:
        """Handle a part of the request body."""

    def request_body_complete(self) -> None:
        """Handle the end of the request body."""

    def completed(self, response: StoredResponse | None) -> None:
        """Handle the complete response.

        ``response`` is ``None`` if it was streamed and not stored.
        """

    def refused(self, outcome: Outcome, reason: RefusalReason) -> None:
        """Handle the end of a call that got no complete response."""
