"""Load and health of one backend server as its owner VM sees them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from turmericpost_core.config.document import Service

LATENCY_WEIGHT = 0.2
WARM_SUCCESSES = 3
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5
SHED_BACKOFF_S = 0.02
STRAGGLER_FACTOR = 3
_RESTRICTED_SLOTS = 1
_MAX_DOUBLINGS = 7


class ReportedState(IntEnum):
    """State of a backend server, with the numbers used in load reports."""

    COLD = 0
    WARM = 1
    DRAINING = 2


@dataclass(frozen=True)
class LoadReport:
    """Load report of a backend server, from a response or a probe."""

    slots: int
    in_flight: int
    state: ReportedState
    incarnation: int


class AttemptResult(Enum):
    """Result of an attempt, as far as it affects its backend server."""

    SUCCESS = 'success'
    SHED = 'shed'
    FAILURE = 'failure'
    CANCELLED = 'cancelled'


class BackendLoad:
    """In-flight calls, latency and health of one backend server.

    A server without a load report counts as cold. A new incarnation counts
    as cold until it reports to be warm and ``WARM_SUCCESSES`` calls have
    succeeded.
    """

    def __init__(self, service: Service) -> None:
        self.service = service
        self.in_flight = 0
        self.latency_s = float(0)
        self.is_straggler = False
        self.reported_s = float(0)
        self.state = ReportedState.COLD
        self._incarnation: int | None = None
        self._successes = 0
        self._failures = 0
        self._backoff_until_s = float(0)
        self._handover_until_s = float(0)
        self._excess_latency_s = float(0)

    @property
    def limit(self) -> int:
        """Maximum number of calls in flight."""
        if self.is_cold:
            return self.service.cold_slots
        if self._failures or self.is_straggler:
            return _RESTRICTED_SLOTS
        return self.service.slots

    @property
    def is_cold(self) -> bool:
        """Whether the server is limited to its cold slots."""
        if self.state is ReportedState.COLD:
            return True
        return self._successes < WARM_SUCCESSES

    def has_room(self, now_s: float, expected_wait_s: float = 0) -> bool:
        """Return whether one more call may be sent now.

        ``expected_wait_s`` is how long the call would wait for another
        server. If that is longer than the extra latency of a straggler, the
        straggler may use all its slots.
        """
        if self.state is ReportedState.DRAINING:
            return False
        if now_s < self._backoff_until_s:
            return False
        if now_s < self._handover_until_s:
            return not (self.is_cold or self.in_flight)
        if self.in_flight >= self.service.slots:
            return False
        if self.is_straggler and expected_wait_s > self._excess_latency_s:
            return self.in_flight < self.service.slots
        return self.in_flight < self.limit

    def update_straggler(self, median_latency_s: float) -> None:
        """Update the straggler flag, given the service's median latency."""
        self.is_straggler = self.latency_s > STRAGGLER_FACTOR * median_latency_s
        self._excess_latency_s = self.latency_s - median_latency_s

    def begin_handover(self, until_s: float) -> None:
        """Restrict the server while its former owner may still use it.

        Until ``until_s`` it gets one call at a time, and none while cold.
        """
        self._handover_until_s = until_s

    def start(self) -> None:
        """Count an attempt as in flight."""
        self.in_flight += 1

    def finish(
        self,
        attempt_result: AttemptResult,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Count an attempt as ended and update latency and backoff."""
        self.in_flight -= 1
        if attempt_result is AttemptResult.SUCCESS:
            self._successes += 1
            self._failures = 0
            self._record_latency(latency_s)
        elif attempt_result is AttemptResult.SHED:
            self._back_off_until(now_s + SHED_BACKOFF_S)
        elif attempt_result is AttemptResult.FAILURE:
            doublings = min(self._failures, _MAX_DOUBLINGS)
            pause_s = FIRST_BACKOFF_S * 2**doublings
            self._back_off_until(now_s + min(pause_s, MAX_BACKOFF_S))
            self._failures += 1

    def record_report(self, report: LoadReport, now_s: float) -> None:
        """Record a load report.

        A new incarnation starts without any counted successes.
        """
        if report.incarnation != self._incarnation:
            self._incarnation = report.incarnation
            self._successes = 0
        self.state = report.state
        self.reported_s = now_s

    def _back_off_until(self, until_s: float) -> None:
        self._backoff_until_s = max(self._backoff_until_s, until_s)

    def _record_latency(self, latency_s: float) -> None:
        if self.latency_s:
            latency_s -= self.latency_s
            self.latency_s += LATENCY_WEIGHT * latency_s
        else:
            self.latency_s = latency_s
