"""Updates over short streams: one VM says how far it is, the other answers.

A VM sends a bounded number of bytes at once and closes the streams beyond
them unanswered. Those ask again, the same VM or one that has the news by then,
so a large update does not fill a narrow link.
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
    encode_known,
    encode_update,
    read_known,
)
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.fleet.state import FleetState, FleetUpdate, KnownVersions
from turmericpost_core.membership.domain_view import Vm

STREAM_TIMEOUT_S = 1.0
"""Bound on a stream, connecting aside: five times as long as all that a VM
sends at once takes over a link of 5 Mbit/s."""

CONNECT_TIMEOUT_S = 0.5
"""Bound on connecting: thirty times the way between regions."""

MAX_SENDING_BYTES = 131_072
"""Bytes of answers under way at a time: a fifth of a second on 5 Mbit/s."""

BUSY_RETRY_S = 0.1
"""Pause before a VM that was busy is asked again: half of that time."""

MAX_CONCURRENT_FETCHES = 2
"""Fetches under way at a time: one may hang at a VM that is cut off."""

MAX_REQUEST_BYTES = 256
"""Largest request taken; a usual one has 20 bytes."""


class UpdateServer(Factory):
    """Sends whoever connects what came after the versions they name."""

    noisy = False

    def __init__(self, state: FleetState, reactor: Any) -> None:
        self.reactor = reactor
        self.sending_bytes = 0
        self._state = state
        self._encoded_updates: dict[KnownVersions, bytes] = {}
        self._encoded_versions = KnownVersions()

    def buildProtocol(self, addr: IAddress) -> Protocol:
        """Return the protocol of a new stream."""
        return _UpdateResponder(self)

    def has_room_for(self, answer_bytes: int) -> bool:
        """Return whether an answer may be sent now; one always may."""
        after_bytes = self.sending_bytes + answer_bytes
        return not self.sending_bytes or after_bytes <= MAX_SENDING_BYTES

    def encoded_update(self, known: KnownVersions) -> bytes:
        """Return the update for a VM, encoded once for all that ask alike."""
        if self._encoded_versions != self._state.versions:
            self._encoded_versions = self._state.versions
            self._encoded_updates.clear()
        wire = self._encoded_updates.get(known)
        if wire is None:
            wire = encode_update(self._state.update_since(known))
            self._encoded_updates[known] = wire
        return wire


class UpdateFetcher:
    """Fetches updates from other VMs, a few at a time."""

    def __init__(
        self,
        reactor: Any,
        on_update: Callable[[FleetUpdate, Vm], None],
        ended: Callable[[], None],
        on_busy: Callable[[Vm], None],
    ) -> None:
        self._reactor = reactor
        self._on_update = on_update
        self._ended = ended
        self._on_busy = on_busy
        self._in_flight: set[str] = set()

    def fetch(self, vm: Vm, known: KnownVersions) -> bool:
        """Fetch what came after some versions; false if there is no room."""
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
        """Take what came: ``None`` if the fetch failed, none if busy."""
        self._in_flight.discard(vm.name)
        if wire is None:
            log_event(LogEvent.UPDATE_FAILED, vm=vm.name)
        elif wire:
            self._handle_update(vm, wire)
        else:
            self._reactor.callLater(BUSY_RETRY_S, self._on_busy, vm)
        self._ended()

    def _handle_update(self, vm: Vm, wire: bytes) -> None:
        decoded = decode_update(wire)
        if decoded.is_err():
            detail = decoded.unwrap_err().detail
            log_event(LogEvent.UPDATE_FAILED, vm=vm.name, detail=detail)
        else:
            self._on_update(decoded.unwrap(), vm)


class _UpdateResponder(Protocol):
    """Answers one request, then closes."""

    def __init__(self, server: UpdateServer) -> None:
        self._server = server
        self._counted_bytes = 0
        self._request = msgpack.Unpacker(max_buffer_size=MAX_REQUEST_BYTES)

    def connectionMade(self) -> None:
        """Bound the time of the stream."""
        self._timer = self._server.reactor.callLater(
            STREAM_TIMEOUT_S,
            self.transport.abortConnection,
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Answer once the request is whole."""
        try:
            fields = self._unpack(data)
        except (ValueError, msgpack.exceptions.UnpackException):
            self.transport.abortConnection()
            return
        if fields is not None:
            self._respond(fields)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Make room for another stream."""
        self._server.sending_bytes -= self._counted_bytes
        if self._timer.active():
            self._timer.cancel()

    def _unpack(self, part: bytes) -> Any:
        """Return the fields of the request, ``None`` if it is not whole."""
        self._request.feed(part)
        return next(iter(self._request), None)

    def _respond(self, fields: Any) -> None:
        known = read_known(fields)
        if known.is_err():
            self.transport.abortConnection()
            return
        wire = self._server.encoded_update(known.unwrap())
        if self._server.has_room_for(len(wire)):
            self._counted_bytes = len(wire)
            self._server.sending_bytes += len(wire)
            self.transport.write(wire)
        self.transport.loseConnection()


class _UpdateReceiver(Protocol):
    """Sends one request and takes the answer until the stream ends."""

    def __init__(self, factory: _FetchFactory) -> None:
        self._factory = factory
        self._parts: list[bytes] = []
        self._bytes = 0

    def connectionMade(self) -> None:
        """Ask, and bound the time of the fetch."""
        self._timer = self._factory.reactor.callLater(
            STREAM_TIMEOUT_S,
            self.transport.abortConnection,
        )
        self.transport.write(encode_known(self._factory.known))

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Keep a part."""
        self._parts.append(data)
        self._bytes += len(data)
        if self._bytes > MAX_UPDATE_BYTES:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Hand over what came, if it is whole."""
        if self._timer.active():
            self._timer.cancel()
        is_whole = reason.check(ConnectionDone) is not None
        self._factory.ended(b''.join(self._parts) if is_whole else None)


class _FetchFactory(ClientFactory):
    noisy = False

    def __init__(
        self,
        fetches: UpdateFetcher,
        vm: Vm,
        known: KnownVersions,
        reactor: Any,
    ) -> None:
        self.known = known
        self.reactor = reactor
        self._fetches = fetches
        self._vm = vm

    def buildProtocol(self, addr: IAddress) -> Protocol:
        """Return the protocol of the opened stream."""
        return _UpdateReceiver(self)

    def clientConnectionFailed(
        self,
        connector: IConnector,
        reason: Failure,
    ) -> None:
        """Tell that the fetch failed."""
        self.ended(None)

    def ended(self, wire: bytes | None) -> None:
        """Tell how the fetch ended."""
        self._fetches.ended(self._vm, wire)
