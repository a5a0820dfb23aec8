"""Simulated backend servers, which record the arrivals while they are cold."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from random import Random

from tests.grants.history import max_count_in_window
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.limits import COLD_SLOWDOWN
from turmericpost_core.grants.permits import AttemptOutcome, ReportedLoad

QUICK_END_S = 0.008
_QUICK_ENDS = (AttemptOutcome.SHED, AttemptOutcome.FAILURE)


@dataclass(frozen=True)
class ServerManners:
    """How the servers of a run answer."""

    service_time_s: float
    quick_end_probability: float
    states_cold_time: bool


@dataclass
class ColdPeriod:
    """Time in which a server is cold, and the arrivals in it."""

    from_s: float
    until_s: float
    arrivals_s: list[float] = field(default_factory=list)

    def max_in_a_second(self) -> int:
        return max_count_in_window(sorted(self.arrivals_s), 1)


class SimulatedServer:
    """One backend server over all its starts."""

    def __init__(self, registration: Backend, manners: ServerManners) -> None:
        self.registration = registration
        self.cold_periods: list[ColdPeriod] = []
        self._manners = manners
        self._up_from_s = float('-inf')
        self._running_until_s: list[float] = []

    def restart(self, now_s: float, down_s: float, cold_s: float) -> None:
        """Start again; the calls that ran have ended."""
        self._up_from_s = now_s + down_s
        self._running_until_s.clear()
        if self.cold_periods:
            last = self.cold_periods[-1]
            last.until_s = min(last.until_s, now_s)
        self.cold_periods.append(
            ColdPeriod(self._up_from_s, self._up_from_s + cold_s)
        )

    def register_start(self, cold_s: float) -> Backend:
        """Return the registration of the last start."""
        self.registration = replace(
            self.registration,
            started_ms=self.registration.started_ms + 1,
            cold_left_s=cold_s,
        )
        return self.registration

    def cold_left_s(self, now_s: float) -> float:
        if not self.cold_periods:
            return 0
        return max(self.cold_periods[-1].until_s - now_s, 0)

    def is_up(self, now_s: float) -> bool:
        return now_s >= self._up_from_s

    def record_arrival(
        self, now_s: float, random: Random
    ) -> tuple[float, AttemptOutcome]:
        """Return the time that an attempt takes, and its end."""
        if not self.is_up(now_s):
            return 0, AttemptOutcome.FAILURE
        is_cold = self.cold_left_s(now_s) > 0
        if is_cold:
            self.cold_periods[-1].arrivals_s.append(now_s)
        if random.uniform(0, 1) < self._manners.quick_end_probability:
            return QUICK_END_S, random.choice(_QUICK_ENDS)
        if self._running(now_s) >= self.registration.slots:
            return QUICK_END_S, AttemptOutcome.SHED
        duration_s = self._manners.service_time_s * random.uniform(0.5, 1.5)
        if is_cold:
            duration_s *= COLD_SLOWDOWN
        self._running_until_s.append(now_s + duration_s)
        return duration_s, AttemptOutcome.SUCCESS

    def reported_load(
        self, now_s: float, *, is_probe: bool
    ) -> ReportedLoad | None:
        """Return the load that a response states, ``None`` without response."""
        if not self.is_up(now_s):
            return None
        states_cold_time = is_probe or self._manners.states_cold_time
        return ReportedLoad(
            self._running(now_s),
            0,
            self.registration.slots,
            cold_left_s=self.cold_left_s(now_s) if states_cold_time else None,
        )

    def _running(self, now_s: float) -> int:
        self._running_until_s = [
            until_s for until_s in self._running_until_s if until_s > now_s
        ]
        return len(self._running_until_s)
