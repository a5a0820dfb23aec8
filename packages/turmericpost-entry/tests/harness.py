"""Test harness for the forwarder of one entry VM.

The clock and the transports are fakes.
"""

from __future__ import annotations

import re
from datetime import UTC, datetime
from random import Random
from typing import Any

from result import Err, Ok, Result
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from turmericpost.forward.attempt import AttemptDependencies
from turmericpost.forward.claims import KeyClaims
from turmericpost.forward.forwarder import Forwarder
from turmericpost.forward.keyed_calls import KeyedCallContext
from turmericpost.forward.pool import ConnectionPool
from turmericpost.forward.settings import ForwardSettings
from turmericpost.http1.client import BackendConnection
from turmericpost.http1.exchange import Exchange
from turmericpost.http1.server import CallerPort
from turmericpost.http1.settings import CallerSettings
from turmericpost.observe.metrics import Metrics
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost.store.record_log import LogBatch, LogRecord
from turmericpost_core.config.document import (
    BackendServer,
    ClientAccount,
    Document,
    FailureDomain,
    Limits,
    Service,
)
from turmericpost_core.fleet.store_position import StorePosition, new_position
from turmericpost_core.membership.vm_records import VmIdentity, VmRecord
from turmericpost_core.outcome.reasons import RefusalReason
from turmericpost_core.routing.balancer import Balancer
from turmericpost_core.routing.facts import Location
from turmericpost_core.routing.ownership import assign_owners
from turmericpost_core.routing.table import RoutingTable

WARM_REPORT = (
    b'endpoint-load-metrics: JSON {"named_metrics": '
    b'{"slots": 3, "in_flight": 0, "state": 1, "incarnation": 1}}\r\n'
)
GET = (
    b'GET /item HTTP/1.1\r\nHost: pressroom\r\n'
    b'Turmericpost-Account: mosque\r\n\r\n'
)


_ATTEMPT_ID = re.compile(rb'turmericpost-attempt-id: \d+\r\n')


class FakeTransport(StringTransport):
    """In-memory transport that records pauses, closes and aborts."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: FBT001
        """Ignore the option."""

    def abortConnection(self) -> None:
        """Record the abort."""
        self.is_aborted = True
        super().abortConnection()

    def loseWriteConnection(self) -> None:
        """Record the close of the write direction."""
        self.disconnecting = True

    def resumeProducing(self) -> None:
        """Record that reading is resumed, in any state."""
        self.producerState = 'producing'

    def pauseProducing(self) -> None:
        """Record that reading is paused, in any state."""
        self.producerState = 'paused'

    @property
    def is_paused(self) -> bool:
        """Whether reading is paused."""
        return self.producerState == 'paused'


class Caller:
    """Caller end of a connection to the entry VM."""

    def __init__(self, port: CallerPort) -> None:
        self.transport = FakeTransport()
        self.protocol = port.buildProtocol(IPv4Address('TCP', '10.1.0.1', 9))
        self.protocol.makeConnection(self.transport)

    def send(self, wire: bytes) -> None:
        """Send bytes to the entry VM."""
        self.protocol.dataReceived(wire)

    def disconnect(self) -> None:
        """Close the connection."""
        self.protocol.connectionLost(Failure(ConnectionDone()))

    def received(self) -> bytes:
        """Return and clear the bytes that the entry VM sent."""
        wire: bytes = self.transport.value()
        self.transport.clear()
        return wire


class Backend:
    """Backend server end of a connection from the entry VM."""

    def __init__(self, connection: BackendConnection) -> None:
        self.connection = connection
        self.transport = FakeTransport()
        self._attempt_ids: list[bytes] = []
        connection.makeConnection(self.transport)

    def received(self) -> bytes:
        """Return and clear the bytes that the entry VM sent."""
        wire: bytes = self.transport.value()
        self._attempt_ids.extend(_ATTEMPT_ID.findall(wire))
        self.transport.clear()
        return wire

    def attempt_id_field(self) -> bytes:
        """Return the header field that repeats the id of the last attempt."""
        ids = [*self._attempt_ids, *_ATTEMPT_ID.findall(self.transport.value())]
        return ids[-1] if ids else b''

    def send(self, wire: bytes) -> None:
        """Send bytes to the entry VM."""
        self.connection.dataReceived(wire)

    def respond(
        self,
        body: bytes,
        status: bytes = b'200 OK',
        headers: bytes = WARM_REPORT,
    ) -> None:
        """Send a complete response that repeats the id of the attempt."""
        length_header = b'Content-Length: %d\r\n' % len(body)
        head = b'HTTP/1.1 %b\r\n%b%b%b\r\n' % (
            status,
            self.attempt_id_field(),
            headers,
            length_header,
        )
        self.send(head + body)

    def shed_call(self) -> None:
        """Send a response that says the call was shed."""
        not_run_header = b'Turmericpost-Outcome: not-run\r\n'
        self.respond(b'', b'503 Service Unavailable', not_run_header)

    def disconnect(self) -> None:
        """Close the connection."""
        self.connection.connectionLost(Failure(ConnectionDone()))


class FakeClock:
    """Clock that follows the time of a memory reactor."""

    def __init__(self, reactor: MemoryReactorClock) -> None:
        self._reactor = reactor

    def monotonic_s(self) -> float:
        """Return the reactor's time in seconds."""
        return float(self._reactor.seconds())

    def utc_now(self) -> datetime:
        """Return the reactor's time as UTC since 1970."""
        return datetime.fromtimestamp(self.monotonic_s(), UTC)

    def pause(self, pause_s: float) -> None:
        """Advance the time but run no timers, as if the process was paused."""
        self._reactor.rightNow += pause_s


class FakeLog:
    """In-memory record log whose appends and reads can be made to fail.

    With ``loses_replies``, appends store the record but report that there was
    no response. Responses state ``era``, unless it is ``None``.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.streams: dict[str, list[LogRecord]] = {}
        self.append_error: StoreErrorKind | None = None
        self.read_error: StoreErrorKind | None = None
        self.loses_replies = False

    async def append(
        self, stream: str, record: bytes
    ) -> Result[StorePosition, StoreError]:
        """Append a record, or return the configured error."""
        if self.append_error is not None:
            return Err(StoreError(self.append_error, 'test'))
        records = self.streams.setdefault(stream, [])
        records.append(LogRecord(len(records), record))
        if self.loses_replies:
            return Err(StoreError(StoreErrorKind.NO_RESPONSE, 'test'))
        return Ok(new_position(self.era, len(records) - 1))

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_s: float,
    ) -> Result[LogBatch, StoreError]:
        """Return the stored records, or the configured error."""
        if self.read_error is not None:
            return Err(StoreError(self.read_error, 'test'))
        records = self.streams.get(stream, [])
        batch = tuple(records[from_offset:])
        return Ok(LogBatch(batch, len(records), self.era))


def vm_record(
    number: int, incarnation: int = 1, region: str = 'cairo'
) -> VmRecord:
    """Return the membership record of an entry VM."""
    identity = VmIdentity(
        f'10.2.0.{number}:1', f'10.2.0.{number}', 80, f'{region}-a', region
    )
    return VmRecord(identity, incarnation)


class Harness:
    """Forwarder and caller port of one entry VM with in-memory connections."""

    def __init__(
        self,
        backends: int = 1,
        limits: Limits | None = None,
        settings: ForwardSettings | None = None,
        **callers: Any,
    ) -> None:
        self.reactor = MemoryReactorClock()
        self.clock = FakeClock(self.reactor)
        self.metrics = Metrics()
        self.balancer = Balancer(Random(1))
        self.own = vm_record(1)
        self.known_vms: tuple[VmRecord, ...] = (self.own,)
        self.log = FakeLog()
        forward = settings or ForwardSettings()
        pool = ConnectionPool(self.reactor, 1, forward.idle_connections)
        dependencies = AttemptDependencies(
            self.clock, self.balancer, pool, self.metrics
        )
        self.forwarder = Forwarder(
            self.reactor,
            forward,
            dependencies,
            self._handle_well_known,
            KeyedCallContext(
                self.own.identity.name,
                lambda: self.own,
                lambda: self.known_vms,
                'cairo',
                self.clock,
            ),
            KeyClaims(self.log, self.clock),  # type: ignore[arg-type]
        )
        self.port = CallerPort(
            self.forwarder.begin,
            CallerSettings(**callers),
            self.clock,
            self._record_refusal,
        )
        self.install(backends, limits)
        self._handled_connection_count = 0

    def install(self, backends: int, limits: Limits | None = None) -> None:
        """Apply a configuration with the given number of backend servers."""
        document = Document(
            failure_domains=(FailureDomain('cairo-a', 'cairo'),),
            services=(Service('pressroom', slots=3, queue_per_slot=1),),
            backend_servers=tuple(
                BackendServer('10.0.0.1', port, 'pressroom', 'cairo-a')
                for port in range(1, backends + 1)
            ),
            client_accounts=(
                ClientAccount('mosque'),
                ClientAccount('bound', home_regions=('cairo',)),
            ),
            limits=limits or Limits(),
        )
        location = Location('cairo-a', 'cairo')
        self.forwarder.install(RoutingTable(document, location, frozenset()))
        self.ownership = assign_owners(document, self.known_vms)
        self.forwarder.own(self.ownership)

    def caller(self) -> Caller:
        """Open a caller connection."""
        return Caller(self.port)

    def backend(self) -> Backend:
        """Accept the next backend connection and return its server end."""
        factory = self._next_connection()
        return Backend(factory.buildProtocol(None))

    def refuse_connection(self) -> None:
        """Refuse the next connection to a backend server."""
        self._next_connection().clientConnectionFailed(
            None, Failure(ConnectionDone())
        )

    def pending_connections(self) -> int:
        """Count backend connections that are not yet accepted or refused."""
        return len(self.reactor.tcpClients) - self._handled_connection_count

    def _next_connection(self) -> Any:
        host, port, factory, *_ = self.reactor.tcpClients[
            self._handled_connection_count
        ]
        self._handled_connection_count += 1
        return factory

    def _record_refusal(self, reason: RefusalReason) -> None:
        self.metrics.refusals[reason] += 1

    def _handle_well_known(self, exchange: Exchange) -> None:
        exchange.send_bodiless_response(204, [])
