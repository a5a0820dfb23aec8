"""Asks that wait for a backend server of one service, and its usual work."""

from __future__ import annotations

from collections.abc import Iterator

from turmericpost_core.grants.limits import LATENCY_WEIGHT, OBJECTIVE_SHARE
from turmericpost_core.grants.permits import Ask


class ServiceQueue:
    """Waiting asks: those still on time first, then by rank and age."""

    def __init__(self) -> None:
        self._asks: dict[str, Ask] = {}
        self._usual_s: float | None = None

    def __len__(self) -> int:
        """Return how many asks wait."""
        return len(self._asks)

    def __contains__(self, ask_id: str) -> bool:
        """Return whether an ask waits here."""
        return ask_id in self._asks

    def usual_s(self, ask: Ask) -> float:
        """Return the usual work of a call at usual speed."""
        if self._usual_s is None:
            return OBJECTIVE_SHARE * (ask.objective_at_s - ask.arrived_s)
        return self._usual_s

    def record_work(self, work_s: float) -> None:
        """Take in the work of an answered call, at usual speed."""
        if self._usual_s is None:
            self._usual_s = work_s
        else:
            self._usual_s += LATENCY_WEIGHT * (work_s - self._usual_s)

    def add(self, ask: Ask) -> None:
        """Let an ask wait."""
        self._asks[ask.ask_id] = ask

    def remove(self, ask_id: str) -> bool:
        """Take an ask out; return whether it waited."""
        return self._asks.pop(ask_id, None) is not None

    def in_order(self, now_s: float) -> Iterator[Ask]:
        """Yield the waiting asks, the one to serve first in front."""
        yield from sorted(
            self._asks.values(),
            key=lambda ask: (
                self.is_late(ask, now_s),
                ask.rank,
                ask.arrived_s,
            ),
        )

    def is_late(self, ask: Ask, now_s: float) -> bool:
        """Return whether even usual work would miss the objective."""
        return now_s + self.usual_s(ask) > ask.objective_at_s
