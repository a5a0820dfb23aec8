"""Probes: a backend server is asked for its load and its health."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol as Interface

from turmericpost.gateway.call_codec import CallCodec, ResponseInfo
from turmericpost.gateway.connections import ServerConnections
from turmericpost.http1.client import BackendConnection
from turmericpost.http1.heads import ResponseHead
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.limits import PROBE_TIMEOUT_S
from turmericpost_core.grants.permits import ReportedLoad
from turmericpost_core.outcome.ledger import AttemptEnd

_HEALTHY_STATUS = 200


class ProbeListener(Interface):
    """Takes what probes bring."""

    def record_probe(
        self,
        backend_id: str,
        reported_load: ReportedLoad | None,
        *,
        is_healthy: bool,
    ) -> None:
        """Take the answer to a probe."""

    def record_probe_failure(self, backend_id: str) -> None:
        """Learn that a probe got no answer."""


class BackendProber:
    """Sends probes and passes on their answers."""

    def __init__(
        self,
        reactor: Any,
        connections: ServerConnections,
        call_codec: CallCodec,
        health_path: Callable[[str], str],
    ) -> None:
        self.sent = 0
        self.taker: ProbeListener | None = None
        self._reactor = reactor
        self._connections = connections
        self._call_codec = call_codec
        self._health_path = health_path

    def send(self, backend: Backend) -> None:
        """Probe a server."""
        self.sent += 1
        path = self._health_path(backend.service)
        address = f'{backend.host}:{backend.port}'
        wire = self._call_codec.probe_head(path, address)
        probe = _Probe(self, backend, wire)
        timer = self._reactor.callLater(PROBE_TIMEOUT_S, probe.give_up)
        probe.begin(self._connections, timer)

    def ended(
        self,
        backend: Backend,
        connection: BackendConnection,
        head: ResponseHead,
    ) -> None:
        """Pass on an answer."""
        self._connections.give_back(backend.backend_id, connection)
        facts = self._call_codec.read_answer(head)
        if self.taker is None:
            return
        if _is_from(facts, backend):
            is_healthy = facts.status == _HEALTHY_STATUS
            self.taker.record_probe(
                backend.backend_id,
                facts.reported_load,
                is_healthy=is_healthy,
            )
        else:
            self._connections.drop(backend.backend_id)
            self.taker.record_probe_failure(backend.backend_id)

    def failed(self, backend: Backend) -> None:
        """Pass on that there is no answer."""
        if self.taker is not None:
            self.taker.record_probe_failure(backend.backend_id)


class _Probe:
    """One probe on its connection."""

    def __init__(
        self, probes: BackendProber, backend: Backend, wire: bytes
    ) -> None:
        self._probes = probes
        self._backend = backend
        self._wire = wire
        self._connection: BackendConnection | None = None
        self._head: ResponseHead | None = None
        self._is_over = False

    def begin(self, connections: ServerConnections, timer: Any) -> None:
        """Connect and send."""
        self._timer = timer
        self._forget = connections.connect(self._backend, self)

    def connected(self, connection: BackendConnection) -> None:
        """Send the probe."""
        if self._is_over:
            connection.close()
            return
        self._connection = connection
        connection.begin(self, to_head_request=False)
        connection.write(self._wire)

    def connect_failed(self, detail: str) -> None:
        """Fail."""
        self._fail()

    def give_up(self) -> None:
        """Fail after too long a time."""
        if self._connection is not None:
            self._connection.cancel()
        self._fail()

    def is_stale_response(self, head: ResponseHead) -> bool:
        """Return false: probes carry no id."""
        return False

    def response_head_received(self, head: ResponseHead) -> None:
        """Take the head."""
        self._head = head

    def response_body_received(self, body: bytes) -> None:
        """Ignore the body."""

    def response_complete(self) -> None:
        """Pass on the answer."""
        if self._connection is None or self._head is None or self._is_over:
            return
        self._end()
        self._probes.ended(self._backend, self._connection, self._head)

    def response_failed(self, end: AttemptEnd) -> None:
        """Fail."""
        self._fail()

    def pause_request(self) -> None:
        """Ignore: probes are small."""

    def resume_request(self) -> None:
        """Ignore: probes are small."""

    def _fail(self) -> None:
        if not self._is_over:
            self._end()
            self._probes.failed(self._backend)

    def _end(self) -> None:
        self._is_over = True
        if self._timer.active():
            self._timer.cancel()


def _is_from(facts: ResponseInfo, backend: Backend) -> bool:
    return facts.backend_id in {None, backend.backend_id}
