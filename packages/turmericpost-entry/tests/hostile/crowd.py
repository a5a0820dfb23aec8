"""Hostile callers: what they send, and clients that send it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

_CLOSE_WAIT_S = 1.0


@dataclass(frozen=True)
class Attack:
    """What each connection of a crowd sends.

    ``first`` is sent once, then ``repeated`` until ``sent_bytes`` are reached;
    if it is a function, it gets the number of the connection.
    Each of ``connections`` clients connects again until it has opened
    ``rounds`` connections. Connections that the VM does not close stay open
    until the crowd leaves. Clients with ``is_reading`` unset never read. If
    ``must_be_closed`` is set, what is sent never ends a request, so that the VM
    has to close all connections. If ``must_be_cut`` is set, it has to do so
    before a client has sent everything.
    """

    first: bytes | Callable[[int], bytes]
    repeated: bytes = b''
    sent_bytes: int = 0
    connections: int = 280
    rounds: int = 1
    is_reading: bool = True
    must_be_closed: bool = False
    must_be_cut: bool = False


class Crowd:
    """Clients that attack one address at the same time."""

    def __init__(
        self, reactor: Any, address: tuple[str, int], attack: Attack
    ) -> None:
        self.attack = attack
        self._reactor = reactor
        self._address = address
        self._busy: set[int] = set()
        self._left_rounds = dict.fromkeys(
            range(attack.connections), attack.rounds
        )
        self._open: set[_HostileClient] = set()
        self._has_left = False
        self.complete_count = 0
        self._opened_count = 0

    @property
    def has_ended(self) -> bool:
        """Whether all clients have sent everything or were turned away."""
        return not self._busy

    def begin(self) -> None:
        """Open the first connection of each client."""
        for number in self._left_rounds:
            self._connect(number)

    def leave(self) -> None:
        """Abort all connections."""
        self._has_left = True
        for client in tuple(self._open):
            client.transport.abortConnection()

    def opened(self, client: _HostileClient) -> bytes:
        """Register a connection that has opened; return what it sends first."""
        self._open.add(client)
        self._opened_count += 1
        first = self.attack.first
        return first(self._opened_count) if callable(first) else first

    def finished(self, number: int) -> None:
        """Handle a client that has sent everything.

        If it has more connections to open, the VM may close this one soon. One
        that must be closed is waited for.
        """
        self.complete_count += 1
        if self.attack.must_be_closed:
            return
        left_rounds = self._left_rounds[number]
        if left_rounds:
            self._reactor.callLater(
                _CLOSE_WAIT_S, self._stay, number, left_rounds
            )
        else:
            self._busy.discard(number)

    def closed(self, number: int, client: _HostileClient | None) -> None:
        """Handle a connection that was closed or failed to open."""
        if client is not None:
            self._open.discard(client)
        self._busy.discard(number)
        if self._left_rounds[number] and not self._has_left:
            self._connect(number)

    def _stay(self, number: int, left_rounds: int) -> None:
        if self._left_rounds[number] == left_rounds:
            self._busy.discard(number)

    def _connect(self, number: int) -> None:
        self._left_rounds[number] -= 1
        self._busy.add(number)
        self._reactor.connectTCP(
            *self._address, _HostileFactory(self, number), timeout=10
        )


class _HostileFactory(ClientFactory):
    noisy = False

    def __init__(self, crowd: Crowd, number: int) -> None:
        self._crowd = crowd
        self._number = number

    def buildProtocol(self, addr: Any) -> _HostileClient:
        return _HostileClient(self._crowd, self._number)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._crowd.closed(self._number, None)


@implementer(IHalfCloseableProtocol)
class _HostileClient(Protocol):
    def __init__(self, crowd: Crowd, number: int) -> None:
        self._crowd = crowd
        self._number = number
        self._left_bytes = crowd.attack.sent_bytes

    def connectionMade(self) -> None:
        first = self._crowd.opened(self)
        if not self._crowd.attack.is_reading:
            self.transport.pauseProducing()
        self.transport.write(first)
        self.transport.registerProducer(self, False)

    def connectionLost(self, reason: Failure) -> None:
        self._crowd.closed(self._number, self)

    def readConnectionLost(self) -> None:
        """Send on after the VM has closed its side, until there is no more."""
        if self._left_bytes <= 0:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Ignore; this side is never closed alone."""

    def resumeProducing(self) -> None:
        """Send the next part, as the last one has been sent."""
        if self._left_bytes <= 0:
            self.transport.unregisterProducer()
            self._crowd.finished(self._number)
            return
        repeated = self._crowd.attack.repeated
        self._left_bytes -= len(repeated)
        self.transport.write(repeated)

    def stopProducing(self) -> None:
        """Ignore; the connection has ended."""
