"""Probes of the load and health of backend servers."""

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
    """Receives the results of probes."""

    def record_probe(
        self,
        backend_id: str,
        reported_load: ReportedLoad | None,
        *,
        is_healthy: bool,
    ) -> None:
        """Handle the response to a probe.

        ``reported_load`` is ``None`` if the response contains no load report.
        """

    def record_statements(self, backend: Backend, info: ResponseInfo) -> None:
        """Handle what a backend server states in its response."""

    def record_probe_failure(self, backend_id: str) -> None:
        """Handle a probe that got no response of the probed backend server."""


class BackendProber:
    """Sends probes and passes their results to a listener."""

    def __init__(
        self,
        reactor: Any,
        connections: ServerConnections,
        call_codec: CallCodec,
        health_path: Callable[[str], str],
    ) -> None:
        self.probes_sent = 0
        self.listener: ProbeListener | None = None
        self._reactor = reactor
        self._connections = connections
        self._call_codec = call_codec
        self._health_path = health_path

    def send(self, backend: Backend) -> None:
        """Send a probe to the health path of a backend server."""
        self.probes_sent += 1
        path = self._health_path(backend.service)
        address = f'{backend.host}:{backend.port}'
        wire = self._call_codec.probe_head(path, address)
        probe = _Probe(self, backend, wire)
        timer = self._reactor.callLater(PROBE_TIMEOUT_S, probe.time_out)
        probe.begin(self._connections, timer)

    def is_stale_response(self, head: ResponseHead) -> bool:
        """Return whether a response has the request id of a call."""
        return self._call_codec.is_stale_response(head, '')

    def probe_completed(
        self,
        backend: Backend,
        connection: BackendConnection,
        head: ResponseHead,
    ) -> None:
        """Pass the response to the listener.

        A response that names another backend server counts as a failure.
        """
        self._connections.release_connection(backend.backend_id, connection)
        info = self._call_codec.read_response(head)
        if self.listener is None:
            return
        if _is_from_backend(info, backend):
            self.listener.record_statements(backend, info)
            if info.is_leaving:
                self._connections.close_idle(backend.backend_id)
            is_healthy = info.status == _HEALTHY_STATUS
            self.listener.record_probe(
                backend.backend_id,
                info.reported_load,
                is_healthy=is_healthy,
            )
        else:
            self._connections.close_idle(backend.backend_id)
            self.listener.record_probe_failure(backend.backend_id)

    def probe_failed(self, backend: Backend) -> None:
        """Report to the listener that a probe got no response."""
        if self.listener is not None:
            self.listener.record_probe_failure(backend.backend_id)


class _Probe:
    """One probe, from connecting to its response or timeout."""

    def __init__(
        self, prober: BackendProber, backend: Backend, wire: bytes
    ) -> None:
        self._prober = prober
        self._backend = backend
        self._request = wire
        self._connection: BackendConnection | None = None
        self._head: ResponseHead | None = None
        self._is_finished = False

    def begin(self, connections: ServerConnections, timer: Any) -> None:
        """Connect to the backend server and send the probe."""
        self._timer = timer
        self._abandon_connect = connections.connect(self._backend, self)

    def connected(self, connection: BackendConnection) -> None:
        """Write the probe on the opened connection."""
        if self._is_finished:
            connection.close()
            return
        self._connection = connection
        connection.begin(self, to_head_request=False)
        connection.write(self._request)

    def connect_failed(self, detail: str) -> None:
        """Report the probe as failed, since there is no connection."""
        self._fail()

    def time_out(self) -> None:
        """Close the connection and report the probe as failed."""
        if self._connection is not None:
            self._connection.cancel()
        self._fail()

    def is_stale_response(self, head: ResponseHead) -> bool:
        """Return whether the response belongs to an earlier call."""
        return self._prober.is_stale_response(head)

    def response_head_received(self, head: ResponseHead) -> None:
        """Store the head of the response."""
        self._head = head

    def response_body_received(self, body: bytes) -> None:
        """Ignore the body: the head contains the load report."""

    def response_complete(self) -> None:
        """Pass the complete response to the prober."""
        if self._connection is None or self._head is None or self._is_finished:
            return
        self._finish()
        self._prober.probe_completed(
            self._backend, self._connection, self._head
        )

    def response_failed(self, end: AttemptEnd) -> None:
        """Report the probe as failed, since there is no complete response."""
        self._fail()

    def pause_request(self) -> None:
        """Do nothing: a probe is too small to need flow control."""

    def resume_request(self) -> None:
        """Do nothing: a probe is too small to need flow control."""

    def _fail(self) -> None:
        if not self._is_finished:
            self._finish()
            self._prober.probe_failed(self._backend)

    def _finish(self) -> None:
        self._is_finished = True
        if self._timer.active():
            self._timer.cancel()


def _is_from_backend(info: ResponseInfo, backend: Backend) -> bool:
    return info.backend_id in {None, backend.backend_id}
