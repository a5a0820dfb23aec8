"""A duplicate of a keyed call that waits for the response of the first run."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import sha256
from typing import TypeAlias

from twisted.internet.interfaces import IDelayedCall

from turmericpost.http1.exchange import Exchange
from turmericpost.http1.heads import RequestHead
from turmericpost_core.outcome.reasons import RefusalReason


class RequestFingerprint:
    """SHA-256 digest of method, target and body of a request."""

    def __init__(self, head: RequestHead) -> None:
        self._digest = sha256()
        self._digest.update(head.method.encode('ascii'))
        self._digest.update(b'\n%b\n' % head.target)

    def update(self, body: bytes) -> None:
        """Add a part of the body to the digest."""
        self._digest.update(body)

    def digest(self) -> bytes:
        """Return the digest of the parts added so far."""
        return self._digest.digest()


JoinedCallListener: TypeAlias = Callable[['JoinedCall'], None]


class JoinedCall:
    """A duplicate call; it is never sent to a backend server.

    Its body is received only to compare its fingerprint with the first
    request. ``on_ready`` is called when the fingerprint or a failure is known.
    """

    def __init__(
        self, exchange: Exchange, on_ready: JoinedCallListener
    ) -> None:
        self.exchange = exchange
        self.fingerprint: bytes | None = None
        self.failure: RefusalReason | None = None
        self._on_ready = on_ready
        self._digest = RequestFingerprint(exchange.head)
        self._timer: IDelayedCall | None = None

    def begin(self, timer: IDelayedCall) -> None:
        """Start receiving the body; the timer ends the call at its deadline."""
        self._timer = timer
        self.exchange.accept_body(self)

    def stop_timer(self) -> None:
        """Cancel the deadline timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def body_received(self, body: bytes) -> None:
        """Add a part of the body to the fingerprint."""
        self._digest.update(body)

    def body_complete(self) -> None:
        """Store the fingerprint and call ``on_ready``."""
        self.fingerprint = self._digest.digest()
        self._on_ready(self)

    def body_failed(self, reason: RefusalReason) -> None:
        """Store the failure; an incomplete request can't be compared."""
        self.failure = reason
        self._on_ready(self)

    def caller_gone(self) -> None:
        """Store as failure that the caller has disconnected."""
        self.failure = RefusalReason.CALLER_GONE
        self._on_ready(self)

    def pause_response(self) -> None:
        """Ignore; the response is already in memory."""

    def resume_response(self) -> None:
        """Ignore; the response is already in memory."""
