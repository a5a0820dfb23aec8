"""A call on in-memory transports, with permits that a test gives by hand."""

from __future__ import annotations

from typing import Any

from twisted.internet.testing import MemoryReactorClock

from tests.harness import FakeClock, FakeTransport
from turmericpost.gateway.attempt import AttemptDependencies
from turmericpost.gateway.call import GatewayCall
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
    """Hands out connections whose far end the test plays."""

    def __init__(self) -> None:
        self.opened: list[BackendConnection] = []
        self.kept: list[BackendConnection] = []
        self.refuses = False

    def connect(self, _backend: Backend, taker: Any, _idle_s: float) -> Any:
        if self.refuses:
            taker.connect_failed('ConnectionRefusedError')
        else:
            connection = BackendConnection(accepts_unframed=True)
            connection.makeConnection(FakeTransport())
            self.opened.append(connection)
            taker.connected(connection)
        return lambda: None

    def give_back(self, _backend_id: str, kept: BackendConnection) -> None:
        if kept.is_usable:
            self.kept.append(kept)

    def drop(self, _backend_id: str) -> None:
        """Nothing is kept by server."""


class CallHarness:
    """A VM that a test plays: one caller, permits and servers by hand."""

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
        self.finished: list[tuple[str, AttemptOutcome]] = []
        self.wishes: list[PermitCriteria] = []
        self.cancelled: list[str] = []
        self.answered: list[int] = []
        self.refused: list[Refusal] = []
        self.gone = 0
        self.tools = AttemptDependencies(
            self.connections,
            PlatformCallCodec(),
            self.clock,
            self._finish,
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

    def request(self, method: str = 'GET', body: bytes = b'') -> None:
        head = f'{method} /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: id1\r\n'
        if body:
            head += f'Content-Length: {len(body)}\r\n'
        self.caller.dataReceived(f'{head}\r\n'.encode() + body)

    def request_part(self, method: str, body: bytes, length: int) -> None:
        """Send a request whose body is not whole yet."""
        head = f'{method} /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: id1\r\n'
        head += f'Content-Length: {length}\r\n\r\n'
        self.caller.dataReceived(head.encode() + body)

    def permit(self, number: int) -> None:
        """Give a permit for a server to the call."""
        permit = Permit(
            f'vm.1/{number}',
            backend(number),
            100,
            0,
            EXPECTED_S,
        )
        self.calls[-1].permitted(permit)

    def answer(self, index: int, wire: bytes) -> None:
        """Send bytes from the server of the index-th connection."""
        self.connections.opened[index].dataReceived(wire)

    def sent(self, index: int) -> bytes:
        return bytes(self.connections.opened[index].transport.value())

    def received(self) -> bytes:
        return bytes(self.transport.value())

    # The host of calls.

    def domains(self, _facts: CallContext) -> tuple[str, ...]:
        return self._domains

    def ask(self, wish: PermitCriteria, taker: Any) -> None:
        self.wishes.append(wish)
        taker.asked(f'ask{len(self.wishes)}')

    def cancel_ask(self, permit_request_id: str) -> None:
        self.cancelled.append(permit_request_id)

    def onward_head(
        self, exchange: Any, backend_id: str, left_s: float
    ) -> bytes:
        return self.tools.call_codec.onward_head(
            exchange.head,
            backend_id,
            left_s,
        )

    def call_answered(self, _call: GatewayCall, status: int) -> None:
        self.answered.append(status)

    def call_refused(self, _call: GatewayCall, refusal: Refusal) -> None:
        self.refused.append(refusal)

    def call_cancelled(self, _call: GatewayCall) -> None:
        self.gone += 1

    def send_failed(self, _cause: str) -> None:
        """Count nothing."""

    def _begin(self, exchange: Any) -> None:
        now_s = self.clock.monotonic_s()
        facts = CallContext(
            'id1',
            self._route,
            'press',
            now_s,
            now_s + 0.8,
            now_s + TIMEOUT_S,
        )
        call = GatewayCall(self, exchange, facts)
        self.calls.append(call)
        call.begin()

    def _finish(self, permit: Permit, finish: AttemptReport) -> None:
        self.finished.append((permit.backend.backend_id, finish.outcome))
