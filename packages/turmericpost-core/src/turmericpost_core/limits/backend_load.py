"""What one entry VM knows of the load of one backend server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from turmericpost_core.config.document import Service

LATENCY_WEIGHT = 0.2
WARM_SUCCESSES = 3
FIRST_SHUN_S = 0.05
LONGEST_SHUN_S = 5
SHED_PAUSE_S = 0.02
STRAGGLER_FACTOR = 3
_TRICKLE_SLOTS = 1
_MAX_DOUBLINGS = 7


class ReportedState(IntEnum):
    """State of a backend server as its load report numbers it."""

    COLD = 0
    WARM = 1
    DRAINING = 2


@dataclass(frozen=True)
class LoadReport:
    """Load report of a backend server, in-band or from a probe."""

    slots: int
    in_flight: int
    state: ReportedState
    incarnation: int


class AttemptResult(Enum):
    """How an attempt bears on the standing of its backend server."""

    SUCCESS = 'success'
    SHED = 'shed'
    FAILURE = 'failure'
    CANCELLED = 'cancelled'


class BackendLoad:
    """In-flight calls, latency and standing of one backend server.

    A server that was never heard of counts as cold. After a new incarnation
    it stays cold until it says warm and has answered a few calls.
    """

    def __init__(self, service: Service) -> None:
        self.service = service
        self.in_flight = 0
        self.latency_s = float(0)
        self.is_straggler = False
        self.report_age_from_s = float(0)
        self.state = ReportedState.COLD
        self._incarnation: int | None = None
        self._successes = 0
        self._failures = 0
        self._shunned_until_s = float(0)
        self._settles_until_s = float(0)
        self._excess_s = float(0)

    @property
    def limit(self) -> int:
        """Calls that may be in flight at once."""
        if self.is_cold:
            return self.service.cold_slots
        if self._failures or self.is_straggler:
            return _TRICKLE_SLOTS
        return self.service.slots

    @property
    def is_cold(self) -> bool:
        """Whether the server may carry only its cold slots."""
        if self.state is ReportedState.COLD:
            return True
        return self._successes < WARM_SUCCESSES

    def has_room(self, now_s: float, expected_wait_s: float = 0) -> bool:
        """Return whether one more call may be sent now.

        ``expected_wait_s`` is how long a call would wait for another server.
        """
        if self.state is ReportedState.DRAINING:
            return False
        if now_s < self._shunned_until_s:
            return False
        if now_s < self._settles_until_s:
            return not (self.is_cold or self.in_flight)
        if self.in_flight >= self.service.slots:
            return False
        if self.is_straggler and expected_wait_s > self._excess_s:
            return self.in_flight < self.service.slots
        return self.in_flight < self.limit

    def compare(self, usual_s: float) -> None:
        """Judge the latency by what is usual among the service's servers."""
        self.is_straggler = self.latency_s > STRAGGLER_FACTOR * usual_s
        self._excess_s = self.latency_s - usual_s

    def settle(self, until_s: float) -> None:
        """Wait for a former owner to notice that it no longer owns.

        Until then the server gets one call at a time, and none while cold.
        """
        self._settles_until_s = until_s

    def start(self) -> None:
        """Count a call as sent."""
        self.in_flight += 1

    def finish(
        self,
        attempt: AttemptResult,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Count a call as ended."""
        self.in_flight -= 1
        if attempt is AttemptResult.SUCCESS:
            self._successes += 1
            self._failures = 0
            self._record_latency(latency_s)
        elif attempt is AttemptResult.SHED:
            self._shun(now_s + SHED_PAUSE_S)
        elif attempt is AttemptResult.FAILURE:
            doublings = min(self._failures, _MAX_DOUBLINGS)
            pause_s = FIRST_SHUN_S * 2**doublings
            self._shun(now_s + min(pause_s, LONGEST_SHUN_S))
            self._failures += 1

    def record_report(self, report: LoadReport, now_s: float) -> None:
        """Take in a load report."""
        if report.incarnation != self._incarnation:
            self._incarnation = report.incarnation
            self._successes = 0
        self.state = report.state
        self.report_age_from_s = now_s

    def _shun(self, until_s: float) -> None:
        self._shunned_until_s = max(self._shunned_until_s, until_s)

    def _record_latency(self, latency_s: float) -> None:
        if self.latency_s:
            latency_s -= self.latency_s
            self.latency_s += LATENCY_WEIGHT * latency_s
        else:
            self.latency_s = latency_s
