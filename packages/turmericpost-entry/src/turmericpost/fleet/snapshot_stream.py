"""Snapshots over short streams: one VM asks, the other answers and closes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import (
    ClientFactory,
    Factory,
    Protocol,
    connectionDone,
)
from twisted.python.failure import Failure

from turmericpost.fleet.snapshot_codec import (
    decode_snapshot,
    encode_snapshot,
)
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.fleet.state import FleetSnapshot
from turmericpost_core.membership.domain_view import Vm

FETCH_TIMEOUT_S = 0.5
"""Bound on fetching a snapshot: thirty times the way between regions."""

_MAX_SNAPSHOT_MB = 16
_BYTES_PER_MB = 1_048_576


class SnapshotServer(Factory):
    """Sends the snapshot to whoever connects."""

    noisy = False

    def __init__(self, snapshot: Callable[[], FleetSnapshot]) -> None:
        self.snapshot = snapshot

    def buildProtocol(self, addr: IAddress) -> Protocol:
        """Return the protocol of a new stream."""
        return _Sending(self)


class SnapshotFetches:
    """Fetches snapshots, at most one at a time from a VM."""

    def __init__(
        self,
        reactor: Any,
        adopt: Callable[[FleetSnapshot, str], None],
    ) -> None:
        self._reactor = reactor
        self._adopt = adopt
        self._fetching: set[str] = set()

    def fetch(self, vm: Vm) -> None:
        """Fetch the snapshot of a VM unless that is being done."""
        if vm.name in self._fetching:
            return
        self._fetching.add(vm.name)
        self._reactor.connectTCP(
            vm.host,
            vm.peer_port,
            _FetchFactory(self, vm.name, self._reactor),
            timeout=FETCH_TIMEOUT_S,
        )

    def ended(self, name: str, wire: bytes | None) -> None:
        """Take what came, ``None`` if the fetch failed."""
        self._fetching.discard(name)
        if wire is None:
            log_event(LogEvent.SNAPSHOT_FAILED, vm=name)
            return
        decoded = decode_snapshot(wire)
        if decoded.is_err():
            detail = decoded.unwrap_err().detail
            log_event(LogEvent.SNAPSHOT_FAILED, vm=name, detail=detail)
        else:
            self._adopt(decoded.unwrap(), name)


class _Sending(Protocol):
    def __init__(self, server: SnapshotServer) -> None:
        self._server = server

    def connectionMade(self) -> None:
        """Send the snapshot and close."""
        self.transport.write(encode_snapshot(self._server.snapshot()))
        self.transport.loseConnection()


class _Fetching(Protocol):
    def __init__(self, factory: _FetchFactory) -> None:
        self._factory = factory
        self._parts: list[bytes] = []
        self._bytes = 0

    def connectionMade(self) -> None:
        """Bound the time of the fetch."""
        self._timer = self._factory.reactor.callLater(
            FETCH_TIMEOUT_S,
            self.transport.abortConnection,
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Keep a part."""
        self._parts.append(data)
        self._bytes += len(data)
        if self._bytes > _MAX_SNAPSHOT_MB * _BYTES_PER_MB:
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
        fetches: SnapshotFetches,
        name: str,
        reactor: Any,
    ) -> None:
        self.reactor = reactor
        self._fetches = fetches
        self._name = name

    def buildProtocol(self, addr: IAddress) -> Protocol:
        """Return the protocol of the opened stream."""
        return _Fetching(self)

    def clientConnectionFailed(
        self,
        connector: IConnector,
        reason: Failure,
    ) -> None:
        """Tell that the fetch failed."""
        self.ended(None)

    def ended(self, wire: bytes | None) -> None:
        """Tell how the fetch ended."""
        self._fetches.ended(self._name, wire)
