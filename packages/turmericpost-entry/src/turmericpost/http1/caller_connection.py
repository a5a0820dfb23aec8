"""Server side of one caller connection: requests are handled in order."""

from __future__ import annotations

from collections import deque
from typing import Protocol as Interface

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from turmericpost.http1.codec import CodecError, RequestParser
from turmericpost.http1.exchange import Exchange
from turmericpost.http1.heads import Headers, RequestHead
from turmericpost.http1.readability import is_readable
from turmericpost.http1.settings import CallerSettings
from turmericpost.http1.strict import asks_for_upgrade, is_malformed
from turmericpost_core.clock import Clock
from turmericpost_core.limits.connection_slots import ConnectionState
from turmericpost_core.limits.shared_memory_budget import SharedMemoryBudget
from turmericpost_core.outcome.reasons import RefusalReason

_HTTP_VERSION = '1.1'
_MAX_PIPELINED_EXCHANGES = 8
_MAX_EXCHANGES = 64
_READ_BYTES = 16384
_FIELD_MEMORY_BYTES = 176
_CLOSE_LINGER_S = 1
_MIN_SILENCE_S = 0.1
_MIN_SILENCE_WITHOUT_REQUEST_S = 1.0


class ConnectionHost(Interface):
    """The port of a connection, as far as the connection uses it."""

    @property
    def settings(self) -> CallerSettings:
        """Limits in force."""

    @property
    def clock(self) -> Clock:
        """Clock of the timeouts."""

    @property
    def is_draining(self) -> bool:
        """Whether the VM is draining."""

    @property
    def memory(self) -> SharedMemoryBudget:
        """Memory of all connections of the port."""

    def add(self, connection: CallerConnection) -> None:
        """Add a new connection."""

    def mark(
        self, connection: CallerConnection, state: ConnectionState
    ) -> None:
        """Record what a connection is doing."""

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection that has closed."""

    def begin(self, exchange: Exchange) -> bool:
        """Handle an exchange; return false after an exception."""

    def record_slow_reader(self) -> None:
        """Count a caller that stopped reading its response."""


@implementer(IPushProducer)
class CallerConnection(Protocol):
    """One connection from a caller.

    Reading continues while a request is in progress, so that a disconnect of
    the caller is noticed at once. Pipelined requests are handled in order.
    """

    def __init__(self, port: ConnectionHost) -> None:
        self._port = port
        self._parser = RequestParser(self)
        self._exchanges: deque[Exchange] = deque()
        self._receiving_exchange: Exchange | None = None
        self._target = b''
        self._headers: Headers = []
        self._unproductive_bytes = 0
        self._read_bytes = 0
        self._has_completed_message = False
        self._head_started_s: float | None = None
        self._last_activity_s = port.clock.monotonic_s()
        self._response_paused = False
        self._reading_paused = False
        self._closing = False
        self._closing_since_s = float(0)
        self._discarded_bytes = 0
        self._has_had_request = False
        self._is_refused = False
        self._is_over_limit = False
        self._is_beginning = False
        self._begun_exchange: Exchange | None = None
        self._slot_state = ConnectionState.INCOMPLETE
        self._head_memory_bytes = 0
        self._unread_response_bytes = 0
        self._memory_bytes = 0

    @property
    def is_draining(self) -> bool:
        """Whether the VM is draining."""
        return self._port.is_draining

    def connectionMade(self) -> None:
        """Set up the transport."""
        self._port.add(self)
        self.transport.setTcpNoDelay(True)
        # Also the size of unsent responses from which the producer is paused.
        self.transport.bufferSize = _READ_BYTES
        self.transport.registerProducer(self, True)

    def connectionLost(
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Cancel the requests in progress."""
        self._closing = True
        self._port.remove(self)
        self._parser.close()
        self._headers = []
        self._receiving_exchange = None
        self._begun_exchange = None
        exchanges = tuple(self._exchanges)
        self._exchanges.clear()
        for exchange in exchanges:
            exchange.caller_gone()
        self._port.memory.change(-self._memory_bytes)
        self._memory_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; reject malformed or oversized requests.

        Everything that is neither a complete head nor a body counts towards
        the limit of a head: empty lines, heads, chunk sizes and trailers.
        """
        if self._closing:
            self._discard(len(data))
        elif not self._is_refused:
            reason = self._parse(data)
            if reason is not None:
                self._reject(reason)
            self._update_slot()

    def on_message_begin(self) -> None:
        """Handle the start of a request head."""
        self._has_had_request = True
        self._target = b''
        self._headers = []
        self._head_memory_bytes = 0
        self._record_progress()
        if not self._has_completed_message:
            self._unproductive_bytes = self._read_bytes
        self._head_started_s = self._last_activity_s

    def on_url(self, target: bytes) -> None:
        """Add a part of the request target."""
        self._target += target

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header field; trailer fields are dropped."""
        if self._head_started_s is not None:
            self._headers.append((name.lower(), text))
            self._head_memory_bytes += (
                len(name) + len(text) + _FIELD_MEMORY_BYTES
            )

    def on_headers_complete(self) -> None:
        """Check the head; start an exchange or queue it behind earlier ones."""
        self._head_started_s = None
        self._record_progress()
        if self._closing or self._is_over_limit:
            return
        if len(self._exchanges) >= _MAX_EXCHANGES:
            self._is_over_limit = True
            return
        head = RequestHead(
            self._parser.method,
            self._target,
            self._headers,
            self._parser.keeps_alive,
        )
        exchange = Exchange(
            head,
            self,
            self._port.settings.max_body_bytes,
            self._head_memory_bytes + len(self._target),
        )
        self._headers = []
        self._head_memory_bytes = 0
        self._receiving_exchange = exchange
        self._exchanges.append(exchange)
        if not self._may_use_memory():
            self._is_over_limit = True
            exchange.refuse_head(RefusalReason.CALLER_LIMIT)
        if self._parser.version != _HTTP_VERSION or is_malformed(head):
            exchange.fail_body(RefusalReason.MALFORMED_REQUEST)
        if asks_for_upgrade(head):
            exchange.fail_body(RefusalReason.UPGRADE_UNSUPPORTED)
        if _head_size(head) > self._port.settings.max_header_bytes:
            exchange.fail_body(RefusalReason.HEADERS_TOO_LARGE)
        if head.content_length == 0:
            exchange.end_body()
        if len(self._exchanges) > _MAX_PIPELINED_EXCHANGES:
            self.pause_or_resume_reading(paused=True)
        self._begin_exchanges()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the exchange."""
        self._record_progress()
        if self._receiving_exchange is not None:
            self._receiving_exchange.receive_body(body)

    def on_message_complete(self) -> None:
        """Notify the exchange of the end of the request."""
        self._record_progress()
        self._has_completed_message = True
        exchange = self._receiving_exchange
        self._receiving_exchange = None
        if exchange is not None:
            exchange.end_body()

    def write(self, wire: bytes) -> None:
        """Send bytes to the caller."""
        self._last_activity_s = self._port.clock.monotonic_s()
        self.transport.write(wire)
        if self._response_paused:
            self._unread_response_bytes += len(wire)
            if not self._may_use_memory():
                self._port.record_slow_reader()
                self.abort()

    def pause_or_resume_reading(self, *, paused: bool) -> None:
        """Pause or resume reading from the caller."""
        if paused == self._reading_paused:
            return
        if self._is_refused and not (paused or self._closing):
            return
        self._reading_paused = paused
        self._last_activity_s = self._port.clock.monotonic_s()
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def exchange_ended(self, *, reusable: bool) -> None:
        """Continue with the next request, or close if not reusable."""
        if self._exchanges:
            self._exchanges.popleft()
        if not reusable:
            self._close_after_response()
        elif not self._closing:
            queued = len(self._exchanges)
            self.pause_or_resume_reading(
                paused=queued > _MAX_PIPELINED_EXCHANGES
            )
            self._begin_exchanges()
        self._record_memory()
        self._update_slot()

    def abort(self) -> None:
        """Abort the connection."""
        self._closing = True
        self.transport.abortConnection()

    def close_if_idle(self, now_s: float) -> None:
        """Close the connection if no request is in progress.

        A connection that was used a moment ago stays open, since a request may
        be on its way, and a new one stays open for longer, since its first
        request is. So does one with unread bytes.
        """
        if self._exchanges or self._head_started_s is not None:
            return
        min_silence_s = (
            _MIN_SILENCE_S
            if self._has_had_request
            else _MIN_SILENCE_WITHOUT_REQUEST_S
        )
        is_silent = now_s - self._last_activity_s >= min_silence_s
        if is_silent and not is_readable(self.transport.fileno()):
            self._close()

    def check_timeouts(self, now_s: float) -> None:
        """Close the connection or refuse the request after a timeout."""
        silence_s = now_s - self._last_activity_s
        settings = self._port.settings
        if self._closing:
            self._check_close_time(now_s)
        elif self._head_started_s is not None:
            head_s = now_s - self._head_started_s
            self._check_head_time(head_s, settings.caller_silence_s)
        elif self._exchanges:
            self._check_exchange_silence(silence_s)
        elif silence_s > settings.caller_idle_s:
            self._close()

    def pauseProducing(self) -> None:
        """Pause the response because the caller reads too slowly."""
        self._response_paused = True
        if self._exchanges:
            self._exchanges[0].pause_response()

    def resumeProducing(self) -> None:
        """Resume the response because the caller reads again."""
        self._response_paused = False
        self._unread_response_bytes = 0
        self._last_activity_s = self._port.clock.monotonic_s()
        if self._closing:
            self.transport.unregisterProducer()
        elif self._exchanges:
            self._exchanges[0].resume_response()
            self._begin_exchanges()
        self._record_memory()

    def stopProducing(self) -> None:
        """Ignore; ``connectionLost`` handles the same event."""

    def _record_progress(self) -> None:
        self._unproductive_bytes = 0
        self._last_activity_s = self._port.clock.monotonic_s()

    def _discard(self, received_bytes: int) -> None:
        """Discard the rest of a request that has its response already."""
        self._last_activity_s = self._port.clock.monotonic_s()
        self._discarded_bytes += received_bytes
        if self._discarded_bytes > self._port.settings.max_body_bytes:
            self.abort()

    def _check_close_time(self, now_s: float) -> None:
        """Abort a closing connection after a silence, and always in the end."""
        max_silence_s = self._port.settings.caller_silence_s
        linger_s = max_silence_s if self._response_paused else _CLOSE_LINGER_S
        silence_s = now_s - self._last_activity_s
        closing_s = now_s - self._closing_since_s
        if silence_s > linger_s or closing_s > max(linger_s, max_silence_s):
            self.abort()

    def _check_head_time(self, head_s: float, max_head_s: float) -> None:
        if head_s > max_head_s:
            self._reject(RefusalReason.SLOW_CALLER)

    def _check_exchange_silence(self, silence_s: float) -> None:
        if silence_s <= self._port.settings.caller_silence_s:
            return
        if self._response_paused:
            self._port.record_slow_reader()
            self.abort()
        elif self._receiving_exchange is not None and not self._reading_paused:
            self._receiving_exchange.fail_body(RefusalReason.SLOW_CALLER)

    def _reject(self, reason: RefusalReason) -> None:
        """Refuse the request being received; read nothing more."""
        if self._closing or self._is_refused:
            return
        self._is_refused = True
        self._parser.close()
        self._headers = []
        self._target = b''
        self._head_memory_bytes = 0
        self._unproductive_bytes = 0
        self._head_started_s = None
        self.pause_or_resume_reading(paused=True)
        if self._receiving_exchange is not None:
            self._receiving_exchange.fail_body(reason)
            return
        head = RequestHead('', b'', [], keeps_alive=False)
        exchange = Exchange(head, self, 0)
        exchange.fail_body(reason)
        self._exchanges.append(exchange)
        self._begin_exchanges()

    def _begin_exchanges(self) -> None:
        """Begin the first exchange, and the next ones as far as these end.

        None begins while the caller does not read the responses before.
        """
        if self._is_beginning:
            return
        self._is_beginning = True
        while self._exchanges and not (self._closing or self._response_paused):
            if self._exchanges[0] is self._begun_exchange:
                break
            self._begun_exchange = self._exchanges[0]
            if not self._port.begin(self._begun_exchange):
                self.abort()
        self._is_beginning = False

    def _close_after_response(self) -> None:
        if self._receiving_exchange is None:
            self._close()
            return
        self._begin_closing()
        self.pause_or_resume_reading(paused=False)
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def _parse(self, received: bytes) -> RefusalReason | None:
        """Return why nothing more is read after these bytes, if so."""
        self._read_bytes = len(received)
        self._has_completed_message = False
        self._unproductive_bytes += len(received)
        parse_result = self._parser.feed(received)
        if parse_result.is_err():
            return _codec_refusal(parse_result.unwrap_err())
        if self._unproductive_bytes > self._port.settings.max_header_bytes:
            return RefusalReason.HEADERS_TOO_LARGE
        is_in_head = self._head_started_s is not None
        is_receiving = is_in_head or self._receiving_exchange is not None
        is_over_budget = not self._may_use_memory()
        if self._is_over_limit or (is_receiving and is_over_budget):
            return RefusalReason.CALLER_LIMIT
        return None

    def _may_use_memory(self) -> bool:
        self._record_memory()
        return self._port.memory.allows(self._memory_bytes)

    def _record_memory(self) -> None:
        if not self.transport.connected:
            return
        memory_bytes = (
            self._unproductive_bytes
            + self._head_memory_bytes
            + self._unread_response_bytes
            + sum(exchange.memory_bytes for exchange in self._exchanges)
        )
        self._port.memory.change(memory_bytes - self._memory_bytes)
        self._memory_bytes = memory_bytes

    def _update_slot(self) -> None:
        is_new = self._head_started_s is not None or not self._has_had_request
        if self._exchanges and not self._closing:
            is_complete = self._exchanges[0].body_ended
            state = (
                ConnectionState.BUSY
                if is_complete
                else ConnectionState.INCOMPLETE
            )
        elif is_new and not self._closing:
            state = ConnectionState.INCOMPLETE
        else:
            state = ConnectionState.IDLE
        if state is self._slot_state:
            return
        self._slot_state = state
        self._port.mark(self, state)

    def _begin_closing(self) -> None:
        self._closing = True
        self._closing_since_s = self._port.clock.monotonic_s()

    def _close(self) -> None:
        self._begin_closing()
        if not self._response_paused:
            self.transport.unregisterProducer()
        self.transport.loseConnection()


def _codec_refusal(error: CodecError) -> RefusalReason:
    if error is CodecError.UPGRADE:
        return RefusalReason.UPGRADE_UNSUPPORTED
    return RefusalReason.MALFORMED_REQUEST


def _head_size(head: RequestHead) -> int:
    fields = sum(len(name) + len(text) for name, text in head.headers)
    return len(head.target) + fields
