"""Broker: grants permits to use the backend servers of a pool.

One VM of a failure domain is the broker of a service there. All permit
requests for these servers go to it, so it knows exactly which slots are in
use and keeps waiting requests in a single queue. The calls themselves do
not pass through the broker.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import (
    Callable,
    Iterable,
    Iterator,
    Mapping,
)

from turmericpost_core.fleet.backends import Backend
from turmericpost_core.fleet.operator_config import ServiceSpec
from turmericpost_core.grants.availability import AvailabilityTable
from turmericpost_core.grants.backend_choice import (
    Candidates,
    choose_backend,
    rank_candidates,
)
from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.grant_observer import (
    DenialBasis,
    GrantObserver,
    GrantTerms,
    IgnoringObserver,
)
from turmericpost_core.grants.limits import (
    RetryLimits,
)
from turmericpost_core.grants.permit_table import PermitTable
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    Decision,
    DenialReason,
    PermitDenial,
    PermitGrant,
    PermitRecord,
    PermitRequest,
    Pool,
    ProbeRequest,
    ReportedLoad,
)
from turmericpost_core.grants.pool_state import PoolState
from turmericpost_core.grants.rate_limits import RateLimitTable, pool_of
from turmericpost_core.grants.rate_share import (
    AttemptPace,
    BrokerShare,
    attempt_pace,
    part_per_s,
)

_PERCENT = 100.0


class Broker:
    """Grants permits for the backend servers of one failure domain.

    ``visible_share`` is the share of the domain's VMs, from 0 to 1, that
    this VM receives heartbeats from. During a network partition each part of
    the domain has its own broker, so each uses only its share of the cold
    rate limit, of the rate limits that servers state, and of the retry
    slack. ``lead_share`` returns the part of this share that a pool's rank
    allows: 1 for the leader of the pool, the first choice as its broker. On
    other VMs requests arrive because the leader did not reply in time, while
    it still uses its own share.
    While ``is_settling``, called with the time, returns true, this VM may
    not know which servers have left during a pause, nor that another broker
    has taken over. It then grants nothing and sends no probes. ``observer``
    is told of every grant and of servers that turn out to be cold.
    """

    def __init__(self, own_name: str, retry_limits: RetryLimits) -> None:
        self.visible_share = float(0)
        self.lead_share: Callable[[Pool], float] = _leads_all
        self.is_settling: Callable[[float], bool] = _is_never_settling
        self.observer: GrantObserver = IgnoringObserver()
        self.rate_limits = RateLimitTable()
        self.availability = AvailabilityTable()
        self._retry_limits = retry_limits
        self._backend_states: dict[str, BackendState] = {}
        self._pools: dict[Pool, PoolState] = {}
        self._services: Mapping[str, ServiceSpec] = {}
        self._permit_table = PermitTable(own_name)

    @property
    def has_waiting(self) -> bool:
        """Whether any permit request is queued."""
        return any(pool.queue for pool in self._pools.values())

    def backend_states(self) -> Iterable[BackendState]:
        """Return the state of every backend server."""
        return self._backend_states.values()

    def install_services(self, services: Mapping[str, ServiceSpec]) -> None:
        """Replace the service specifications, keyed by service name."""
        self._services = services

    def install_backends(
        self, backends: Iterable[Backend], now_s: float
    ) -> None:
        """Replace the set of usable backend servers.

        The state of a server is kept if neither its start time nor its
        address and service have changed.
        """
        backend_states: dict[str, BackendState] = {}
        for backend in backends:
            state = self._backend_states.get(backend.backend_id)
            if state is None or _is_new_instance(state.backend, backend):
                state = BackendState(backend, now_s)
            else:
                _update_backend(state, backend, now_s)
            backend_states[backend.backend_id] = state
        self._backend_states = backend_states
        by_pool: defaultdict[Pool, list[BackendState]] = defaultdict(list)
        for server in backend_states.values():
            by_pool[pool_of(server.backend)].append(server)
        for pool in self._pools.keys() | by_pool.keys():
            self._pool(pool).install_backends(by_pool[pool])

    def request(
        self, request: PermitRequest, now_s: float
    ) -> tuple[Decision, ...]:
        """Handle a permit request and return the decisions that follow.

        A request that was already granted gets the same grant again; one
        that is already queued gets no decision.
        """
        grant = self._permit_table.grant_for_request(request.permit_request_id)
        if grant is not None:
            return (grant,)
        pool = self._pool(request.pool)
        if request.permit_request_id in pool.queue:
            return ()
        self._apply_statements(request.pool, now_s)
        cold_pace = self._cold_pace(request.pool)
        denial = pool.immediate_denial(request, now_s, cold_pace)
        if denial is not None:
            self._observe_denial(denial, now_s)
            return (denial,)
        pool.queue.add(request)
        return self.decide(now_s, request.pool)

    def cancel(self, permit_request_id: str) -> None:
        """Cancel a queued request, or revoke the permit it was granted."""
        for pool in self._pools.values():
            if pool.queue.remove(permit_request_id):
                return
        revoked = self._permit_table.revoke(permit_request_id)
        if revoked is None:
            return
        grant, record = revoked
        self._end_attempt(record, AttemptOutcome.UNUSED, record.granted_s)
        if not grant.request.is_retry:
            retry_budget = self._pool(grant.request.pool).retry_budget(
                record.granted_s
            )
            retry_budget.unrecord_call()

    def decide(
        self,
        now_s: float,
        pool: Pool | None = None,
    ) -> tuple[Decision, ...]:
        """Return the decisions now possible for the queued requests.

        Covers all pools unless one is given.
        """
        pools = tuple(self._pools) if pool is None else (pool,)
        decisions: list[Decision] = []
        for pool_id in pools:
            if self._pool(pool_id).queue:
                decisions.extend(self._decide_pool(pool_id, now_s))
        return tuple(decisions)

    def release_permit(
        self,
        permit_id: str,
        attempt_report: AttemptReport,
        now_s: float,
    ) -> tuple[Decision, ...]:
        """End a permit and record its holder's report about the attempt.

        Returns the decisions that the freed slot allows; none if the permit
        is unknown.
        """
        record = self._permit_table.pop_permit(permit_id)
        if record is None:
            return ()
        server = self._end_attempt(record, attempt_report.outcome, now_s)
        if server is None:
            return ()
        self._record_load(
            server, attempt_report.reported_load, now_s, server.permits + 1
        )
        if attempt_report.outcome is AttemptOutcome.SUCCESS:
            if attempt_report.reported_load is None:
                server.record_missing_load()
            factor = record.slowness_percent / _PERCENT
            queue = self._pool(pool_of(server.backend)).queue
            queue.record_service_time(
                attempt_report.latency_s / factor, record, now_s
            )
        return self.decide(now_s, pool_of(server.backend))

    def record_probe(
        self,
        backend_id: str,
        reported_load: ReportedLoad | None,
        now_s: float,
        *,
        is_healthy: bool,
    ) -> tuple[Decision, ...]:
        """Record the response to a probe; return the decisions it allows.

        ``reported_load`` is ``None`` if the server does not report its load.
        """
        server = self._backend_states.get(backend_id)
        if server is None:
            return ()
        server.probe_pending = False
        server.is_healthy = is_healthy
        self._record_load(server, reported_load, now_s, server.permits)
        if reported_load is None:
            server.record_missing_load()
        return self.decide(now_s, pool_of(server.backend))

    def record_probe_failure(self, backend_id: str, now_s: float) -> None:
        """Record that a probe of a backend server got no response."""
        server = self._backend_states.get(backend_id)
        if server is not None:
            server.record_probe_failure(now_s)

    def reconcile_permits(
        self,
        requester: str,
        held_permits: Mapping[str, str],
        now_s: float,
    ) -> None:
        """Bring the permit table in line with the permits a VM lists.

        ``held_permits`` maps permit ids to backend ids. Permits granted by
        an earlier broker are adopted; those that the VM no longer lists are
        released.
        """
        for unlisted in self._permit_table.unlisted_permits(
            requester, held_permits, now_s
        ):
            self._release_unused(unlisted, now_s)
        for permit_id, backend_id in held_permits.items():
            server = self._backend_states.get(backend_id)
            if permit_id not in self._permit_table and server is not None:
                adopted = PermitRecord(
                    backend_id, requester, now_s, float('inf')
                )
                self._permit_table.adopt(permit_id, adopted)
                server.record_attempt_start(now_s)

    def release_lost_vm(self, requester: str, now_s: float) -> None:
        """Release the permits of a lost VM and drop its queued requests."""
        for permit_id in self._permit_table.permits_of_vm(requester):
            self._release_unused(permit_id, now_s)
        for pool in self._pools.values():
            for request in tuple(pool.queue.in_order(now_s)):
                if request.requester == requester:
                    pool.queue.remove(request.permit_request_id)

    def expire(self, now_s: float) -> None:
        """Release the permits whose calls are past their deadlines."""
        for permit_id in self._permit_table.expired_permits(now_s):
            self._release_unused(permit_id, now_s)

    def forget_old_requests(self, now_s: float) -> None:
        """Drop grants whose deadlines have passed, and old statements."""
        self._permit_table.forget_old_grants(now_s)
        self.rate_limits.forget_old(now_s)
        self.availability.forget_old(now_s)

    def _decide_pool(self, pool: Pool, now_s: float) -> Iterator[Decision]:
        pool_state = self._pool(pool)
        ahead = 0
        self._apply_statements(pool, now_s)
        cold_pace = self._cold_pace(pool)
        candidates = self._candidates(pool, now_s)
        for request in tuple(pool_state.queue.in_order(now_s)):
            decision = self._decide_request(request, candidates, now_s)
            if isinstance(decision, PermitGrant):
                candidates = self._candidates(pool, now_s)
            decision = decision or pool_state.denial_for_queued(
                request, ahead, candidates, now_s, cold_pace
            )
            if decision is None:
                ahead += 1
            else:
                pool_state.queue.remove(request.permit_request_id)
                if isinstance(decision, PermitDenial):
                    self._observe_denial(decision, now_s)
                yield decision
        if pool_state.queue:
            yield from self._probe_requests(pool, now_s)

    def _decide_request(
        self,
        request: PermitRequest,
        candidates: Candidates,
        now_s: float,
    ) -> PermitGrant | PermitDenial | None:
        pool = self._pool(request.pool)
        typical_service_time_s = pool.queue.service_times.typical_s(request)
        is_too_long = now_s + typical_service_time_s > request.deadline_at_s
        if is_too_long and not pool.queue.is_measurement(request):
            return PermitDenial(
                request, DenialReason.DEADLINE, typical_service_time_s
            )
        server = choose_backend(
            candidates, request, typical_service_time_s, now_s
        )
        if server is None:
            return None
        pool.queue.record_grant(now_s)
        return self._grant(request, server, now_s)

    def _candidates(self, pool: Pool, now_s: float) -> Candidates:
        pool_state = self._pool(pool)
        if self.is_settling(now_s):
            return rank_candidates(pool_state.backend_states, (), now_s)
        cold_pace = self._cold_pace(pool)
        return rank_candidates(
            pool_state.backend_states,
            pool_state.available_backends(now_s, cold_pace),
            now_s,
            lacks_reports=pool_state.lacks_reports(now_s, cold_pace),
        )

    def _grant(
        self,
        request: PermitRequest,
        server: BackendState,
        now_s: float,
    ) -> PermitGrant | PermitDenial:
        pool = self._pool(request.pool)
        retry_budget = pool.retry_budget(now_s)
        if not request.is_retry:
            retry_budget.record_call(now_s)
        elif not retry_budget.try_spend(now_s, self._own_share(request.pool)):
            return PermitDenial(request, DenialReason.RETRY_BUDGET)
        server.record_attempt_start(now_s, is_retry=request.is_retry)
        is_measurement = pool.queue.is_measurement(request)
        if is_measurement:
            pool.queue.service_times.measurement_granted(
                request.call_class, now_s
            )
        grant = PermitGrant(
            request,
            server.backend,
            self._permit_table.new_permit_id(),
            server.slowness_percent,
            now_s - server.reported_s,
            pool.queue.service_times.typical_s(request)
            * server.slowdown_factor(now_s),
        )
        record = PermitRecord(
            server.backend.backend_id,
            request.requester,
            now_s,
            request.deadline_at_s,
            request.call_class,
            server.slowness_percent,
            is_measurement,
        )
        self._permit_table.add_grant(grant, record)
        terms = self._terms(request.pool)
        self.observer.permit_granted(grant, server, terms, now_s)
        return grant

    def _observe_denial(self, denial: PermitDenial, now_s: float) -> None:
        pool_id = denial.request.pool
        pool = self._pool(pool_id)
        basis = DenialBasis(
            pool.queue.service_times.typical_s(denial.request),
            len(pool.queue),
            len(pool.available_backends(now_s, self._cold_pace(pool_id))),
        )
        self.observer.request_denied(denial, basis, now_s)

    def _terms(self, pool: Pool) -> GrantTerms:
        share = self._broker_share(pool)
        return GrantTerms(
            share.lead >= 1,
            share.total,
            part_per_s(self._whole_cold_per_s(pool), share),
            self._cold_pace(pool).attempts,
        )

    def _record_load(
        self,
        server: BackendState,
        reported_load: ReportedLoad | None,
        now_s: float,
        own_calls: int,
    ) -> None:
        reports_cold = reported_load is not None and reported_load.cold_left_s
        if reports_cold and not server.may_be_cold(now_s):
            self.observer.found_cold(server, now_s)
        server.record_load(reported_load, now_s, own_calls)

    def _own_share(self, pool: Pool) -> float:
        return self._broker_share(pool).total

    def _broker_share(self, pool: Pool) -> BrokerShare:
        return BrokerShare(self.visible_share, self.lead_share(pool))

    def _apply_statements(self, pool: Pool, now_s: float) -> None:
        """Apply what the servers of a pool have stated to their states."""
        share = self._broker_share(pool)
        for server in self._pool(pool).backend_states:
            limit = self.rate_limits.limit_of(server.backend)
            server.pacer.set_limit(limit, share, now_s)
            server.close_until(
                self.availability.in_force(server.backend, now_s)
            )

    def _probe_requests(
        self, pool: Pool, now_s: float
    ) -> Iterator[ProbeRequest]:
        """Yield probes of servers that a load report may make usable."""
        if self.is_settling(now_s):
            return
        cold_pace = self._cold_pace(pool)
        for server in self._pool(pool).backends_to_probe(now_s, cold_pace):
            server.record_probe_start(now_s)
            yield ProbeRequest(server.backend)

    def _cold_pace(self, pool: Pool) -> AttemptPace:
        """Return this broker's part of the cold rate limit of a server."""
        cold_per_s = self._whole_cold_per_s(pool)
        return attempt_pace(cold_per_s, self._broker_share(pool))

    def _whole_cold_per_s(self, pool: Pool) -> float:
        spec = self._services.get(pool[0])
        return 1 if spec is None else spec.cold_per_s

    def _end_attempt(
        self,
        record: PermitRecord,
        outcome: AttemptOutcome,
        now_s: float,
    ) -> BackendState | None:
        server = self._backend_states.get(record.backend_id)
        if server is not None:
            server.record_attempt_end(outcome, now_s)
        return server

    def _release_unused(self, permit_id: str, now_s: float) -> None:
        record = self._permit_table.pop_permit(permit_id)
        if record is not None:
            self._end_attempt(record, AttemptOutcome.UNUSED, now_s)

    def _pool(self, pool: Pool) -> PoolState:
        pool_state = self._pools.get(pool)
        if pool_state is None:
            pool_state = PoolState(self._retry_limits)
            self._pools[pool] = pool_state
        return pool_state


def _leads_all(_requested_pool: Pool) -> float:
    return 1


def _is_never_settling(_now_s: float) -> bool:
    return False


def _is_new_instance(known: Backend, backend: Backend) -> bool:
    if known.started_ms != backend.started_ms:
        return True
    address = (known.host, known.port, known.service)
    return address != (backend.host, backend.port, backend.service)


def _update_backend(
    server: BackendState, backend: Backend, now_s: float
) -> None:
    if backend.is_cold and not server.backend.is_cold:
        server.record_cold_time(backend.cold_left_s, now_s)
    server.backend = backend
