"""Membership of this VM: heartbeats over streams to a few neighbours."""

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
    """What the rest of the VM gives to and takes from the peers."""

    current: Callable[[], Configuration]
    has_gap: Callable[[], bool]
    adopt: Callable[[Configuration], None]
    snapshot_requested: Callable[[], None]
    view_changed: Callable[[], None]


class PeerService:
    """Keeps the membership view of this VM up to date."""

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
        self._dialling: set[str] = set()
        self._absent_tries = 0

    def heartbeat_round(self) -> None:
        """Note silence, dial neighbours and send heartbeats."""
        now_s = self._clock.monotonic_s()
        neighbours = self.view.neighbours()
        self.view.monitor(neighbours, now_s)
        if self.view.mark_silent_lost(now_s):
            self._view_changed()
            neighbours = self.view.neighbours()
        for name in (*neighbours, *self._next_absent()):
            self._dial(name)
        self._close_unneeded(frozenset(neighbours))
        self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Send one heartbeat to every VM a stream leads to."""
        own, *records = self.view.next_records()
        heartbeat = Heartbeat(
            own.incarnation,
            own.refutation,
            own.state,
            own.revision,
            tuple(records),
        )
        reached: set[str | None] = set()
        for stream in tuple(self._streams):
            name = stream.remote_name
            if name is None or name not in reached:
                reached.add(name)
                stream.send(heartbeat)
        self.view.heartbeat_sent()

    def set_own_state(self, state: VmState, revision: int) -> None:
        """Change what this VM says of itself and tell it at once."""
        self.view.set_own_state(state, revision)
        self.send_heartbeats()

    def close(self) -> None:
        """Close every stream."""
        for stream in tuple(self._streams):
            stream.close()

    def stream_opened(self, stream: PeerStream) -> None:
        """Greet with everything known."""
        self._streams.add(stream)
        if stream.dialled is not None:
            self._dialling.discard(stream.dialled)
        stream.send(Greeting(self.view.all_records()))

    def stream_closed(self, stream: PeerStream) -> None:
        """Forget the stream."""
        self._streams.discard(stream)

    def dial_failed(self, name: str) -> None:
        """Allow another try."""
        self._dialling.discard(name)

    def message_received(
        self,
        stream: PeerStream,
        message: PeerMessage,
    ) -> None:
        """Act on a message of a peer."""
        if isinstance(message, Greeting):
            self._records_received(stream, message.records)
        elif isinstance(message, Heartbeat):
            self._heartbeat_received(stream, message)
        elif isinstance(message, ConfigurationRequest):
            self._reply(stream, message)
        else:
            self._callbacks.adopt(message.configuration)

    def bytes_sent(self, count: int) -> None:
        """Count control bytes sent."""
        self._metrics.peer_bytes_sent += count

    def bytes_received(self, count: int) -> None:
        """Count control bytes received."""
        self._metrics.peer_bytes_received += count

    def _heartbeat_received(
        self,
        stream: PeerStream,
        heartbeat: Heartbeat,
    ) -> None:
        if stream.remote is not None:
            sender = heartbeat.sender(stream.remote)
            self._records_received(stream, (sender, *heartbeat.records))

    def _records_received(
        self,
        stream: PeerStream,
        records: tuple[VmRecord, ...],
    ) -> None:
        sender = records[0]
        changed = self.view.record_heartbeat(
            sender.identity.name,
            records,
            self._clock.monotonic_s(),
        )
        revision = self._callbacks.current().revision
        has_gap = self._callbacks.has_gap()
        if has_gap or sender.revision > revision:
            stream.send(ConfigurationRequest(revision, has_gap))
        if changed:
            self._view_changed()
            self.send_heartbeats()

    def _reply(
        self,
        stream: PeerStream,
        request: ConfigurationRequest,
    ) -> None:
        """Send a newer configuration, and help to close a gap."""
        current = self._callbacks.current()
        if current.revision > request.revision:
            stream.send(ConfigurationReply(current))
        if request.has_gap:
            self._callbacks.snapshot_requested()

    def _dial(self, name: str) -> None:
        if name in self._dialling or self._has_stream(name):
            return
        host, _, port = name.rpartition(':')
        self._dialling.add(name)
        self._reactor.connectTCP(host, int(port), PeerClientFactory(self, name))

    def _has_stream(self, name: str) -> bool:
        return any(stream.remote_name == name for stream in self._streams)

    def _next_absent(self) -> tuple[str, ...]:
        absent = self.view.listed_but_absent()
        if not absent:
            return ()
        self._absent_tries += 1
        return (absent[self._absent_tries % len(absent)],)

    def _close_unneeded(self, neighbours: frozenset[str]) -> None:
        kept: set[str] = set()
        for stream in sorted(self._streams, key=_dialled_name):
            name = stream.remote_name
            if stream.dialled is None or name is None:
                continue
            if name in kept or name not in neighbours:
                stream.close()
            kept.add(name)

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
    """Return the service of a VM that knows only itself."""
    view = MembershipView(own, MembershipSettings(lost_after_s=lost_after_s))
    return PeerService(reactor, clock, view, callbacks, metrics)


def _dialled_name(stream: PeerStream) -> str:
    return stream.dialled or ''
