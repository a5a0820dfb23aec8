"""State updates over short TCP streams.

A client sends the versions it knows and receives the update since then. The
server limits how many bytes are being sent at a time, so that large updates do
not fill a slow link. Beyond the limit it closes streams without a response, and
the client retries with this VM or another one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgpack
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import (
    ClientFactory,
    Factory,
    Protocol,
    connectionDone,
)
from twisted.python.failure import Failure

from turmericpost.fleet.update_codec import (
    MAX_UPDATE_BYTES,
    decode_update,
    encode_update,
    encode_update_request,
    parse_update_request,
)
from turmericpost.observe.events import log_failure
from turmericpost_core.fleet.state import FleetState, FleetUpdate, KnownVersions
from turmericpost_core.fleet.state_lag import BUSY
from turmericpost_core.limits.connection_slots import (
    ConnectionSlots,
    ConnectionState,
)
from turmericpost_core.membership.domain_view import Vm

STREAM_TIMEOUT_S = 1.0
"""Timeout of a stream, from its opening to its end.

Five times the time to send ``MAX_SENDING_BYTES`` over a link of 5 Mbit/s.
"""

CONNECT_TIMEOUT_S = 0.5
"""Timeout of connecting: thirty times the latency between regions."""

MAX_SENDING_BYTES = 131_072
"""Maximum size of all updates being sent: a fifth of a second at 5 Mbit/s."""

BUSY_RETRY_S = 0.1
"""Pause before a retry with a busy VM.

Half the time to send ``MAX_SENDING_BYTES`` at 5 Mbit/s.
"""

MAX_CONCURRENT_FETCHES = 2
"""Maximum number of concurrent fetches.

More than one, because one may be waiting for an unreachable VM.
"""

MAX_CACHED_UPDATES = 16
"""Maximum number of encoded updates that are kept: other VMs usually have one
of the last few versions."""

MAX_REQUEST_BYTES = 256
"""Maximum size of a request; a usual one has 20 bytes."""


class UpdateServer(Factory):
    """Serves state updates to other VMs.

    ``on_failure`` is called after an update could not be encoded. Its stream is
    aborted, so that the other VM does not take this one for busy. Beyond
    ``max_streams`` the oldest one without a request is aborted.
    """

    noisy = False

    def __init__(
        self,
        state: FleetState,
        reactor: Any,
        on_failure: Callable[[], None],
        max_streams: int,
    ) -> None:
        self.reactor = reactor
        self.on_failure = on_failure
        self.sending_bytes = 0
        self.streams = ConnectionSlots[_UpdateResponder](max_streams)
        self._state = state
        self._encoded_updates: dict[KnownVersions, bytes] = {}
        self._encoded_basis = (KnownVersions(), True)

    def buildProtocol(self, addr: IAddress) -> Protocol:
        """Return the protocol of a new stream."""
        return _UpdateResponder(self)

    def has_room_for(self, update_bytes: int) -> bool:
        """Return whether an update of this size may be sent now.

        The limit is ``MAX_SENDING_BYTES``; a single update may exceed it.
        """
        total_bytes = self.sending_bytes + update_bytes
        return not self.sending_bytes or total_bytes <= MAX_SENDING_BYTES

    def encoded_update(self, known: KnownVersions) -> bytes:
        """Return the encoded update since the known versions.

        Up to ``MAX_CACHED_UPDATES`` are cached until the state changes.
        """
        basis = (self._state.versions, self._state.directory.is_settled)
        if self._encoded_basis != basis:
            self._encoded_basis = basis
            self._encoded_updates.clear()
        wire = self._encoded_updates.get(known)
        if wire is None:
            wire = encode_update(self._state.update_since(known))
            if len(self._encoded_updates) >= MAX_CACHED_UPDATES:
                self._encoded_updates.clear()
            self._encoded_updates[known] = wire
        return wire


class UpdateFetcher:
    """Fetches updates from other VMs, a limited number at a time.

    ``on_update`` gets each update, ``on_busy`` a VM that was busy,
    ``on_failure`` the VM, cause and detail of a failure, and ``on_end`` is
    called at the end of each fetch.
    """

    def __init__(
        self,
        reactor: Any,
        on_update: Callable[[FleetUpdate, Vm], None],
        on_end: Callable[[], None],
        on_busy: Callable[[Vm], None],
        on_failure: Callable[[Vm, str, str], None],
    ) -> None:
        self._reactor = reactor
        self._on_update = on_update
        self._on_end = on_end
        self._on_busy = on_busy
        self._on_failure = on_failure
        self._in_flight: set[str] = set()

    def fetch(self, vm: Vm, known: KnownVersions) -> bool:
        """Start fetching the update since the known versions from a VM.

        Does nothing if a fetch from this VM is in progress. Returns false if
        ``MAX_CONCURRENT_FETCHES`` fetches from other VMs are in progress.
        """
        if vm.name in self._in_flight:
            return True
        if len(self._in_flight) >= MAX_CONCURRENT_FETCHES:
            return False
        self._in_flight.add(vm.name)
        self._reactor.connectTCP(
            vm.host,
            vm.peer_port,
            _FetchFactory(self, vm, known, self._reactor),
            timeout=CONNECT_TIMEOUT_S,
        )
        return True

    def ended(self, vm: Vm, wire: bytes | None) -> None:
        """Handle the end of a fetch.

        ``wire`` is the received update, ``None`` if the fetch failed, and
        empty if the VM was busy.
        """
        self._in_flight.discard(vm.name)
        if wire is None:
            self._on_failure(vm, 'incomplete', '')
        elif wire:
            self._handle_update(vm, wire)
        else:
            self._on_failure(vm, BUSY, '')
            self._reactor.callLater(BUSY_RETRY_S, self._on_busy, vm)
        self._on_end()

    def _handle_update(self, vm: Vm, wire: bytes) -> None:
        decoded = decode_update(wire)
        if decoded.is_err():
            detail = decoded.unwrap_err().detail
            self._on_failure(vm, 'malformed', detail)
        else:
            self._on_update(decoded.unwrap(), vm)


class _UpdateResponder(Protocol):
    """Server side of a stream: responds to one request, then closes."""

    def __init__(self, server: UpdateServer) -> None:
        self._server = server
        self._own_sending_bytes = 0
        self._request = msgpack.Unpacker(max_buffer_size=MAX_REQUEST_BYTES)

    def connectionMade(self) -> None:
        """Start the timeout of the stream; abort another one if need be."""
        self._timer = self._server.reactor.callLater(
            STREAM_TIMEOUT_S,
            self.transport.abortConnection,
        )
        closed_stream = self._server.streams.add(self)
        if closed_stream is not None:
            closed_stream.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Respond once the request is complete."""
        try:
            fields = self._unpack(data)
        except (ValueError, msgpack.exceptions.UnpackException):
            self.transport.abortConnection()
            return
        if fields is not None:
            self._server.streams.mark(self, ConnectionState.BUSY)
            self._respond(fields)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Subtract the bytes of this stream from those being sent."""
        self._server.streams.remove(self)
        self._server.sending_bytes -= self._own_sending_bytes
        if self._timer.active():
            self._timer.cancel()

    def _unpack(self, part: bytes) -> Any:
        """Return the fields of the request, ``None`` if it is incomplete."""
        self._request.feed(part)
        return next(iter(self._request), None)

    def _respond(self, fields: Any) -> None:
        known = parse_update_request(fields)
        if known.is_err():
            self.transport.abortConnection()
            return
        try:
            wire = self._server.encoded_update(known.unwrap())
        except Exception:
            log_failure(Failure())
            self._server.on_failure()
            self.transport.abortConnection()
            return
        if self._server.has_room_for(len(wire)):
            self._own_sending_bytes = len(wire)
            self._server.sending_bytes += len(wire)
            self.transport.write(wire)
        self.transport.loseConnection()


class _UpdateReceiver(Protocol):
    """Client side of a stream: sends one request, collects the update."""

    def __init__(self, factory: _FetchFactory) -> None:
        self._factory = factory
        self._received_parts: list[bytes] = []
        self._received_bytes = 0

    def connectionMade(self) -> None:
        """Start the timeout and send the request."""
        self._timer = self._factory.reactor.callLater(
            STREAM_TIMEOUT_S,
            self.transport.abortConnection,
        )
        self.transport.write(encode_update_request(self._factory.known))

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Store a part of the update; abort the stream if it is too large."""
        self._received_parts.append(data)
        self._received_bytes += len(data)
        if self._received_bytes > MAX_UPDATE_BYTES:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the received update, or a failure if it may be incomplete."""
        if self._timer.active():
            self._timer.cancel()
        is_complete = reason.check(ConnectionDone) is not None
        self._factory.ended(
            b''.join(self._received_parts) if is_complete else None
        )


class _FetchFactory(ClientFactory):
    noisy = False

    def __init__(
        self,
        fetcher: UpdateFetcher,
        vm: Vm,
        known: KnownVersions,
        reactor: Any,
    ) -> None:
        self.known = known
        self.reactor = reactor
        self._fetcher = fetcher
        self._vm = vm

    def buildProtocol(self, addr: IAddress) -> Protocol:
        """Return the protocol of the opened stream."""
        return _UpdateReceiver(self)

    def clientConnectionFailed(
        self,
        connector: IConnector,
        reason: Failure,
    ) -> None:
        """Report that the fetch failed."""
        self.ended(None)

    def ended(self, wire: bytes | None) -> None:
        """Report the end of the fetch."""
        self._fetcher.ended(self._vm, wire)
