"""One pool at its broker: its servers, the asks that wait, its budget."""

from __future__ import annotations

from collections.abc import Iterable

from turmericpost_core.grants.backend_choice import Takers
from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.limits import (
    LEAVE_FACTOR,
    PROBES_AT_ONCE,
    RetryLimits,
    usable_slots,
)
from turmericpost_core.grants.permits import (
    DenialReason,
    PermitDenial,
    PermitRequest,
)
from turmericpost_core.grants.request_queue import ServiceQueue
from turmericpost_core.grants.sliding_retry_budget import SlidingRetryBudget

LEAVE_AFTER_S = 0.02
"""Wait after which a call that would be late is sent elsewhere: one look."""


class PoolState:
    """What a broker keeps of one pool."""

    def __init__(self, bounds: RetryLimits) -> None:
        self.backend_states: tuple[BackendState, ...] = ()
        self.slots = 0
        self.queue = ServiceQueue()
        self._bounds = bounds
        self._budget: SlidingRetryBudget | None = None

    def install(self, backend_states: Iterable[BackendState]) -> None:
        """Take the servers, and count the slots that may be in use."""
        self.backend_states = tuple(backend_states)
        self.slots = sum(
            usable_slots(use.backend.slots) for use in self.backend_states
        )

    def budget(self, now_s: float) -> SlidingRetryBudget:
        """Return the budget of repeats, begun when first asked for."""
        if self._budget is None:
            self._budget = SlidingRetryBudget(self._bounds, now_s)
        return self._budget

    def with_room(self, now_s: float, cold_per_s: float) -> list[BackendState]:
        """Return the servers that may take one more call."""
        return [
            use
            for use in self.backend_states
            if use.has_room(now_s, cold_per_s)
        ]

    def refusal(
        self, request: PermitRequest, now_s: float
    ) -> PermitDenial | None:
        """Return why an ask is turned away before it waits, if it is."""
        slots = self.slots
        if not slots:
            return PermitDenial(request, DenialReason.NO_BACKEND)
        queue = self.queue
        wait_s = queue.wait_s(len(queue), slots, request, now_s)
        end_s = now_s + wait_s + queue.usual_s(request)
        if request.may_redirect and end_s > request.objective_at_s:
            return PermitDenial(request, DenialReason.OTHER_DOMAIN)
        if end_s > request.deadline_at_s:
            return PermitDenial(request, DenialReason.OVERLOADED, wait_s)
        return None

    def given_up(
        self,
        request: PermitRequest,
        ahead: int,
        takers: Takers,
        now_s: float,
    ) -> PermitDenial | None:
        """Return why a waiting ask waits no longer, with some ahead of it."""
        waited_s = now_s - request.requested_s
        usual_s = self.queue.usual_s(request)
        if request.may_redirect and waited_s > LEAVE_AFTER_S:
            if self.queue.is_late(request, now_s, LEAVE_FACTOR):
                return PermitDenial(request, DenialReason.OTHER_DOMAIN)
        if not request.may_wait:
            if waited_s > 2 * LEAVE_AFTER_S or takers.is_final(request):
                return PermitDenial(request, DenialReason.OVERLOADED)
        wait_s = self.queue.wait_s(ahead, self.slots, request, now_s)
        if ahead and now_s + wait_s + usual_s > request.deadline_at_s:
            return PermitDenial(request, DenialReason.OVERLOADED, wait_s)
        return None


def uses_to_probe(
    backend_states: Iterable[BackendState],
    now_s: float,
) -> list[BackendState]:
    """Return servers whose report is old, those most likely free first."""
    stale = [
        use
        for use in backend_states
        if use.may_probe(now_s) and not use.is_fresh(now_s)
    ]
    stale.sort(key=lambda use: (use.in_use(now_s), use.probed_s))
    return stale[:PROBES_AT_ONCE]
