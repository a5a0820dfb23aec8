"""A stream between two entry VMs, with its client and server factories."""

from __future__ import annotations

from typing import Any
from typing import Protocol as Interface

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import (
    ClientFactory,
    Factory,
    Protocol,
    connectionDone,
)
from twisted.python.failure import Failure

from turmericpost.observe.events import LogEvent, log_event
from turmericpost.peer.messages import (
    Greeting,
    PeerMessage,
    decode_message,
    encode_message,
    new_unpacker,
)
from turmericpost.peer.settings import PeerSettings
from turmericpost_core.limits.connection_slots import (
    ConnectionSlots,
    ConnectionState,
)
from turmericpost_core.limits.shared_memory_budget import SharedMemoryBudget
from turmericpost_core.membership.vm_records import VmIdentity


class StreamHost(Interface):
    """Receives the events of the peer streams."""

    def stream_opened(self, stream: PeerStream) -> None:
        """Handle a new stream."""

    def stream_closed(self, stream: PeerStream) -> None:
        """Handle the end of a stream."""

    def message_received(
        self,
        stream: PeerStream,
        message: PeerMessage,
    ) -> None:
        """Handle a message from the VM at the other end."""

    def bytes_sent(self, count: int) -> None:
        """Count bytes sent on peer streams."""

    def bytes_received(self, count: int) -> None:
        """Count bytes received on peer streams."""

    def connect_failed(self, name: str) -> None:
        """Handle a failed attempt to connect to a VM."""


class AcceptedStreams:
    """Limits of the streams that other VMs opened."""

    def __init__(self, max_streams: int, max_memory_bytes: int) -> None:
        self.slots = ConnectionSlots[PeerStream](max_streams)
        self.memory = SharedMemoryBudget(max_memory_bytes, max_streams)


class PeerStream(Protocol):
    """Protocol that exchanges typed messages with another entry VM.

    ``target_name`` is the name of the VM that this side connected to, or
    ``None`` if the other side connected; ``accepted`` limits such streams.
    """

    def __init__(
        self,
        host: StreamHost,
        target_name: str | None,
        accepted: AcceptedStreams | None = None,
    ) -> None:
        self.target_name = target_name
        self.remote: VmIdentity | None = None
        self._host = host
        self._accepted = accepted
        self._incomplete_bytes = 0
        self._unpacker: Any = new_unpacker()

    @property
    def remote_name(self) -> str | None:
        """Name of the VM at the other end, ``None`` until it is known."""
        return self.target_name if self.remote is None else self.remote.name

    def send(self, message: PeerMessage) -> None:
        """Encode and send a message."""
        wire = encode_message(message)
        self._host.bytes_sent(len(wire))
        self.transport.write(wire)

    def close(self) -> None:
        """Close the stream."""
        self.transport.loseConnection()

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm and report the new stream."""
        self.transport.setTcpNoDelay(True)
        if self._accepted is not None:
            closed_stream = self._accepted.slots.add(self)
            if closed_stream is not None:
                closed_stream.transport.abortConnection()
        self._host.stream_opened(self)

    def connectionLost(
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Report the end of the stream."""
        self._record_incomplete(0)
        if self._accepted is not None:
            self._accepted.slots.remove(self)
        self._host.stream_closed(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Decode messages; abort the stream at a malformed one."""
        self._host.bytes_received(len(data))
        try:
            self._unpack(data)
        except Exception as error:
            self._reject(type(error).__name__)

    def _unpack(self, received: bytes) -> None:
        self._unpacker.feed(received)
        self._record_incomplete(self._incomplete_bytes + len(received))
        for unpacked in self._unpacker:
            self._record_incomplete(0)
            decoded = decode_message(unpacked)
            if decoded.is_err():
                self._reject(decoded.unwrap_err().detail)
                return
            self._deliver(decoded.unwrap())
        accepted = self._accepted
        if accepted and not accepted.memory.allows(self._incomplete_bytes):
            self._reject('incomplete messages take too much memory')

    def _record_incomplete(self, incomplete_bytes: int) -> None:
        if self._accepted is not None:
            change_bytes = incomplete_bytes - self._incomplete_bytes
            self._accepted.memory.change(change_bytes)
        self._incomplete_bytes = incomplete_bytes

    def _deliver(self, message: PeerMessage) -> None:
        if isinstance(message, Greeting):
            self.remote = message.records[0].identity
            if self._accepted is not None:
                self._accepted.slots.mark(self, ConnectionState.BUSY)
        if self.remote is None:
            self._reject('no greeting')
        else:
            self._host.message_received(self, message)

    def _reject(self, detail: str) -> None:
        log_event(
            LogEvent.PEER_MESSAGE_MALFORMED,
            peer=str(self.transport.getPeer()),
            detail=detail,
        )
        self.transport.abortConnection()


class PeerServerFactory(Factory):
    """Accepts streams from other VMs."""

    noisy = False

    def __init__(self, host: StreamHost, accepted: AcceptedStreams) -> None:
        self._host = host
        self._accepted = accepted

    def buildProtocol(self, addr: IAddress) -> PeerStream:
        """Return the protocol of an accepted stream."""
        return PeerStream(self._host, None, self._accepted)


class PeerClientFactory(ClientFactory):
    """Opens a stream to another VM."""

    noisy = False

    def __init__(self, host: StreamHost, name: str) -> None:
        self._host = host
        self._name = name

    def buildProtocol(self, addr: IAddress) -> PeerStream:
        """Return the protocol of the opened stream."""
        return PeerStream(self._host, self._name)

    def clientConnectionFailed(
        self,
        connector: IConnector,
        reason: Failure,
    ) -> None:
        """Report the failed attempt to connect."""
        self._host.connect_failed(self._name)


def new_peer_server(
    host: StreamHost, settings: PeerSettings
) -> PeerServerFactory:
    """Return the protocol factory of the port for other VMs."""
    accepted = AcceptedStreams(
        settings.max_peer_streams, settings.max_peer_memory_bytes
    )
    return PeerServerFactory(host, accepted)
