"""Creates, starts and stops the components of an entry VM."""

from __future__ import annotations

from datetime import datetime
from random import Random
from typing import Any

from twisted.internet.task import LoopingCall, deferLater

from turmericpost.admin.limits import new_admin_site
from turmericpost.admin.views import AdminState
from turmericpost.background import start_periodic
from turmericpost.configlog.clients import new_platform_clients
from turmericpost.configlog.tasks import PlatformTasks
from turmericpost.forward.address_endpoint import (
    AddressEndpoint,
    AddressEndpointDependencies,
)
from turmericpost.forward.assembly import ForwarderDependencies, new_forwarder
from turmericpost.forward.keyed_calls import KeyedCallContext
from turmericpost.forward.ownership_tracker import (
    OwnershipTracker,
    OwnershipTrackerDependencies,
)
from turmericpost.http1.listen_drain import close_listening_port
from turmericpost.http1.server import CallerPort
from turmericpost.observe.events import LogEvent, log_event
from turmericpost.observe.metrics import Metrics
from turmericpost.peer.service import PeerCallbacks, new_peer_service
from turmericpost.peer.stream import new_peer_server
from turmericpost.reactor_clock import ReactorClock
from turmericpost.settings_groups import Settings
from turmericpost_core.config.apply_records import Configuration
from turmericpost_core.config.out_of_service import out_of_service_domains
from turmericpost_core.membership.vm_records import (
    VmIdentity,
    VmRecord,
    VmState,
)
from turmericpost_core.outcome.reasons import RefusalReason
from turmericpost_core.routing.balancer import Balancer
from turmericpost_core.routing.facts import Location
from turmericpost_core.routing.table import RoutingTable

_PERIODIC_CHECK_INTERVAL_S = 0.25
_DRAIN_CHECK_INTERVAL_S = 0.02
_MS_PER_S = 1000


class EntryNode:
    """An entry VM: its components on one event loop."""

    def __init__(self, reactor: Any, settings: Settings) -> None:
        self.metrics = Metrics()
        self.clock = ReactorClock(reactor)
        self._reactor = reactor
        self._settings = settings
        self._out_of_service_domains: frozenset[str] | None = None
        self._next_domain_change_utc: datetime | None = None
        self._ports: list[Any] = []
        self._loops: list[LoopingCall] = []
        self._is_stopping = False
        self._platform = new_platform_clients(
            reactor,
            settings.platform,
            self.clock,
            self.metrics,
            self._apply_configuration,
        )
        self._build_call_path()
        self._tasks = PlatformTasks(
            reactor,
            settings.platform,
            self._platform,
            self._own_name(),
            lambda: self.peers.view,
        )

    @property
    def configuration(self) -> Configuration:
        """Configuration in force on this VM."""
        return self._platform.follower.configuration

    def start(self) -> None:
        """Open the ports; start exchanging data with the platform and peers."""
        self._listen_callers()
        self._listen_admin()
        self._start_peers()
        for interval_s, callback in (
            (_PERIODIC_CHECK_INTERVAL_S, self._run_periodic_checks),
            (
                self._settings.peers.heartbeat_interval_s,
                self.peers.heartbeat_round,
            ),
        ):
            self._loops.append(
                start_periodic(self._reactor, interval_s, callback)
            )
        self._tasks.start()

    async def stop(self) -> None:
        """Drain and stop this VM.

        The VM announces that it is leaving. It still accepts calls for as long
        as callers may use address lists that contain it. Then it closes the
        caller port and finishes the calls in flight.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        log_event(LogEvent.DRAIN_STARTED)
        self.peers.set_own_state(VmState.LEAVING, self.configuration.revision)
        self._caller_port.is_draining = True
        await deferLater(self._reactor, self._address_validity_s())
        await self._close_callers()
        log_event(LogEvent.DRAIN_FINISHED)
        await self._close_remaining()

    @property
    def caller_port(self) -> int:
        """Port that callers connect to."""
        return int(self._ports[0].getHost().port)

    @property
    def admin_port(self) -> int:
        """Port that operators connect to."""
        return int(self._ports[1].getHost().port)

    def _build_call_path(self) -> None:
        self._balancer = Balancer(Random())
        self._ownership_tracker = OwnershipTracker(
            OwnershipTrackerDependencies(
                clock=self.clock,
                balancer=self._balancer,
                view=lambda: self.peers.view,
                table=self._routing_table,
                on_change=lambda ownership: self.forwarder.own(ownership),
            ),
        )
        endpoint = AddressEndpoint(
            AddressEndpointDependencies(
                table=self._routing_table,
                vms=self._ownership_tracker.vms,
                ownership=lambda: self._ownership_tracker.ownership,
                random=Random(),
                own_region=self._settings.peers.region,
                clock=self.clock,
                record_refusal=self._record_refusal,
            ),
        )
        keyed_call_context = KeyedCallContext(
            own_name=self._own_name(),
            own=lambda: self.peers.view.own,
            known_vms=lambda: self.peers.view.known(),
            store_region=self._settings.platform.store_region,
            clock=self.clock,
        )
        self.forwarder = new_forwarder(
            self._reactor,
            self._settings.forward,
            ForwarderDependencies(
                self._balancer,
                self.metrics,
                endpoint,
                keyed_call_context,
                self._platform.log,
            ),
        )
        self._platform.log.on_era(self._era_stated)
        self._caller_port = CallerPort(
            self.forwarder.begin,
            self._settings.callers,
            self.clock,
            self._record_refusal,
        )

    def _listen_callers(self) -> None:
        callers = self._settings.callers
        port = self._reactor.listenTCP(
            callers.caller_port,
            self._caller_port,
            interface=callers.caller_host,
        )
        self._register_port('caller', port)

    def _listen_admin(self) -> None:
        admin = self._settings.admin
        state = AdminState(
            clock=self.clock,
            metrics=self.metrics,
            configuration=lambda: self.configuration,
            table=self._routing_table,
            balancer=self._balancer,
            known_vms=lambda: self.peers.view.known(),
            location=self._location(),
            publisher=self._platform.publisher,
        )
        port = self._reactor.listenTCP(
            admin.admin_port,
            new_admin_site(state, admin),
            interface=admin.admin_host,
        )
        self._register_port('admin', port)

    def _start_peers(self) -> None:
        peers = self._settings.peers
        self.peers = new_peer_service(
            self._reactor,
            self.clock,
            VmRecord(self._identity(), self._new_incarnation()),
            peers.lost_after_s,
            PeerCallbacks(
                current_configuration=lambda: self.configuration,
                snapshot_requested=self._tasks.write_requested_snapshot,
                has_gap=lambda: self._platform.follower.has_gap,
                adopt=self._platform.follower.adopt,
                view_changed=self._ownership_tracker.update,
            ),
            self.metrics,
        )
        port = self._reactor.listenTCP(
            peers.peer_port,
            new_peer_server(self.peers, peers),
            interface=peers.peer_host,
        )
        self._register_port('peer', port)

    def _register_port(self, port_name: str, port: Any) -> None:
        self._ports.append(port)
        address = port.getHost()
        log_event(
            LogEvent.PORT_OPENED,
            use=port_name,
            host=address.host,
            port=address.port,
        )

    def _identity(self) -> VmIdentity:
        peers = self._settings.peers
        return VmIdentity(
            name=self._own_name(),
            caller_host=self._settings.callers.caller_host,
            caller_port=self.caller_port,
            failure_domain=peers.failure_domain,
            region=peers.region,
        )

    def _own_name(self) -> str:
        peers = self._settings.peers
        return f'{peers.peer_host}:{peers.peer_port}'

    def _new_incarnation(self) -> int:
        return int(self.clock.utc_now().timestamp() * _MS_PER_S)

    def _location(self) -> Location:
        peers = self._settings.peers
        return Location(peers.failure_domain, peers.region)

    def _routing_table(self) -> RoutingTable | None:
        return self.forwarder.table

    def _era_stated(self, era: int) -> None:
        was_away = not self._platform.follower.is_reachable
        self.forwarder.key_claims.era_stated(era, was_away=was_away)

    def _record_refusal(self, reason: RefusalReason) -> None:
        self.metrics.calls_begun += 1
        self.metrics.refusals[reason] += 1

    def _apply_configuration(self, configuration: Configuration) -> None:
        document = configuration.document
        if document is None:
            return
        is_first = self.forwarder.table is None
        domains = out_of_service_domains(document, self.clock.utc_now())
        self._next_domain_change_utc = domains.next_change_utc
        if domains.names != (self._out_of_service_domains or frozenset()):
            log_event(LogEvent.DOMAINS_OUT, names=sorted(domains.names))
        self._out_of_service_domains = domains.names
        self.forwarder.install(
            RoutingTable(document, self._location(), domains.names),
        )
        log_event(
            LogEvent.REVISION_IN_FORCE,
            revision=configuration.revision,
        )
        state = VmState.LEAVING if self._is_stopping else VmState.LIVE
        self.peers.set_own_state(state, configuration.revision)
        self._ownership_tracker.update()
        if is_first:
            log_event(LogEvent.READY)

    def _run_periodic_checks(self) -> None:
        self._caller_port.check_timeouts()
        self._ownership_tracker.update()
        self.forwarder.operations.table.evict_expired(self.clock.monotonic_s())
        change_utc = self._next_domain_change_utc
        if change_utc is not None and self.clock.utc_now() >= change_utc:
            self._apply_configuration(self.configuration)

    def _address_validity_s(self) -> float:
        table = self.forwarder.table
        return 0 if table is None else table.document.limits.answers_valid_s

    async def _close_callers(self) -> None:
        closed = await close_listening_port(self._reactor, self._ports[0])
        if closed.is_err():
            detail = str(closed.unwrap_err())
            log_event(LogEvent.FILTER_UNSUPPORTED, detail=detail)
        while self._caller_port.connections:
            self._caller_port.close_idle()
            await deferLater(self._reactor, _DRAIN_CHECK_INTERVAL_S)

    async def _close_remaining(self) -> None:
        self._tasks.stop()
        for loop in self._loops:
            if loop.running:
                loop.stop()
        for port in self._ports[1:]:
            await port.stopListening()
        self.peers.close()
        await self._platform.http.close()
