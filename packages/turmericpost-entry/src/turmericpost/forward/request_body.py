"""Request bodies, forwarded as they arrive and buffered for retries."""

from __future__ import annotations

from turmericpost.http1.client import BackendConnection
from turmericpost.http1.heads import LAST_CHUNK, render_chunk


class RequestBody:
    """Forwards a request body and buffers it for retries up to a size limit."""

    def __init__(
        self,
        *,
        chunked: bool,
        max_replay_bytes: int,
        max_unsent_bytes: int,
    ) -> None:
        self.max_unsent_bytes = max_unsent_bytes
        self.is_complete = False
        self.is_replayable = True
        self._chunked = chunked
        self._max_replay_bytes = max_replay_bytes
        self._buffer = bytearray()
        self._connection: BackendConnection | None = None

    @property
    def unsent_bytes(self) -> int:
        """Number of buffered bytes; 0 while a connection is attached."""
        return len(self._buffer) if self._connection is None else 0

    def add(self, body: bytes) -> None:
        """Buffer a part of the body and send it to the attached connection."""
        if self.is_replayable:
            self._buffer_part(body)
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
        wire = self._encode(bytes(self._buffer)) if self._buffer else b''
        if len(self._buffer) > self._max_replay_bytes:
            self.is_replayable = False
            self._buffer.clear()
        if self.is_complete and self._chunked:
            wire += LAST_CHUNK
        return wire

    def detach(self) -> None:
        """Detach the connection because the attempt has ended."""
        self._connection = None

    def _buffer_part(self, body: bytes) -> None:
        self._buffer += body
        is_sent = self._connection is not None
        if len(self._buffer) > self._max_replay_bytes and is_sent:
            self.is_replayable = False
            self._buffer.clear()

    def _send_end(self) -> None:
        if self._connection is not None and self._chunked:
            self._connection.write(LAST_CHUNK)

    def _encode(self, body: bytes) -> bytes:
        return render_chunk(body) if self._chunked else body
