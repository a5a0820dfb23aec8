"""A duplicate of a keyed operation: waits for the first run's answer."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import sha256
from typing import TypeAlias

from twisted.internet.interfaces import IDelayedCall

from turmericpost.http1.exchange import Exchange
from turmericpost.http1.heads import RequestHead
from turmericpost_core.outcome.reasons import RefusalReason


class RequestFingerprint:
    """Digest of method, target and body: equal for the same request."""

    def __init__(self, head: RequestHead) -> None:
        self._digest = sha256()
        self._digest.update(head.method.encode('ascii'))
        self._digest.update(b'\n%b\n' % head.target)

    def update(self, body: bytes) -> None:
        """Take a part of the body."""
        self._digest.update(body)

    def digest(self) -> bytes:
        """Return the digest of what was taken."""
        return self._digest.digest()


JoinedListener: TypeAlias = Callable[['JoinedCall'], None]


class JoinedCall:
    """Takes its own body only to compare it; runs nothing."""

    def __init__(self, exchange: Exchange, ready: JoinedListener) -> None:
        self.exchange = exchange
        self.fingerprint: bytes | None = None
        self.failure: RefusalReason | None = None
        self._ready = ready
        self._digest = RequestFingerprint(exchange.head)
        self._timer: IDelayedCall | None = None

    def begin(self, timer: IDelayedCall) -> None:
        """Take the body; the timer ends the waiting."""
        self._timer = timer
        self.exchange.accept_body(self)

    def stop_timer(self) -> None:
        """Stop waiting."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def body_received(self, body: bytes) -> None:
        """Add a part of the body to the fingerprint."""
        self._digest.update(body)

    def body_complete(self) -> None:
        """Compare with the first request."""
        self.fingerprint = self._digest.digest()
        self._ready(self)

    def body_failed(self, reason: RefusalReason) -> None:
        """Give up: this request can't be compared."""
        self.failure = reason
        self._ready(self)

    def caller_gone(self) -> None:
        """Give up: nobody waits."""
        self.failure = RefusalReason.CALLER_GONE
        self._ready(self)

    def pause_response(self) -> None:
        """Ignore: the answer is already in memory."""

    def resume_response(self) -> None:
        """Ignore: the answer is already in memory."""
