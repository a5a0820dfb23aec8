"""Membership protocol: heartbeats over streams to a few neighbours."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from turmericpost.observe.events import LogEvent, log_event
from turmericpost.observe.metrics import Metrics
from turmericpost.peer.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Greeting,
    Heartbeat,
    PeerMessage,
)
from turmericpost.peer.stream import PeerClientFactory, PeerStream
from turmericpost_core.clock import Clock
from turmericpost_core.config.apply_records import Configuration
from turmericpost_core.membership.view import (
    MembershipSettings,
    MembershipView,
)
from turmericpost_core.membership.vm_records import VmRecord, VmState


@dataclass(frozen=True)
class PeerCallbacks:
    """Callbacks of the peer service to the rest of the VM.

    ``current_configuration`` returns the configuration in force, and
    ``has_gap`` whether this VM missed records of the configuration log.
    ``adopt`` gets configurations from peers.
    """

    current_configuration: Callable[[], Configuration]
    has_gap: Callable[[], bool]
    adopt: Callable[[Configuration], None]
    snapshot_requested: Callable[[], None]
    view_changed: Callable[[], None]


class PeerService:
    """Maintains the membership view of this VM and its peer streams."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        view: MembershipView,
        callbacks: PeerCallbacks,
        metrics: Metrics,
    ) -> None:
        self.view = view
        self._reactor = reactor
        self._clock = clock
        self._callbacks = callbacks
        self._metrics = metrics
        self._streams: set[PeerStream] = set()
        self._connecting: set[str] = set()
        self._absent_attempts = 0

    def heartbeat_round(self) -> None:
        """Detect lost neighbours, connect to neighbours and send heartbeats.

        Each round also connects to one of the VMs that are listed but lost or
        without a record, in turn.
        """
        now_s = self._clock.monotonic_s()
        neighbours = self.view.neighbours()
        self.view.monitor(neighbours, now_s)
        if self.view.mark_silent_lost(now_s):
            self._view_changed()
            neighbours = self.view.neighbours()
        for name in (*neighbours, *self._next_absent_vm()):
            self._connect(name)
        self._close_unneeded(frozenset(neighbours))
        self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Send one heartbeat to every VM that has an open stream."""
        own, *records = self.view.next_records()
        heartbeat = Heartbeat(
            own.incarnation,
            own.refutation,
            own.state,
            own.revision,
            tuple(records),
        )
        sent_to: set[str | None] = set()
        for stream in tuple(self._streams):
            name = stream.remote_name
            if name is None or name not in sent_to:
                sent_to.add(name)
                stream.send(heartbeat)
        self.view.heartbeat_sent()

    def set_own_state(self, state: VmState, revision: int) -> None:
        """Update the membership record of this VM and send it at once."""
        self.view.set_own_state(state, revision)
        self.send_heartbeats()

    def close(self) -> None:
        """Close every stream."""
        for stream in tuple(self._streams):
            stream.close()

    def stream_opened(self, stream: PeerStream) -> None:
        """Send the greeting with all membership records."""
        self._streams.add(stream)
        if stream.target_name is not None:
            self._connecting.discard(stream.target_name)
        stream.send(Greeting(self.view.all_records()))

    def stream_closed(self, stream: PeerStream) -> None:
        """Remove a closed stream."""
        self._streams.discard(stream)

    def connect_failed(self, name: str) -> None:
        """Remove a VM from those being connected to.

        A later round then retries the connection.
        """
        self._connecting.discard(name)

    def message_received(
        self,
        stream: PeerStream,
        message: PeerMessage,
    ) -> None:
        """Handle a message from the VM at the other end of the stream."""
        if isinstance(message, Greeting):
            self._records_received(stream, message.records)
        elif isinstance(message, Heartbeat):
            self._heartbeat_received(stream, message)
        elif isinstance(message, ConfigurationRequest):
            self._send_configuration(stream, message)
        else:
            self._callbacks.adopt(message.configuration)

    def bytes_sent(self, count: int) -> None:
        """Count bytes sent on peer streams."""
        self._metrics.peer_bytes_sent += count

    def bytes_received(self, count: int) -> None:
        """Count bytes received on peer streams."""
        self._metrics.peer_bytes_received += count

    def _heartbeat_received(
        self,
        stream: PeerStream,
        heartbeat: Heartbeat,
    ) -> None:
        if stream.remote is not None:
            sender_record = heartbeat.sender_record(stream.remote)
            self._records_received(stream, (sender_record, *heartbeat.records))

    def _records_received(
        self,
        stream: PeerStream,
        records: tuple[VmRecord, ...],
    ) -> None:
        sender_record = records[0]
        changed = self.view.record_heartbeat(
            sender_record.identity.name,
            records,
            self._clock.monotonic_s(),
        )
        revision = self._callbacks.current_configuration().revision
        has_gap = self._callbacks.has_gap()
        if has_gap or sender_record.revision > revision:
            stream.send(ConfigurationRequest(revision, has_gap))
        if changed:
            self._view_changed()
            self.send_heartbeats()

    def _send_configuration(
        self,
        stream: PeerStream,
        request: ConfigurationRequest,
    ) -> None:
        """Send the configuration if it is newer than that of the peer.

        If the peer missed records, a snapshot is requested, too.
        """
        current_configuration = self._callbacks.current_configuration()
        if current_configuration.revision > request.revision:
            stream.send(ConfigurationReply(current_configuration))
        if request.has_gap:
            self._callbacks.snapshot_requested()

    def _connect(self, name: str) -> None:
        if name in self._connecting or self._is_connected(name):
            return
        host, _, port = name.rpartition(':')
        self._connecting.add(name)
        self._reactor.connectTCP(host, int(port), PeerClientFactory(self, name))

    def _is_connected(self, name: str) -> bool:
        return any(stream.remote_name == name for stream in self._streams)

    def _next_absent_vm(self) -> tuple[str, ...]:
        absent = self.view.listed_but_absent()
        if not absent:
            return ()
        self._absent_attempts += 1
        return (absent[self._absent_attempts % len(absent)],)

    def _close_unneeded(self, neighbours: frozenset[str]) -> None:
        kept_names: set[str] = set()
        for stream in sorted(self._streams, key=_target_name):
            name = stream.remote_name
            if stream.target_name is None or name is None:
                continue
            if name in kept_names or name not in neighbours:
                stream.close()
            kept_names.add(name)

    def _view_changed(self) -> None:
        self._callbacks.view_changed()
        live = self.view.live()
        log_event(
            LogEvent.VIEW_CHANGED,
            live=[record.identity.name for record in live],
        )


def new_peer_service(
    reactor: Any,
    clock: Clock,
    own: VmRecord,
    lost_after_s: float,
    callbacks: PeerCallbacks,
    metrics: Metrics,
) -> PeerService:
    """Return a peer service whose view contains only this VM."""
    view = MembershipView(own, MembershipSettings(lost_after_s=lost_after_s))
    return PeerService(reactor, clock, view, callbacks, metrics)


def _target_name(stream: PeerStream) -> str:
    return stream.target_name or ''
