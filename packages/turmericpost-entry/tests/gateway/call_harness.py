"""Harness for one call on in-memory transports; the test grants permits."""

from __future__ import annotations

from typing import Any

from twisted.internet.testing import MemoryReactorClock

from tests.harness import FakeClock, FakeTransport
from turmericpost.gateway.attempt import AttemptDependencies
from turmericpost.gateway.call import GatewayCall
from turmericpost.gateway.call_codec import ResponseInfo
from turmericpost.gateway.permit_acquirer import CallContext
from turmericpost.gateway.permit_client import Permit, PermitCriteria
from turmericpost.gateway.refusals import Refusal
from turmericpost.http1.client import BackendConnection
from turmericpost.http1.server import CallerPort
from turmericpost.http1.settings import CallerSettings
from turmericpost.platform.call_headers import PlatformCallCodec
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.fleet.operator_config import OperatorRoute, SplitPart
from turmericpost_core.grants.permits import AttemptOutcome, AttemptReport
from turmericpost_core.grants.rate_limits import RateLimitStatement

TIMEOUT_S = 2.0
EXPECTED_S = 0.2


def backend(number: int) -> Backend:
    return Backend(
        f'b{number}',
        'press',
        '10.0.0.1',
        8000 + number,
        'nasr',
        3,
        is_draining=False,
        cold_left_s=0,
        started_ms=1,
    )


class FakeConnections:
    """Connections on fake transports; the test sends the server's bytes."""

    def __init__(self) -> None:
        self.opened: list[BackendConnection] = []
        self.released: list[BackendConnection] = []
        self.closed_idle: list[str] = []
        self.refuses_connections = False
        self.delays_connections = False
        self._pending_listeners: list[Any] = []

    def connect(self, _backend: Backend, listener: Any, _idle_s: float) -> Any:
        if self.refuses_connections:
            listener.connect_failed('ConnectionRefusedError')
            return lambda: None
        self._pending_listeners.append(listener)
        if not self.delays_connections:
            self.open_pending()
        return lambda: None

    def open_pending(self) -> None:
        """Open the connections that were delayed."""
        while self._pending_listeners:
            connection = BackendConnection(accepts_unframed=True)
            connection.makeConnection(FakeTransport())
            self.opened.append(connection)
            self._pending_listeners.pop(0).connected(connection)

    def release_connection(
        self, _backend_id: str, released: BackendConnection
    ) -> None:
        if released.is_usable:
            self.released.append(released)

    def close_idle(self, backend_id: str) -> None:
        self.closed_idle.append(backend_id)


class CallHarness:
    """A VM with one caller; the test acts as the broker and the servers.

    It records the permit requests, attempt reports and results of the call.
    """

    def __init__(
        self,
        *,
        is_idempotent: bool = True,
        max_attempts: int = 2,
        domains: tuple[str, ...] = ('nasr',),
    ) -> None:
        self.reactor = MemoryReactorClock()
        self.clock = FakeClock(self.reactor)
        self.connections = FakeConnections()
        self.reports: list[tuple[str, AttemptOutcome]] = []
        self.rate_limits: list[tuple[str, RateLimitStatement]] = []
        self.closed_backends: set[str] = set()
        self.pauses_s: list[float] = []
        self.permit_requests: list[PermitCriteria] = []
        self.cancelled_request_ids: list[str] = []
        self.statuses: list[int] = []
        self.refused_calls: list[Refusal] = []
        self.cancelled_calls = 0
        self.dependencies = AttemptDependencies(
            self.connections,
            PlatformCallCodec(),
            self.clock,
            self._record_report,
            self._record_rate_limit,
            self._record_availability,
            lambda backend_server: (
                backend_server.backend_id not in self.closed_backends
            ),
        )
        self.calls: list[GatewayCall] = []
        self._domains = domains
        self._route = OperatorRoute(
            'r1',
            'a',
            '/',
            is_idempotent,
            TIMEOUT_S,
            0.8,
            1,
            (SplitPart('press', 1),),
            max_attempts,
            frozenset(),
        )
        port = CallerPort(
            self._begin,
            CallerSettings(),
            self.clock,
            lambda reason: None,
        )
        self.transport = FakeTransport()
        self.caller = port.buildProtocol(None)
        self.caller.makeConnection(self.transport)

    def send_request(self, method: str = 'GET', body: bytes = b'') -> None:
        head = f'{method} /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: id1\r\n'
        if body:
            head += f'Content-Length: {len(body)}\r\n'
        self.caller.dataReceived(f'{head}\r\n'.encode() + body)

    def send_partial_request(
        self, method: str, body: bytes, length: int
    ) -> None:
        """Send a request with the first part of its body."""
        head = f'{method} /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: id1\r\n'
        head += f'Content-Length: {length}\r\n\r\n'
        self.caller.dataReceived(head.encode() + body)

    def permit(self, number: int) -> None:
        """Grant the last call a permit for the backend server ``number``."""
        permit = Permit(
            f'vm.1/{number}',
            backend(number),
            100,
            0,
            EXPECTED_S,
        )
        self.calls[-1].permit_granted(permit)

    def send_response(self, index: int, wire: bytes) -> None:
        """Send bytes from the server on the connection with this index."""
        self.connections.opened[index].dataReceived(wire)

    def sent_bytes(self, index: int) -> bytes:
        return bytes(self.connections.opened[index].transport.value())

    def received_bytes(self) -> bytes:
        return bytes(self.transport.value())

    # Methods of CallHost.

    def domains(self, _context: CallContext) -> tuple[str, ...]:
        return self._domains

    def request_permit(self, criteria: PermitCriteria, listener: Any) -> None:
        self.permit_requests.append(criteria)
        listener.permit_requested(f'ask{len(self.permit_requests)}')

    def cancel_permit_request(self, permit_request_id: str) -> None:
        self.cancelled_request_ids.append(permit_request_id)

    def forwarded_head(
        self, exchange: Any, backend_id: str, left_s: float
    ) -> bytes:
        return self.dependencies.call_codec.forwarded_head(
            exchange.head,
            backend_id,
            left_s,
        )

    def call_completed(self, _call: GatewayCall, status: int) -> None:
        self.statuses.append(status)

    def call_refused(self, _call: GatewayCall, refusal: Refusal) -> None:
        self.refused_calls.append(refusal)

    def call_cancelled(self, _call: GatewayCall) -> None:
        self.cancelled_calls += 1

    def record_failed_attempt(self, _cause: str) -> None:
        """Ignore failed attempts."""

    def _begin(self, exchange: Any) -> None:
        now_s = self.clock.monotonic_s()
        context = CallContext(
            'id1',
            self._route,
            'press',
            now_s,
            now_s + 0.8,
            now_s + TIMEOUT_S,
        )
        call = GatewayCall(self, exchange, context)
        self.calls.append(call)
        call.begin()

    def _record_rate_limit(
        self, permit: Permit, statement: RateLimitStatement
    ) -> None:
        self.rate_limits.append((permit.backend.backend_id, statement))

    def _record_availability(self, permit: Permit, info: ResponseInfo) -> None:
        if info.pause_s is not None:
            self.pauses_s.append(info.pause_s)
        if info.is_leaving or info.pause_s is not None:
            self.closed_backends.add(permit.backend.backend_id)

    def _record_report(self, permit: Permit, report: AttemptReport) -> None:
        self.reports.append((permit.backend.backend_id, report.outcome))
