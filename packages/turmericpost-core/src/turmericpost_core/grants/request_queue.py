"""Asks that wait for a backend server of one service, and its usual work."""

from __future__ import annotations

from collections.abc import Iterator

from turmericpost_core.grants.limits import (
    IN_TIME_FACTOR,
    LATENCY_WEIGHT,
    LEAST_WORK_SHARE,
    OBJECTIVE_SHARE,
)
from turmericpost_core.grants.permits import PermitRequest


class ServiceQueue:
    """Waiting asks: those still on time first, then by rank and age.

    Asks that may not wait, of calls that have a place elsewhere or are
    already at work, come after all that have none.
    """

    def __init__(self) -> None:
        self._asks: dict[str, PermitRequest] = {}
        self._usual_s: float | None = None
        self._gap_s: float | None = None
        self._granted_s: float | None = None

    def __len__(self) -> int:
        """Return how many asks wait."""
        return len(self._asks)

    def __contains__(self, permit_request_id: str) -> bool:
        """Return whether an ask waits here."""
        return permit_request_id in self._asks

    def usual_s(self, request: PermitRequest) -> float:
        """Return the usual work of a call at usual speed."""
        if self._usual_s is None:
            return OBJECTIVE_SHARE * (
                request.objective_at_s - request.arrived_s
            )
        return self._usual_s

    def record_work(self, work_s: float, objective_s: float) -> None:
        """Take in the work of an answered call, at usual speed."""
        if work_s < LEAST_WORK_SHARE * objective_s:
            return
        if self._usual_s is None:
            self._usual_s = work_s
        else:
            self._usual_s += LATENCY_WEIGHT * (work_s - self._usual_s)

    def record_grant(self, now_s: float) -> None:
        """Take in that a waiting ask got its permit."""
        is_backlog = len(self._asks) > 1
        if is_backlog and self._granted_s is not None:
            gap_s = now_s - self._granted_s
            if self._gap_s is None:
                self._gap_s = gap_s
            else:
                self._gap_s += LATENCY_WEIGHT * (gap_s - self._gap_s)
        self._granted_s = now_s if is_backlog else None

    def wait_s(
        self, ahead: int, slots: int, request: PermitRequest, now_s: float
    ) -> float:
        """Return how long an ask waits with some ahead of it.

        As long as permits of late came one after the other, at least as
        long as it took the slots if all were fast.
        """
        gap_s = self.usual_s(request) / slots
        if self._granted_s is not None:
            silent_s = now_s - self._granted_s
            gap_s = max(gap_s, self._gap_s or 0, silent_s)
        return ahead * gap_s

    def add(self, request: PermitRequest) -> None:
        """Let an ask wait."""
        self._asks[request.permit_request_id] = request

    def remove(self, permit_request_id: str) -> bool:
        """Take an ask out; return whether it waited."""
        return self._asks.pop(permit_request_id, None) is not None

    def in_order(self, now_s: float) -> Iterator[PermitRequest]:
        """Yield the waiting asks, the one to serve first in front."""
        yield from sorted(
            self._asks.values(),
            key=lambda request: (
                not request.may_wait,
                self.is_late(request, now_s),
                request.rank,
                request.arrived_s,
            ),
        )

    def is_late(
        self,
        request: PermitRequest,
        now_s: float,
        factor: float = IN_TIME_FACTOR,
    ) -> bool:
        """Return whether some times the usual work misses the objective."""
        return now_s + factor * self.usual_s(request) > request.objective_at_s
