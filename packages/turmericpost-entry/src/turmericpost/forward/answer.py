"""Answer on its way to the caller, held back until whole while small."""

from __future__ import annotations

from dataclasses import dataclass

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from turmericpost.forward.load_header import LOAD_FIELD
from turmericpost.forward.refusals import OUTCOME, REASON
from turmericpost.http1.exchange import Exchange
from turmericpost.http1.heads import (
    CONTENT_LENGTH,
    VIA,
    ResponseHead,
    end_to_end,
)
from turmericpost_core.outcome.reasons import Outcome

VIA_FIELD = (VIA, b'1.1 turmericpost')

_MS_PER_S = 1000
_FIRST_SERVER_ERROR = 500
_REPLACED = frozenset((LOAD_FIELD, OUTCOME, REASON, CONTENT_LENGTH))
_FRAMING_KEPT = frozenset((LOAD_FIELD, OUTCOME, REASON))


@dataclass(frozen=True)
class HoldBounds:
    """How much of an unfinished answer is held back, and how long."""

    hold_bytes: int
    hold_ms: float


class HeldAnswer:
    """Passes on one answer; while it is held the call can be sent again."""

    def __init__(
        self,
        exchange: Exchange,
        reactor: IReactorTime,
        bounds: HoldBounds,
    ) -> None:
        self.is_streaming = False
        self._exchange = exchange
        self._reactor = reactor
        self._bounds = bounds
        self._head: ResponseHead | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._timer: IDelayedCall | None = None

    def begin(self, head: ResponseHead) -> None:
        """Take the head."""
        self._head = head

    def add(self, body: bytes) -> None:
        """Take a part of the body."""
        if self.is_streaming:
            self._exchange.send_body(body)
            return
        self._held.append(body)
        self._held_bytes += len(body)
        if self._held_bytes > self._bounds.hold_bytes:
            self._stream()
        elif self._timer is None:
            self._timer = self._reactor.callLater(
                self._bounds.hold_ms / _MS_PER_S,
                self._stream,
            )

    def end(self) -> None:
        """Take the end of a whole answer."""
        self.stop_timer()
        if self.is_streaming:
            self._exchange.send_end()
        elif self._head is not None:
            self._send_whole(self._head)

    def discard(self) -> None:
        """Forget what is held."""
        self.stop_timer()
        self._head = None
        self._held.clear()
        self._held_bytes = 0

    def stop_timer(self) -> None:
        """Stop waiting for the rest of a held answer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _send_whole(self, head: ResponseHead) -> None:
        if head.has_body:
            headers = end_to_end(head.headers, _REPLACED)
            headers += _added_fields(head.status)
            body = b''.join(self._held)
            self._exchange.send_whole(head.status, headers, body)
        else:
            headers = end_to_end(head.headers, _FRAMING_KEPT)
            headers += _added_fields(head.status)
            self._exchange.send_bodiless(head.status, headers)

    def _stream(self) -> None:
        self.stop_timer()
        head = self._head
        if head is None or self.is_streaming:
            return
        self.is_streaming = True
        headers = end_to_end(head.headers, _REPLACED)
        headers += _added_fields(head.status)
        self._exchange.send_head(head.status, headers, head.content_length)
        if self._held:
            self._exchange.send_body(b''.join(self._held))
            self._held.clear()


def answer_outcome(status: int) -> Outcome:
    """Return the outcome of a whole answer; server errors leave it open."""
    if status >= _FIRST_SERVER_ERROR:
        return Outcome.UNKNOWN
    return Outcome.COMPLETE


def _added_fields(status: int) -> list[tuple[bytes, bytes]]:
    outcome = answer_outcome(status).value.encode('ascii')
    return [VIA_FIELD, (OUTCOME, outcome)]
