"""Broker: gives out permits to use the backend servers of a pool.

One VM of a failure domain is the broker of a service there. It sees every
call for these servers, so it knows exactly what is in use, and one queue
holds the calls that wait. The calls themselves do not pass through it.
"""

from __future__ import annotations

from collections.abc import (
    Callable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)

from turmericpost_core.fleet.backends import Backend
from turmericpost_core.fleet.operator_config import ServiceSpec
from turmericpost_core.grants.backend_use import BackendUse
from turmericpost_core.grants.limits import (
    HELD_CHECK_S,
    PROBES_AT_ONCE,
    SLOW_WAIT_S,
    USUAL_SPEED_PERCENT,
    RepeatBounds,
    usable_slots,
)
from turmericpost_core.grants.permits import (
    Ask,
    AskEnd,
    Decision,
    Denied,
    Finish,
    Grant,
    Granted,
    LoadFigures,
    Pool,
    ProbeWanted,
    SendOutcome,
)
from turmericpost_core.grants.repeat_budget import RepeatBudget
from turmericpost_core.grants.waiting_asks import ServiceQueue

_PERCENT = 100.0
_LEAVE_AFTER_S = 0.02
_EXPIRY_SLACK_S = 0.5


class Broker:
    """Permits for the backend servers of one failure domain.

    ``view_share`` is the part of the domain's VMs that this one hears. In a
    split view every part has a broker of its own, so each takes only its
    part of what a cold server bears and of the slack for repeats. Of both a
    broker takes nothing for a pool that another VM ``leads``: calls come to
    it because that one was silent for a moment, and has its own share.
    """

    def __init__(self, own_name: str, bounds: RepeatBounds) -> None:
        self.view_share = float(0)
        self.leads: Callable[[Pool], bool] = _always
        self._own_name = own_name
        self._bounds = bounds
        self._uses: dict[str, BackendUse] = {}
        self._by_pool: dict[Pool, list[BackendUse]] = {}
        self._services: Mapping[str, ServiceSpec] = {}
        self._queues: dict[Pool, ServiceQueue] = {}
        self._budgets: dict[Pool, RepeatBudget] = {}
        self._grants: dict[str, Grant] = {}
        self._granted_asks: dict[str, Granted] = {}
        self._next_grant = 0

    @property
    def has_waiting(self) -> bool:
        """Whether any ask waits."""
        return any(self._queues.values())

    def uses(self) -> Iterable[BackendUse]:
        """Return what is known of every backend server."""
        return self._uses.values()

    def install_services(self, services: Mapping[str, ServiceSpec]) -> None:
        """Take the services of a configuration."""
        self._services = services

    def install_backends(
        self, backends: Iterable[Backend], now_s: float
    ) -> None:
        """Take the backend servers that may be used."""
        uses: dict[str, BackendUse] = {}
        for backend in backends:
            known = self._uses.get(backend.backend_id)
            if known is None or _is_other_start(known.backend, backend):
                known = BackendUse(backend, now_s)
            else:
                _update(known, backend, now_s)
            uses[backend.backend_id] = known
        self._uses = uses
        self._by_pool = {}
        for use in uses.values():
            self._by_pool.setdefault(_pool(use), []).append(use)

    def ask(self, ask: Ask, now_s: float) -> tuple[Decision, ...]:
        """Take an ask; a repeated one gets its first answer again."""
        granted = self._granted_asks.get(ask.ask_id)
        if granted is not None:
            return (granted,)
        queue = self._queue(ask.pool)
        if ask.ask_id in queue:
            return ()
        end = self._refusal(ask, queue, now_s)
        if end is not None:
            return (end,)
        queue.add(ask)
        return self.decide(now_s, ask.pool)

    def cancel(self, ask_id: str) -> None:
        """Forget an ask that nobody waits for."""
        for queue in self._queues.values():
            if queue.remove(ask_id):
                return
        granted = self._granted_asks.pop(ask_id, None)
        if granted is not None and granted.grant_id in self._grants:
            grant = self._grants.pop(granted.grant_id)
            self._release(grant, SendOutcome.UNUSED, grant.granted_s)
            if not granted.ask.is_repeat:
                self._budget(granted.ask.pool, grant.granted_s).unrecord_call()

    def decide(
        self,
        now_s: float,
        pool: Pool | None = None,
    ) -> tuple[Decision, ...]:
        """Return what can be decided now for the asks that wait."""
        pools = tuple(self._queues) if pool is None else (pool,)
        decisions: list[Decision] = []
        for one in pools:
            queue = self._queues.get(one)
            if queue:
                decisions.extend(self._decide_queue(one, queue, now_s))
        return tuple(decisions)

    def finished(
        self,
        grant_id: str,
        finish: Finish,
        now_s: float,
    ) -> tuple[Decision, ...]:
        """Take back a permit with what its holder saw."""
        grant = self._grants.pop(grant_id, None)
        if grant is None:
            return ()
        use = self._release(grant, finish.outcome, now_s)
        if use is None:
            return ()
        use.report(finish.figures, now_s, use.permits + 1)
        if finish.outcome is SendOutcome.SUCCESS:
            if finish.figures is None:
                use.tells_load = False
            factor = grant.slowness_percent / _PERCENT
            queue = self._queue(_pool(use))
            queue.record_work(finish.latency_s / factor, grant.objective_s)
        return self.decide(now_s, _pool(use))

    def probed(
        self,
        backend_id: str,
        figures: LoadFigures | None,
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
        use.report(figures, now_s, use.permits)
        if figures is None:
            use.tells_load = False
        return self.decide(now_s, _pool(use))

    def probe_failed(self, backend_id: str, now_s: float) -> None:
        """Note a probe that got no answer."""
        use = self._uses.get(backend_id)
        if use is not None:
            use.probe_failed(now_s)

    def held(
        self,
        asker: str,
        holds: Mapping[str, str],
        now_s: float,
    ) -> None:
        """Compare the permits of a VM with those it says it holds.

        Permits given by an earlier broker are taken over; those the VM no
        longer holds are freed.
        """
        for grant_id, grant in tuple(self._grants.items()):
            is_settled = now_s - grant.granted_s > HELD_CHECK_S
            if grant.asker == asker and is_settled and grant_id not in holds:
                self._forget(grant_id, now_s)
        for grant_id, backend_id in holds.items():
            use = self._uses.get(backend_id)
            if grant_id not in self._grants and use is not None:
                self._grants[grant_id] = Grant(
                    backend_id,
                    asker,
                    now_s,
                    float('inf'),
                )
                use.start(now_s)

    def vm_lost(self, asker: str, now_s: float) -> None:
        """Free what a lost VM held and waited for."""
        for grant_id, grant in tuple(self._grants.items()):
            if grant.asker == asker:
                self._forget(grant_id, now_s)
        for queue in self._queues.values():
            for ask in tuple(queue.in_order(now_s)):
                if ask.asker == asker:
                    queue.remove(ask.ask_id)

    def expire(self, now_s: float) -> None:
        """Free the permits of calls that must have ended."""
        for grant_id, grant in tuple(self._grants.items()):
            if now_s > grant.expires_s + _EXPIRY_SLACK_S:
                self._forget(grant_id, now_s)

    def forget_old_asks(self, now_s: float) -> None:
        """Drop the answers kept for asks that come again."""
        self._granted_asks = {
            ask_id: granted
            for ask_id, granted in self._granted_asks.items()
            if now_s < granted.ask.deadline_at_s
        }

    def _decide_queue(
        self,
        pool: Pool,
        queue: ServiceQueue,
        now_s: float,
    ) -> Iterator[Decision]:
        ahead = 0
        slots = self._slots(pool)
        takers = self._takers(pool, now_s)
        for ask in tuple(queue.in_order(now_s)):
            decision = self._place(ask, queue, takers, now_s)
            if isinstance(decision, Granted):
                takers = self._takers(pool, now_s)
            if decision is None and ahead:
                wait_s = queue.wait_s(ahead, slots, ask, now_s)
                if now_s + wait_s + queue.usual_s(ask) > ask.deadline_at_s:
                    decision = Denied(ask, AskEnd.OVERLOADED, wait_s)
            if decision is None:
                ahead += 1
            else:
                queue.remove(ask.ask_id)
                yield decision
        if queue:
            yield from self._probes(pool, now_s)

    def _place(
        self,
        ask: Ask,
        queue: ServiceQueue,
        takers: Sequence[BackendUse],
        now_s: float,
    ) -> Granted | Denied | None:
        usual_s = queue.usual_s(ask)
        if now_s + usual_s > ask.deadline_at_s:
            return Denied(ask, AskEnd.DEADLINE, usual_s)
        use = _best(takers, ask, usual_s, now_s)
        if use is not None:
            queue.record_grant(now_s)
            return self._grant(ask, use, now_s)
        waited_s = now_s - ask.asked_s
        leaves = ask.may_leave and queue.is_late(ask, now_s + usual_s / 2)
        if leaves and waited_s > _LEAVE_AFTER_S:
            return Denied(ask, AskEnd.ELSEWHERE)
        if not ask.may_wait and waited_s > 2 * _LEAVE_AFTER_S:
            return Denied(ask, AskEnd.OVERLOADED)
        return None

    def _takers(self, pool: Pool, now_s: float) -> list[BackendUse]:
        """Return the servers that may take a call now, the best first."""
        fresh = [
            use for use in self._with_room(pool, now_s) if use.is_fresh(now_s)
        ]
        fresh.sort(key=lambda use: _preference(use, now_s))
        return fresh

    def _grant(
        self,
        ask: Ask,
        use: BackendUse,
        now_s: float,
    ) -> Granted | Denied:
        if ask.is_repeat and not self._take_repeat(ask.pool, now_s):
            return Denied(ask, AskEnd.REPEAT_BUDGET)
        if not ask.is_repeat:
            self._budget(ask.pool, now_s).record_call(now_s)
        use.start(now_s)
        self._next_grant += 1
        grant_id = f'{self._own_name}/{self._next_grant}'
        self._grants[grant_id] = Grant(
            use.backend.backend_id,
            ask.asker,
            now_s,
            ask.deadline_at_s,
            ask.objective_at_s - ask.arrived_s,
            use.slowness_percent,
        )
        granted = Granted(
            ask,
            use.backend,
            grant_id,
            use.slowness_percent,
            now_s - use.reported_s,
            self._queue(ask.pool).usual_s(ask) * use.work_factor(now_s),
        )
        self._granted_asks[ask.ask_id] = granted
        return granted

    def _take_repeat(self, pool: Pool, now_s: float) -> bool:
        return self._budget(pool, now_s).take(now_s, self._share(pool))

    def _share(self, pool: Pool) -> float:
        return self.view_share if self.leads(pool) else float(0)

    def _probes(self, pool: Pool, now_s: float) -> Iterator[ProbeWanted]:
        """Yield probes of servers with room whose report is old."""
        stale = [
            use
            for use in self._with_room(pool, now_s)
            if use.may_probe(now_s) and not use.is_fresh(now_s)
        ]
        stale.sort(key=lambda use: (use.in_use(now_s), use.probed_s))
        for use in stale[:PROBES_AT_ONCE]:
            use.probe_sent(now_s)
            yield ProbeWanted(use.backend)

    def _with_room(self, pool: Pool, now_s: float) -> Iterator[BackendUse]:
        spec = self._services.get(pool[0])
        cold_per_s = 1 if spec is None else spec.cold_per_s * self._share(pool)
        for use in self._by_pool.get(pool, ()):
            if use.has_room(now_s, cold_per_s):
                yield use

    def _refusal(
        self,
        ask: Ask,
        queue: ServiceQueue,
        now_s: float,
    ) -> Denied | None:
        slots = self._slots(ask.pool)
        if not slots:
            return Denied(ask, AskEnd.NO_BACKEND)
        usual_s = queue.usual_s(ask)
        wait_s = queue.wait_s(len(queue), slots, ask, now_s)
        end_s = now_s + wait_s + usual_s
        if ask.may_leave and end_s > ask.objective_at_s:
            return Denied(ask, AskEnd.ELSEWHERE)
        if end_s > ask.deadline_at_s:
            return Denied(ask, AskEnd.OVERLOADED, wait_s)
        return None

    def _slots(self, pool: Pool) -> int:
        uses = self._by_pool.get(pool, ())
        return sum(usable_slots(use.backend.slots) for use in uses)

    def _release(
        self,
        grant: Grant,
        outcome: SendOutcome,
        now_s: float,
    ) -> BackendUse | None:
        use = self._uses.get(grant.backend_id)
        if use is not None:
            use.finish(outcome, now_s)
        return use

    def _forget(self, grant_id: str, now_s: float) -> None:
        grant = self._grants.pop(grant_id)
        self._release(grant, SendOutcome.UNUSED, now_s)

    def _queue(self, pool: Pool) -> ServiceQueue:
        queue = self._queues.get(pool)
        if queue is None:
            queue = ServiceQueue()
            self._queues[pool] = queue
        return queue

    def _budget(self, pool: Pool, now_s: float) -> RepeatBudget:
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RepeatBudget(self._bounds, now_s)
            self._budgets[pool] = budget
        return budget


def _always(_pool_asked: Pool) -> bool:
    return True


def _pool(use: BackendUse) -> Pool:
    return use.backend.service, use.backend.failure_domain


def _best(
    takers: Sequence[BackendUse],
    ask: Ask,
    usual_s: float,
    now_s: float,
) -> BackendUse | None:
    """Return the first server that is not excluded, if it is good enough."""
    fit = (use for use in takers if use.backend.backend_id not in ask.excluded)
    best = next(fit, None)
    if best is None:
        return None
    end_s = now_s + usual_s * best.work_factor(now_s)
    is_fast = best.slowness_percent <= USUAL_SPEED_PERCENT
    if is_fast or end_s <= ask.objective_at_s:
        return best
    waited_s = now_s - ask.arrived_s
    if waited_s > SLOW_WAIT_S and end_s <= ask.deadline_at_s:
        return best
    return None


def _preference(use: BackendUse, now_s: float) -> tuple[bool, float, float]:
    share = use.in_use(now_s) / use.backend.slots
    sick = not use.is_healthy or use.failure_share > 1 / 4
    return sick, use.work_factor(now_s), share


def _is_other_start(known: Backend, backend: Backend) -> bool:
    if known.started_ms != backend.started_ms:
        return True
    address = (known.host, known.port, known.service)
    return address != (backend.host, backend.port, backend.service)


def _update(use: BackendUse, backend: Backend, now_s: float) -> None:
    if backend.is_cold and not use.backend.is_cold:
        use.note_cold(backend.cold_left_s, now_s)
    use.backend = backend
