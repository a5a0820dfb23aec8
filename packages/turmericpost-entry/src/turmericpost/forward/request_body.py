"""Body of a request on its way: sent on, and kept while it may be resent."""

from __future__ import annotations

from turmericpost.http1.client import BackendConnection
from turmericpost.http1.heads import LAST_CHUNK, render_chunk


class RequestBody:
    """Parts of a body; kept in memory up to a bound."""

    def __init__(
        self,
        *,
        chunked: bool,
        max_kept_bytes: int,
        max_waiting_bytes: int,
    ) -> None:
        self.max_waiting_bytes = max_waiting_bytes
        self.is_complete = False
        self.is_replayable = True
        self._chunked = chunked
        self._max_kept_bytes = max_kept_bytes
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._connection: BackendConnection | None = None

    @property
    def waiting_bytes(self) -> int:
        """Bytes in memory that no connection has taken yet."""
        return self._kept_bytes if self._connection is None else 0

    def add(self, body: bytes) -> None:
        """Take a part of the body from the caller."""
        if self.is_replayable:
            self._keep(body)
        if self._connection is not None:
            self._connection.write(self._wire(body))

    def complete(self) -> None:
        """Take the end of the body."""
        self.is_complete = True
        self._send_end()

    def attach(self, connection: BackendConnection) -> bytes:
        """Send parts to a connection from now on; return what is kept."""
        self._connection = connection
        wire = b''.join(self._wire(body) for body in self._kept)
        if self._kept_bytes > self._max_kept_bytes:
            self.is_replayable = False
            self._kept.clear()
        if self.is_complete and self._chunked:
            wire += LAST_CHUNK
        return wire

    def detach(self) -> None:
        """Stop sending: the attempt has ended."""
        self._connection = None

    def _keep(self, body: bytes) -> None:
        self._kept.append(body)
        self._kept_bytes += len(body)
        is_sent = self._connection is not None
        if self._kept_bytes > self._max_kept_bytes and is_sent:
            self.is_replayable = False
            self._kept.clear()

    def _send_end(self) -> None:
        if self._connection is not None and self._chunked:
            self._connection.write(LAST_CHUNK)

    def _wire(self, body: bytes) -> bytes:
        return render_chunk(body) if self._chunked else body
