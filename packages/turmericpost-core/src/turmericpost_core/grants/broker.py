"""Broker: gives out permits to use the backend servers of a pool.

One VM of a failure domain is the broker of a service there. It sees every
call for these servers, so it knows exactly what is in use, and one queue
holds the calls that wait. The calls themselves do not pass through it.
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
from turmericpost_core.grants.backend_choice import (
    Takers,
    choose_use,
    takers_of,
)
from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.limits import RetryLimits
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
from turmericpost_core.grants.pool_state import PoolState, uses_to_probe

_PERCENT = 100.0


class Broker:
    """Permits for the backend servers of one failure domain.

    ``view_share`` is the part of the domain's VMs that this one hears. In a
    split view every part has a broker of its own, so each takes only its
    part of what a cold server bears and of the slack for repeats. Of both a
    broker takes nothing for a pool that another VM ``leads``: calls come to
    it because that one was silent for a moment, and has its own share.
    """

    def __init__(self, own_name: str, bounds: RetryLimits) -> None:
        self.visible_share = float(0)
        self.leads: Callable[[Pool], bool] = _always
        self._bounds = bounds
        self._uses: dict[str, BackendState] = {}
        self._pools: dict[Pool, PoolState] = {}
        self._services: Mapping[str, ServiceSpec] = {}
        self._book = PermitTable(own_name)

    @property
    def has_waiting(self) -> bool:
        """Whether any ask waits."""
        return any(pool.queue for pool in self._pools.values())

    def backend_states(self) -> Iterable[BackendState]:
        """Return what is known of every backend server."""
        return self._uses.values()

    def install_services(self, services: Mapping[str, ServiceSpec]) -> None:
        """Take the services of a configuration."""
        self._services = services

    def install_backends(
        self, backends: Iterable[Backend], now_s: float
    ) -> None:
        """Take the backend servers that may be used."""
        backend_states: dict[str, BackendState] = {}
        for backend in backends:
            known = self._uses.get(backend.backend_id)
            if known is None or _is_other_start(known.backend, backend):
                known = BackendState(backend, now_s)
            else:
                _update(known, backend, now_s)
            backend_states[backend.backend_id] = known
        self._uses = backend_states
        by_pool: defaultdict[Pool, list[BackendState]] = defaultdict(list)
        for use in backend_states.values():
            by_pool[_pool_of(use)].append(use)
        for pool in self._pools.keys() | by_pool.keys():
            self._pool(pool).install(by_pool[pool])

    def request(
        self, request: PermitRequest, now_s: float
    ) -> tuple[Decision, ...]:
        """Take an ask; a repeated one gets its first answer again."""
        granted = self._book.answer_to(request.permit_request_id)
        if granted is not None:
            return (granted,)
        pool = self._pool(request.pool)
        if request.permit_request_id in pool.queue:
            return ()
        end = pool.refusal(request, now_s)
        if end is not None:
            return (end,)
        pool.queue.add(request)
        return self.decide(now_s, request.pool)

    def cancel(self, permit_request_id: str) -> None:
        """Forget an ask that nobody waits for."""
        for pool in self._pools.values():
            if pool.queue.remove(permit_request_id):
                return
        taken_back = self._book.take_back(permit_request_id)
        if taken_back is None:
            return
        granted, grant = taken_back
        self._release(grant, AttemptOutcome.UNUSED, grant.granted_s)
        if not granted.request.is_retry:
            budget = self._pool(granted.request.pool).budget(grant.granted_s)
            budget.unrecord_call()

    def decide(
        self,
        now_s: float,
        pool: Pool | None = None,
    ) -> tuple[Decision, ...]:
        """Return what can be decided now for the asks that wait."""
        pools = tuple(self._pools) if pool is None else (pool,)
        decisions: list[Decision] = []
        for one in pools:
            if self._pool(one).queue:
                decisions.extend(self._decide_pool(one, now_s))
        return tuple(decisions)

    def release_permit(
        self,
        permit_id: str,
        finish: AttemptReport,
        now_s: float,
    ) -> tuple[Decision, ...]:
        """Take back a permit with what its holder saw."""
        grant = self._book.close(permit_id)
        if grant is None:
            return ()
        use = self._release(grant, finish.outcome, now_s)
        if use is None:
            return ()
        use.report(finish.reported_load, now_s, use.permits + 1)
        if finish.outcome is AttemptOutcome.SUCCESS:
            if finish.reported_load is None:
                use.tells_load = False
            factor = grant.slowness_percent / _PERCENT
            queue = self._pool(_pool_of(use)).queue
            queue.record_work(finish.latency_s / factor, grant.objective_s)
        return self.decide(now_s, _pool_of(use))

    def record_probe(
        self,
        backend_id: str,
        reported_load: ReportedLoad | None,
        now_s: float,
        *,
        is_healthy: bool,
    ) -> tuple[Decision, ...]:
        """Take the answer to a probe."""
        use = self._uses.get(backend_id)
        if use is None:
            return ()
        use.probe_pending = False
        use.is_healthy = is_healthy
        use.report(reported_load, now_s, use.permits)
        if reported_load is None:
            use.tells_load = False
        return self.decide(now_s, _pool_of(use))

    def record_probe_failure(self, backend_id: str, now_s: float) -> None:
        """Note a probe that got no answer."""
        use = self._uses.get(backend_id)
        if use is not None:
            use.record_probe_failure(now_s)

    def reconcile_permits(
        self,
        requester: str,
        held_permits: Mapping[str, str],
        now_s: float,
    ) -> None:
        """Compare the permits of a VM with those it says it holds.

        Permits given by an earlier broker are taken over; those the VM no
        longer holds are freed.
        """
        for dropped in self._book.dropped(requester, held_permits, now_s):
            self._forget(dropped, now_s)
        for permit_id, backend_id in held_permits.items():
            use = self._uses.get(backend_id)
            if permit_id not in self._book and use is not None:
                taken = PermitRecord(backend_id, requester, now_s, float('inf'))
                self._book.take_over(permit_id, taken)
                use.start(now_s)

    def release_lost_vm(self, requester: str, now_s: float) -> None:
        """Free what a lost VM held and waited for."""
        for permit_id in self._book.of_vm(requester):
            self._forget(permit_id, now_s)
        for pool in self._pools.values():
            for request in tuple(pool.queue.in_order(now_s)):
                if request.requester == requester:
                    pool.queue.remove(request.permit_request_id)

    def expire(self, now_s: float) -> None:
        """Free the permits of calls that must have ended."""
        for permit_id in self._book.expired(now_s):
            self._forget(permit_id, now_s)

    def forget_old_requests(self, now_s: float) -> None:
        """Drop the answers kept for asks that come again."""
        self._book.forget_old_answers(now_s)

    def _decide_pool(self, pool: Pool, now_s: float) -> Iterator[Decision]:
        state = self._pool(pool)
        ahead = 0
        takers = self._takers(pool, now_s)
        for request in tuple(state.queue.in_order(now_s)):
            decision = self._place(request, takers, now_s)
            if isinstance(decision, PermitGrant):
                takers = self._takers(pool, now_s)
            decision = decision or state.given_up(request, ahead, takers, now_s)
            if decision is None:
                ahead += 1
            else:
                state.queue.remove(request.permit_request_id)
                yield decision
        if state.queue:
            yield from self._probes(pool, now_s)

    def _place(
        self,
        request: PermitRequest,
        takers: Takers,
        now_s: float,
    ) -> PermitGrant | PermitDenial | None:
        queue = self._pool(request.pool).queue
        usual_s = queue.usual_s(request)
        if now_s + usual_s > request.deadline_at_s:
            return PermitDenial(request, DenialReason.DEADLINE, usual_s)
        use = choose_use(takers, request, usual_s, now_s)
        if use is None:
            return None
        queue.record_grant(now_s)
        return self._grant(request, use, now_s)

    def _takers(self, pool: Pool, now_s: float) -> Takers:
        with_room = self._with_room(pool, now_s)
        return takers_of(self._pool(pool).backend_states, with_room, now_s)

    def _grant(
        self,
        request: PermitRequest,
        use: BackendState,
        now_s: float,
    ) -> PermitGrant | PermitDenial:
        pool = self._pool(request.pool)
        budget = pool.budget(now_s)
        if not request.is_retry:
            budget.record_call(now_s)
        elif not budget.take(now_s, self._share(request.pool)):
            return PermitDenial(request, DenialReason.RETRY_BUDGET)
        use.start(now_s)
        granted = PermitGrant(
            request,
            use.backend,
            self._book.new_id(),
            use.slowness_percent,
            now_s - use.reported_s,
            pool.queue.usual_s(request) * use.work_factor(now_s),
        )
        grant = PermitRecord(
            use.backend.backend_id,
            request.requester,
            now_s,
            request.deadline_at_s,
            request.objective_at_s - request.arrived_s,
            use.slowness_percent,
        )
        self._book.open(granted, grant)
        return granted

    def _share(self, pool: Pool) -> float:
        return self.visible_share if self.leads(pool) else float(0)

    def _probes(self, pool: Pool, now_s: float) -> Iterator[ProbeRequest]:
        """Yield probes of servers with room whose report is old."""
        for use in uses_to_probe(self._with_room(pool, now_s), now_s):
            use.probe_sent(now_s)
            yield ProbeRequest(use.backend)

    def _with_room(self, pool: Pool, now_s: float) -> list[BackendState]:
        spec = self._services.get(pool[0])
        cold_per_s = 1 if spec is None else spec.cold_per_s * self._share(pool)
        return self._pool(pool).with_room(now_s, cold_per_s)

    def _release(
        self,
        grant: PermitRecord,
        outcome: AttemptOutcome,
        now_s: float,
    ) -> BackendState | None:
        use = self._uses.get(grant.backend_id)
        if use is not None:
            use.finish(outcome, now_s)
        return use

    def _forget(self, permit_id: str, now_s: float) -> None:
        grant = self._book.close(permit_id)
        if grant is not None:
            self._release(grant, AttemptOutcome.UNUSED, now_s)

    def _pool(self, pool: Pool) -> PoolState:
        state = self._pools.get(pool)
        if state is None:
            state = PoolState(self._bounds)
            self._pools[pool] = state
        return state


def _always(_pool_asked: Pool) -> bool:
    return True


def _pool_of(use: BackendState) -> Pool:
    return use.backend.service, use.backend.failure_domain


def _is_other_start(known: Backend, backend: Backend) -> bool:
    if known.started_ms != backend.started_ms:
        return True
    address = (known.host, known.port, known.service)
    return address != (backend.host, backend.port, backend.service)


def _update(use: BackendState, backend: Backend, now_s: float) -> None:
    if backend.is_cold and not use.backend.is_cold:
        use.note_cold(backend.cold_left_s, now_s)
    use.backend = backend
