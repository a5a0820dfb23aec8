"""One pool at its broker: its servers, the asks that wait, its budget."""

from __future__ import annotations

from collections.abc import Iterable

from turmericpost_core.grants.backend_use import BackendUse
from turmericpost_core.grants.choice import Takers
from turmericpost_core.grants.limits import (
    LEAVE_FACTOR,
    PROBES_AT_ONCE,
    RepeatBounds,
    usable_slots,
)
from turmericpost_core.grants.permits import Ask, AskEnd, Denied
from turmericpost_core.grants.repeat_budget import RepeatBudget
from turmericpost_core.grants.waiting_asks import ServiceQueue

LEAVE_AFTER_S = 0.02
"""Wait after which a call that would be late is sent elsewhere: one look."""


class PoolState:
    """What a broker keeps of one pool."""

    def __init__(self, bounds: RepeatBounds) -> None:
        self.uses: tuple[BackendUse, ...] = ()
        self.slots = 0
        self.queue = ServiceQueue()
        self._bounds = bounds
        self._budget: RepeatBudget | None = None

    def install(self, uses: Iterable[BackendUse]) -> None:
        """Take the servers, and count the slots that may be in use."""
        self.uses = tuple(uses)
        self.slots = sum(usable_slots(use.backend.slots) for use in self.uses)

    def budget(self, now_s: float) -> RepeatBudget:
        """Return the budget of repeats, begun when first asked for."""
        if self._budget is None:
            self._budget = RepeatBudget(self._bounds, now_s)
        return self._budget

    def with_room(self, now_s: float, cold_per_s: float) -> list[BackendUse]:
        """Return the servers that may take one more call."""
        return [use for use in self.uses if use.has_room(now_s, cold_per_s)]

    def refusal(self, ask: Ask, now_s: float) -> Denied | None:
        """Return why an ask is turned away before it waits, if it is."""
        slots = self.slots
        if not slots:
            return Denied(ask, AskEnd.NO_BACKEND)
        queue = self.queue
        wait_s = queue.wait_s(len(queue), slots, ask, now_s)
        end_s = now_s + wait_s + queue.usual_s(ask)
        if ask.may_leave and end_s > ask.objective_at_s:
            return Denied(ask, AskEnd.ELSEWHERE)
        if end_s > ask.deadline_at_s:
            return Denied(ask, AskEnd.OVERLOADED, wait_s)
        return None

    def given_up(
        self,
        ask: Ask,
        ahead: int,
        takers: Takers,
        now_s: float,
    ) -> Denied | None:
        """Return why a waiting ask waits no longer, with some ahead of it."""
        waited_s = now_s - ask.asked_s
        usual_s = self.queue.usual_s(ask)
        if ask.may_leave and waited_s > LEAVE_AFTER_S:
            if self.queue.is_late(ask, now_s, LEAVE_FACTOR):
                return Denied(ask, AskEnd.ELSEWHERE)
        if not ask.may_wait:
            if waited_s > 2 * LEAVE_AFTER_S or takers.is_final(ask):
                return Denied(ask, AskEnd.OVERLOADED)
        wait_s = self.queue.wait_s(ahead, self.slots, ask, now_s)
        if ahead and now_s + wait_s + usual_s > ask.deadline_at_s:
            return Denied(ask, AskEnd.OVERLOADED, wait_s)
        return None


def uses_to_probe(
    uses: Iterable[BackendUse],
    now_s: float,
) -> list[BackendUse]:
    """Return servers whose report is old, those most likely free first."""
    stale = [
        use for use in uses if use.may_probe(now_s) and not use.is_fresh(now_s)
    ]
    stale.sort(key=lambda use: (use.in_use(now_s), use.probed_s))
    return stale[:PROBES_AT_ONCE]
