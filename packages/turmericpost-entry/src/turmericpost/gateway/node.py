"""One entry VM on the platform: its ports, peers, store and call handling."""

from __future__ import annotations

from typing import Any

from result import Err, Ok, Result
from twisted.internet.error import CannotListenError
from twisted.internet.task import deferLater

from turmericpost.background import (
    await_logged,
    run_logged,
    start_loop,
    start_periodic,
)
from turmericpost.fleet.messages import Message
from turmericpost.fleet.peers import PeerCallbacks, PeerProtocol
from turmericpost.fleet.state_pusher import StatePusher
from turmericpost.fleet.state_sync import StateSync
from turmericpost.fleet.store import FleetStore
from turmericpost.fleet.update_stream import UpdateServer
from turmericpost.gateway.broker_service import MAX_REPORT_AGE_S
from turmericpost.gateway.call_codec import CallCodec
from turmericpost.gateway.call_path import CallPathDependencies, build_call_path
from turmericpost.gateway.drain_plan import DrainPlan, new_drain_plan
from turmericpost.gateway.endpoints import Endpoints
from turmericpost.gateway.gateway_metrics import (
    GatewayCollector,
    GatewayMetrics,
)
from turmericpost.gateway.peer_discovery import PeerDiscovery
from turmericpost.gateway.ports import (
    CALLERS,
    ENDPOINTS,
    PEER_SOCKETS,
    limited_settings,
    listen,
    max_connections,
    new_caller_port,
)
from turmericpost.gateway.settings import GatewaySettings
from turmericpost.http1.listen_drain import close_listening_port
from turmericpost.observe.events import LogEvent, log_event
from turmericpost.reactor_clock import ReactorClock
from turmericpost_core.fleet.state_lag import EXCEPTION, StateWay
from turmericpost_core.grants.visible_share import VisibleShare
from turmericpost_core.membership.domain_view import (
    SETTLED_S,
    DomainView,
    Vm,
    VmReadiness,
)
from turmericpost_core.membership.pause_tracker import PauseTracker
from turmericpost_core.membership.store_read_schedule import new_read_schedule
from turmericpost_core.outcome.reasons import RefusalReason

MAX_DATAGRAM_BYTES = 65536
"""Size up to which datagrams are read whole: more than any datagram has."""

SWEEP_INTERVAL_S = 0.25
"""Interval at which idle connections and expired state are removed."""

_MS_PER_S = 1000
_DRAIN_CHECK_INTERVAL_S = 0.02


class GatewayNode:
    """All components of an entry VM, in one process on one reactor."""

    def __init__(
        self,
        reactor: Any,
        settings: GatewaySettings,
        store: FleetStore,
        call_codec: CallCodec,
    ) -> None:
        self.clock = ReactorClock(reactor)
        self.metrics = GatewayMetrics()
        self._reactor = reactor
        self._settings = settings
        self._store = store
        self._call_codec = call_codec
        self._listening_caller_port: Any = None
        self._drain_plan: DrainPlan | None = None
        self._usable_ids: frozenset[str] = frozenset()
        self._started_s = self.clock.monotonic_s()
        self._visible_share = VisibleShare()
        self._pause_tracker = PauseTracker(self._started_s)
        self.view = DomainView(self._own_vm())
        self._build_fleet()
        self._build_call_path()

    @property
    def is_ready(self) -> bool:
        """Whether the VM has a configuration in time and is not draining."""
        return self.view.own_readiness is VmReadiness.READY

    def start(self) -> Result[None, CannotListenError]:
        """Open the ports and start to follow the store and the peers."""
        try:
            self._open_ports()
        except CannotListenError as error:
            return Err(error)
        start_periodic(self._reactor, SWEEP_INTERVAL_S, self._sweep)
        start_loop(self._reactor, self._send_heartbeats)
        self.state_sync.reader.start()
        self._peer_discovery.start()
        return Ok(None)

    async def stop(self) -> None:
        """Drain the VM and return when the process should exit.

        The VM leaves address responses at once and serves new calls for a part
        of the grace time. Then it refuses them, closes the caller port and
        waits until the callers have received their responses.
        """
        if self._drain_plan is not None:
            return
        drain_plan = new_drain_plan(
            self.clock.monotonic_s(), self._settings.operating_bounds.grace_s
        )
        self._drain_plan = drain_plan
        self._peer_discovery.is_finished = True
        log_event(LogEvent.DRAIN_STARTED, in_flight=len(self.ingress.in_flight))
        self.view.own_readiness = VmReadiness.LEAVING
        self._caller_port.is_draining = True
        run_logged(self.peers.send_heartbeats)
        run_logged(self.peers.send_digests)
        await self._continue_drain(drain_plan)
        while not self._is_drained(drain_plan):
            await deferLater(self._reactor, _DRAIN_CHECK_INTERVAL_S)
            await self._continue_drain(drain_plan)
        log_event(
            LogEvent.DRAIN_FINISHED, in_flight=len(self.ingress.in_flight)
        )
        self.state_sync.reader.stop()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply new seed hosts.

        These are the only settings that may change while the VM is running.
        """
        self._settings = settings
        self._peer_discovery.seed_hosts = settings.seed_hosts
        self.peers.send_hello(settings.seed_hosts, settings.peer_port)

    @property
    def _is_seed_vm(self) -> bool:
        """Whether this VM is a seed host that other VMs contact at start."""
        seeds = self._settings.seed_hosts
        return not seeds or self._settings.host in seeds

    def _own_vm(self) -> Vm:
        settings = self._settings
        host, port = settings.callers
        started_ms = int(self.clock.utc_now().timestamp() * _MS_PER_S)
        return Vm(
            name=settings.name,
            host=settings.host,
            peer_port=settings.peer_port,
            caller_address=f'{host}:{port}',
            failure_domain=settings.failure_domain,
            region=settings.region,
            started_ms=started_ms,
        )

    def _build_fleet(self) -> None:
        settings = self._settings
        self.state_sync = StateSync(
            self._reactor,
            self.clock,
            self._store,
            self.view,
            new_read_schedule(
                settings.operating_bounds.drain_s,
                settings.operating_bounds.config_s,
            ),
            self._state_changed,
            is_seed_vm=self._is_seed_vm,
        )
        self.state = self.state_sync.state
        self._store.on_era(self.state_sync.era_stated)
        self.state_sync.on_new_era = self._announce_again
        self.peers = PeerProtocol(
            self.clock,
            self.view,
            settings.domain_regions,
            PeerCallbacks(
                state_version=self.state_sync.state_version,
                held_permits=lambda: (
                    self.call_path.permit_client.held_permits()
                ),
                demand=lambda: self.ingress.current_demand(),
                state_version_received=self.state_sync.state_version_received,
                push_received=self.state_sync.push_received,
                held_permits_received=lambda name, held_permits: (
                    self.call_path.broker_service.held_permits_received(
                        name, held_permits
                    )
                ),
                live_vms_changed=self._live_vms_changed,
                message=self._message_received,
                held_config=lambda: self.state.held_config,
                held_config_received=self.state_sync.held_config_received,
            ),
        )

        self._state_pusher = StatePusher(
            self.state, self.peers, self.state_sync.monitor
        )
        self._peer_discovery = PeerDiscovery(
            self._reactor,
            self.clock,
            self._store,
            self.peers,
            settings.seed_hosts,
        )

    def _build_call_path(self) -> None:
        settings = self._settings
        call_path = build_call_path(
            CallPathDependencies(
                self._reactor,
                self.clock,
                settings,
                self._call_codec,
                self.state,
                self.peers,
                self.metrics,
            ),
        )
        self.call_path = call_path
        broker = call_path.broker_service.broker
        broker.is_settling = self._pause_tracker.is_settling
        self.ingress = call_path.ingress
        self.ingress.refuses_calls = self._refuses_calls
        self.ingress.retry_after_behind_s = self.state_sync.retry_after_behind_s
        self._caller_port = new_caller_port(
            settings.callers,
            self.ingress.begin,
            self.clock,
            self._record_refusal,
            settings.resources,
            CALLERS,
        )

    def _open_ports(self) -> None:
        settings = self._settings
        endpoints = Endpoints(
            call_codec=self._call_codec,
            clock=self.clock,
            view=self.view,
            state=self.state,
            domain_regions=settings.domain_regions,
            work_s=self.peers.demand.total,
            is_ready=lambda: self.is_ready,
            collector=GatewayCollector(
                self.metrics,
                self._gauges,
                lambda: self._store.outcomes,
                self.state_sync.monitor.lag.failures,
            ),
        )
        self._endpoint_port = new_caller_port(
            settings.readiness,
            endpoints.begin,
            self.clock,
            self._record_refusal,
            settings.resources,
            ENDPOINTS,
        )
        self._listening_caller_port = listen(
            self._reactor, settings.callers, self._caller_port
        )
        for address in (
            settings.readiness,
            settings.directory,
            settings.metrics,
        ):
            listen(self._reactor, address, self._endpoint_port)
        peer_address = (settings.host, settings.peer_port)
        monitor = self.state_sync.monitor
        update_server = UpdateServer(
            self.state,
            self._reactor,
            lambda: monitor.failed(StateWay.SERVE_FETCH, EXCEPTION),
            max_connections(settings.resources, PEER_SOCKETS),
        )
        listen(self._reactor, peer_address, update_server)
        self._reactor.listenUDP(
            settings.peer_port,
            self.peers,
            interface=settings.host,
            maxPacketSize=MAX_DATAGRAM_BYTES,
        )

    async def _send_heartbeats(self) -> None:
        while True:
            pause_s = self.peers.send_due_heartbeats()
            await deferLater(self._reactor, pause_s)

    def _state_changed(self, source: str) -> None:
        """Apply the changed state to all components, and push it to peers.

        ``source`` is the name of the VM that sent the change, else
        ``registry``, ``operator`` or ``withheld``.
        """
        now_s = self.clock.monotonic_s()
        state = self.state
        config = state.config
        if config is not None:
            self.call_path.broker_service.broker.install_services(
                config.services
            )
            self._caller_port.settings = limited_settings(
                self._caller_port.settings,
                config.limits,
            )
        self._update_readiness()
        backends = state.usable_backends()
        self.call_path.broker_service.broker.install_backends(backends, now_s)
        ids = frozenset(backend.backend_id for backend in backends)
        self.call_path.connections.retain_only(ids)
        log_event(
            LogEvent.KNOWLEDGE_CHANGED,
            source=source,
            config=None if config is None else config.version,
            store_era=state.operator_offset.era,
            operator_offset=state.operator_offset.offset,
            backends_era=state.directory.era,
            backends_version=state.directory.logged_version,
            usable=len(backends),
            gained=sorted(ids - self._usable_ids),
            lost=sorted(self._usable_ids - ids),
            evacuated=sorted(state.out_of_service),
            held_config=state.held_config,
        )
        self._usable_ids = ids
        self._state_pusher.push(source)

    def _announce_again(self) -> None:
        """Announce this VM again, as the store may have lost it."""
        if self._drain_plan is None:
            self._peer_discovery.restart()

    def _update_readiness(self) -> None:
        """State whether the VM accepts new callers, unless it is leaving."""
        before = self.view.own_readiness
        if before is VmReadiness.LEAVING:
            return
        config = self.state.config
        is_accepting = config is not None and not self.state_sync.is_outdated()
        after = VmReadiness.READY if is_accepting else VmReadiness.STARTING
        if after is before:
            return
        self.view.own_readiness = after
        version = None if config is None else config.version
        log_event(
            LogEvent.READY if is_accepting else LogEvent.NOT_READY,
            config=version,
        )

    def _message_received(self, host: str, message: Message) -> None:
        self.call_path.statements.message_received(message)
        self.call_path.broker_service.message_received(host, message)
        self.call_path.permit_client.message_received(message)

    def _live_vms_changed(
        self,
        gained: frozenset[str],
        lost: frozenset[str],
    ) -> None:
        self.call_path.broker_service.vms_lost(lost)
        self.state_sync.vms_lost(lost)

    def _sweep(self) -> None:
        now_s = self.clock.monotonic_s()
        pause_s = self._pause_tracker.tick(now_s)
        if pause_s is not None:
            log_event(LogEvent.PROCESS_PAUSED, pause_s=round(pause_s, 2))
        self._update_visible_share(now_s)
        self._caller_port.check_timeouts()
        self._endpoint_port.check_timeouts()
        self.call_path.broker_service.evict_expired()
        self._log_changes()
        self.state_sync.monitor.report()
        self._update_readiness()
        if self.state.withhold(now_s):
            self._state_changed('withheld')

    def _log_changes(self) -> None:
        self.call_path.backend_status_log.log_changes()
        self.call_path.grant_log.log_changes()
        self.ingress.log_dropped_lines()

    def _update_visible_share(self, now_s: float) -> None:
        age_s = now_s - self._started_s
        if age_s < SETTLED_S:
            return
        current_share = self.view.live_share(age_s, now_s)
        if self._pause_tracker.is_settling(now_s):
            current_share = 0
        broker = self.call_path.broker_service.broker
        broker.visible_share = self._visible_share.record(current_share, now_s)

    def _refuses_calls(self) -> bool:
        drain_plan = self._drain_plan
        if drain_plan is None:
            return False
        return drain_plan.refuses_calls(self.clock.monotonic_s())

    def _is_drained(self, drain_plan: DrainPlan) -> bool:
        return drain_plan.is_finished(
            self.clock.monotonic_s(), len(self._caller_port.connections)
        )

    async def _continue_drain(self, drain_plan: DrainPlan) -> None:
        """Refuse callers as far as the drain has come."""
        now_s = self.clock.monotonic_s()
        if drain_plan.closes_port(now_s):
            await await_logged(self._close_caller_port())
        if drain_plan.refuses_calls(now_s):
            run_logged(self._caller_port.close_idle)
        if drain_plan.ends_waiting(now_s):
            run_logged(self.ingress.end_waiting)

    async def _close_caller_port(self) -> None:
        listening_port = self._listening_caller_port
        if listening_port is None:
            return
        self._listening_caller_port = None
        closed = await close_listening_port(self._reactor, listening_port)
        if closed.is_err():
            detail = str(closed.unwrap_err())
            log_event(LogEvent.FILTER_UNSUPPORTED, detail=detail)

    def _record_refusal(self, reason: RefusalReason) -> None:
        self.metrics.refusals[reason] += 1

    def _gauges(self) -> dict[str, float]:
        state_version = self.state_sync.state_version()
        config = self.state.config
        era = self.state_sync.store_era
        return {
            'in_flight': len(self.ingress.in_flight),
            'store_read_age_s': state_version.read_age_s,
            'config_version': 0 if config is None else config.version,
            'store_era': -1 if era is None else era,
            'config_held': int(self.state.held_config is not None),
            'invalid_records': self.state_sync.reader.invalid_count,
            'backends': len(self.state.directory.backends),
            'probes': self.call_path.prober.probes_sent,
            'server_connections_opened': (
                self.call_path.connections.opened_count
            ),
            'peer_bytes_sent': self.peers.bytes_sent,
            'vms_heard': len(self.view.live_members(self.clock.monotonic_s())),
            'server_report_age_s': self._oldest_report_age_s(),
            'servers_with_rate_limit': self._count_rate_limits(),
            **self.call_path.grant_log.gauges(),
            **self.call_path.broker_service.closed_counts(),
            **dict(self.state_sync.monitor.gauges()),
        }

    def _count_rate_limits(self) -> int:
        """Return how many usable backend servers state a rate limit."""
        rate_limits = self.call_path.broker_service.broker.rate_limits
        return sum(
            rate_limits.limit_of(backend) is not None
            for backend in self.state.usable_backends()
        )

    def _oldest_report_age_s(self) -> float:
        """Return the age of the oldest load report in seconds, 0 if none.

        Only backend servers for which this VM has issued permits are
        considered.
        """
        now_s = self.clock.monotonic_s()
        ages_s = [
            min(now_s - backend_state.reported_s, MAX_REPORT_AGE_S)
            for backend_state in (
                self.call_path.broker_service.broker.backend_states()
            )
            if backend_state.permits
        ]
        return max(ages_s, default=0)
