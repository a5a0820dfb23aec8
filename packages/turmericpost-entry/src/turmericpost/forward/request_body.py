"""Request body: forwarded as it arrives and buffered for retries."""

from __future__ import annotations

from turmericpost.http1.client import BackendConnection
from turmericpost.http1.heads import LAST_CHUNK, render_chunk


class RequestBody:
    """Forwards a request body and buffers it for retries up to a size limit."""

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
        """Number of buffered bytes while no connection is attached, otherwise 0."""
        return self._kept_bytes if self._connection is None else 0

    def add(self, body: bytes) -> None:
        """Buffer a part of the body and send it to the attached connection."""
        if self.is_replayable:
            self._keep(body)
        if self._connection is not None:
            self._connection.write(self._encode(body))

    def complete(self) -> None:
        """Mark the body as complete and send its end."""
        self.is_complete = True
        self._send_end()

    def attach(self, connection: BackendConnection) -> bytes:
        """Attach a connection and return the encoded bytes to send first.

        Later parts are written to the connection. A body larger than the
        replay limit is no longer buffered and can't be sent again.
        """
        self._connection = connection
        wire = b''.join(self._encode(body) for body in self._kept)
        if self._kept_bytes > self._max_kept_bytes:
            self.is_replayable = False
            self._kept.clear()
        if self.is_complete and self._chunked:
            wire += LAST_CHUNK
        return wire

    def detach(self) -> None:
        """Detach the connection because the attempt has ended."""
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

    def _encode(self, body: bytes) -> bytes:
        return render_chunk(body) if self._chunked else body
