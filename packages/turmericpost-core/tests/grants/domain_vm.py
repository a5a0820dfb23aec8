"""Simulated VM with the product's view, broker and visible share.

Only the reactor and the datagrams are replaced; the rules of the entry package
for leadership, heartbeats and digests are repeated here.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from datetime import UTC, datetime
from typing import Any, TypeAlias
from typing import Protocol as Interface

from tests.grants.domain_client import Call, SimulatedClient
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.fleet.operator_config import ServiceSpec
from turmericpost_core.grants.broker import Broker
from turmericpost_core.grants.limits import RetryLimits
from turmericpost_core.grants.permits import (
    AttemptReport,
    Decision,
    PermitDenial,
    PermitGrant,
    PermitRequest,
    Pool,
    ProbeRequest,
    ReportedLoad,
)
from turmericpost_core.grants.pool_lead import PoolLead, pool_subject
from turmericpost_core.grants.rate_limits import pool_of
from turmericpost_core.grants.visible_share import VisibleShare
from turmericpost_core.membership.domain_view import (
    SETTLED_S,
    DomainDigest,
    DomainView,
    Vm,
    VmReadiness,
)
from turmericpost_core.membership.heartbeat_period import heartbeat_period_s
from turmericpost_core.membership.pause_tracker import PauseTracker

RETRY_LIMITS = RetryLimits(ratio=0.2, slack=60, window_s=10, slack_share=0.1)
SWEEP_INTERVAL_S = 0.25
QUEUE_CHECK_INTERVAL_S = 0.03
DIGEST_PERIOD_S = 1.0
DIGEST_SENDER_SUBJECT = 'digests'

_Names: TypeAlias = tuple[str, ...]


class Fleet(Interface):
    """What a VM uses of the simulation around it."""

    @property
    def now_s(self) -> float:
        """Monotonic time."""

    @property
    def domains(self) -> tuple[str, ...]:
        """Names of all failure domains."""

    def call_later(
        self,
        vm: SimulatedVm,
        delay_s: float,
        action: Callable[..., None],
        *details: Any,
    ) -> None:
        """Run an action of a VM unless it is killed before."""

    def post(
        self, sender: str, receiver: str, method: str, *details: Any
    ) -> None:
        """Send a message, which calls a method of its receiver."""

    def post_heartbeats(
        self, sender: SimulatedVm, held: Mapping[str, Mapping[str, str]]
    ) -> None:
        """Send a heartbeat to all heartbeat targets of a VM."""

    def send_attempt(
        self, vm: SimulatedVm, grant: PermitGrant, call: Call
    ) -> None:
        """Send one attempt of a call to a backend server."""

    def send_probe(self, vm: SimulatedVm, backend: Backend) -> None:
        """Probe a backend server."""


class SimulatedVm:
    """One life of an entry VM."""

    def __init__(
        self,
        own: Vm,
        fleet: Fleet,
        services: Mapping[str, ServiceSpec],
        started_s: float,
    ) -> None:
        self.name = own.name
        self.fleet = fleet
        self.view = DomainView(own)
        self.view.own_readiness = VmReadiness.READY
        self.is_running = True
        self.paused_until_s = float('-inf')
        self.registry: dict[str, Backend] = {}
        self._pools: list[Pool] = []
        self.client = SimulatedClient(self)
        self.broker = Broker(f'{own.name}.{own.started_ms}', RETRY_LIMITS)
        self.broker.install_services(services)
        self.broker.lead_share = PoolLead(self, self.view).share
        self._started_s = started_s
        self._visible_share = VisibleShare()
        self._pause_tracker = PauseTracker(fleet.now_s)
        self.broker.is_settling = self._pause_tracker.is_settling
        self._is_check_scheduled = False
        self._digests_sent_s = float('-inf')
        self._cached_ranks: dict[Pool, tuple[float, _Names]] = {}

    @property
    def now_s(self) -> float:
        return self.fleet.now_s

    def monotonic_s(self) -> float:
        """Return the time; the VM is the clock of its components."""
        return self.now_s

    def utc_now(self) -> datetime:
        """Return the time of day, which nothing here depends on."""
        return datetime.fromtimestamp(self.now_s, UTC)

    def start(self, first_heartbeat_s: float) -> None:
        """Start the periodic actions."""
        self._sweep()
        self.call_later(first_heartbeat_s, self._send_heartbeats)

    def call_later(
        self, delay_s: float, action: Callable[..., None], *details: Any
    ) -> None:
        self.fleet.call_later(self, delay_s, action, *details)

    def post(self, receiver: str, method: str, *details: Any) -> None:
        """Send a message; one to this VM itself arrives at once."""
        if receiver == self.name:
            getattr(self, method)(self.name, *details)
        else:
            self.fleet.post(self.name, receiver, method, *details)

    def ranked(self, pool: Pool) -> tuple[str, ...]:
        """Return the names of the VMs in rank for a pool."""
        cached = self._cached_ranks.get(pool)
        if cached is None or cached[0] != self.now_s:
            service, domain = pool
            ranked = self.view.ranked(
                pool_subject(service, domain), domain, self.now_s
            )
            cached = self.now_s, tuple(vm.name for vm in ranked)
            self._cached_ranks[pool] = cached
        return cached[1]

    def install(self, backend: Backend) -> None:
        """Record a registration of a backend server."""
        known = self.registry.get(backend.backend_id)
        if known is None or known.started_ms < backend.started_ms:
            self.registry[backend.backend_id] = backend
            self.install_registry(self.registry)

    def install_registry(self, registry: Mapping[str, Backend]) -> None:
        self.registry = dict(registry)
        self._pools = sorted(set(map(pool_of, self.registry.values())))
        self.broker.install_backends(self.registry.values(), self.now_s)

    def own_request(self, request: PermitRequest) -> None:
        self._apply(self.broker.request(request, self.now_s))
        self._schedule_queue_check()

    def request_received(self, sender: str, request: PermitRequest) -> None:
        decisions = self.broker.request(request, self.now_s)
        if not any(
            isinstance(decision, (PermitGrant, PermitDenial))
            and decision.request.permit_request_id == request.permit_request_id
            for decision in decisions
        ):
            self.post(sender, 'queued_received', request.permit_request_id)
        self._apply(decisions)
        self._schedule_queue_check()

    def queued_received(self, _sender: str, permit_request_id: str) -> None:
        self.client.queued_received(permit_request_id)

    def decision_received(
        self, _sender: str, decision: PermitGrant | PermitDenial
    ) -> None:
        if isinstance(decision, PermitGrant):
            self.client.grant_received(decision)
        else:
            self.client.denial_received(
                decision.request.permit_request_id, decision.reason
            )

    def cancel_received(self, _sender: str, permit_request_id: str) -> None:
        self.broker.cancel(permit_request_id)

    def finish_received(
        self, _sender: str, permit_id: str, report: AttemptReport
    ) -> None:
        self._apply(self.broker.release_permit(permit_id, report, self.now_s))

    def probe_ended(
        self, backend_id: str, reported_load: ReportedLoad | None
    ) -> None:
        """Record the end of a probe, without a load if it failed."""
        if reported_load is None:
            self.broker.record_probe_failure(backend_id, self.now_s)
            return
        self._apply(
            self.broker.record_probe(
                backend_id, reported_load, self.now_s, is_healthy=True
            )
        )

    def heartbeat_received(self, vm: Vm, held: Mapping[str, str]) -> None:
        """Record a heartbeat; greet a VM or incarnation that is new."""
        if self.view.record_heartbeat(vm, VmReadiness.READY, self.now_s):
            self.post(vm.name, 'known_received', self.view.known())
            self.post(vm.name, 'greeting_received', self.view.own)
        if not self.view.is_live(vm.name):
            self._update_liveness()
        self.broker.reconcile_permits(vm.name, held, self.now_s)

    def greeting_received(self, _sender: str, vm: Vm) -> None:
        self.heartbeat_received(vm, {})

    def known_received(self, _sender: str, vms: tuple[Vm, ...]) -> None:
        self.view.add_known_vms(vms, self.now_s)

    def digest_received(self, sender: str, digest: DomainDigest) -> None:
        """Record a digest; forward it if it is from another domain."""
        self.view.record_digest(replace(digest, created_s=self.now_s))
        if not any(vm.name == sender for vm, _ in digest.vms):
            return
        for vm in self.view.heartbeat_targets(self.view.own.failure_domain):
            self.post(vm.name, 'digest_received', digest)

    def _sweep(self) -> None:
        now_s = self.now_s
        self._pause_tracker.tick(now_s)
        self._update_visible_share()
        self.broker.expire(now_s)
        self.broker.forget_old_requests(now_s)
        self.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _update_visible_share(self) -> None:
        now_s = self.now_s
        if now_s - self._started_s < SETTLED_S:
            return
        share = self.view.live_share(now_s - self._started_s, now_s)
        if self._pause_tracker.is_settling(now_s):
            share = 0
        self.broker.visible_share = self._visible_share.record(share, now_s)

    def _send_heartbeats(self) -> None:
        self._update_liveness()
        self.fleet.post_heartbeats(self, self.client.held_permits())
        if self.now_s - self._digests_sent_s >= DIGEST_PERIOD_S:
            self._digests_sent_s = self.now_s
            self._send_digests()
        period_s = heartbeat_period_s(self.view.heartbeat_vm_count)
        self.call_later(period_s, self._send_heartbeats)

    def _send_digests(self) -> None:
        own = self.view.own
        now_s = self.now_s
        first = self.view.ranked(
            DIGEST_SENDER_SUBJECT, own.failure_domain, now_s
        )[0]
        if first.name != own.name:
            return
        digest = DomainDigest(
            own.failure_domain, now_s, self.view.live_members(now_s)
        )
        for domain in self.fleet.domains:
            if domain != own.failure_domain:
                for receiver in self._digest_receivers(domain):
                    self.post(receiver.name, 'digest_received', digest)

    def _digest_receivers(self, domain: str) -> tuple[Vm, ...]:
        if self.view.live_in_domain(domain, self.now_s):
            return self.view.ranked(DIGEST_SENDER_SUBJECT, domain, self.now_s)[
                :1
            ]
        return tuple(
            vm for vm in self.view.known() if vm.failure_domain == domain
        )[:2]

    def _update_liveness(self) -> None:
        _, lost = self.view.update_liveness(self.now_s)
        for name in sorted(lost):
            self.broker.release_lost_vm(name, self.now_s)

    def _schedule_queue_check(self) -> None:
        if self.broker.has_waiting and not self._is_check_scheduled:
            self._is_check_scheduled = True
            self.call_later(QUEUE_CHECK_INTERVAL_S, self._check_queue)

    def _check_queue(self) -> None:
        """Decide in the same order in every process."""
        self._is_check_scheduled = False
        for pool in self._pools:
            self._apply(self.broker.decide(self.now_s, pool))
        self._schedule_queue_check()

    def _apply(self, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, ProbeRequest):
                self.fleet.send_probe(self, decision.backend)
            else:
                requester = decision.request.requester
                self.post(requester, 'decision_received', decision)
