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
    Headers,
    ResponseHead,
    end_to_end,
)
from turmericpost_core.operations.table import StoredResponse
from turmericpost_core.outcome.reasons import Outcome

VIA_FIELD = (VIA, b'1.1 turmericpost')

_MS_PER_S = 1000
_FIRST_SERVER_ERROR = 500
_FRAMING_KEPT = frozenset((LOAD_FIELD,))
_REFRAMED = frozenset((LOAD_FIELD, CONTENT_LENGTH))
_TOLD = frozenset((OUTCOME, REASON))


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
        self._is_relayed = False
        self._exchange = exchange
        self._reactor = reactor
        self._bounds = bounds
        self._head: ResponseHead | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._timer: IDelayedCall | None = None

    def begin(self, head: ResponseHead, *, is_relayed: bool) -> None:
        """Take the head; a relayed answer keeps its outcome."""
        self._head = head
        self._is_relayed = is_relayed

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
            send_answer(self._exchange, self.kept())

    def kept(self) -> StoredResponse | None:
        """Return the whole answer if it was held until its end."""
        head = self._head
        if head is None or self.is_streaming:
            return None
        headers = tuple(self._headers(head, is_whole=True))
        body = b''.join(self._held) if head.has_body else None
        return StoredResponse(head.status, headers, body)

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

    def _stream(self) -> None:
        self.stop_timer()
        head = self._head
        if head is None or self.is_streaming:
            return
        self.is_streaming = True
        headers = self._headers(head, is_whole=False)
        self._exchange.send_head(head.status, headers, head.content_length)
        if self._held:
            self._exchange.send_body(b''.join(self._held))
            self._held.clear()

    def _headers(self, head: ResponseHead, *, is_whole: bool) -> Headers:
        """Return the fields to pass on."""
        is_reframed = head.has_body or not is_whole
        framing = _REFRAMED if is_reframed else _FRAMING_KEPT
        if self._is_relayed:
            return end_to_end(head.headers, framing)
        headers = end_to_end(head.headers, framing | _TOLD)
        outcome = answer_outcome(head.status).value.encode('ascii')
        return [*headers, VIA_FIELD, (OUTCOME, outcome)]


def send_answer(exchange: Exchange, answer: StoredResponse | None) -> None:
    """Send a whole answer; one without a body has its own framing."""
    if answer is None:
        return
    headers = list(answer.headers)
    if answer.body is None:
        exchange.send_bodiless_response(answer.status, headers)
    else:
        exchange.send_full_response(answer.status, headers, answer.body)


def answer_outcome(status: int) -> Outcome:
    """Return the outcome of a whole answer; server errors leave it open."""
    if status >= _FIRST_SERVER_ERROR:
        return Outcome.UNKNOWN
    return Outcome.COMPLETE
