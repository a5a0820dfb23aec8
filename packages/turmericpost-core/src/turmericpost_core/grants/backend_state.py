"""What a broker knows of one backend server."""

from __future__ import annotations

from collections import deque
from enum import Enum

from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.limits import (
    COLD_FACTOR,
    FAST_MEMORY_S,
    FIRST_SHUN_S,
    FOREIGN_LOAD_S,
    FRESH_REPORT_S,
    LATENCY_WEIGHT,
    LONGEST_SHUN_S,
    PROBE_GAP_S,
    USUAL_SPEED_PERCENT,
    WARM_REPORT_S,
    usable_slots,
)
from turmericpost_core.grants.permits import AttemptOutcome, ReportedLoad

_NEVER_S = float('-inf')
_PACE_WINDOW_S = 1.1
_PERCENT = 100.0
_MAX_DOUBLINGS = 5


class BackendHealth(Enum):
    """What a broker believes of a backend server."""

    UNKNOWN = 'unknown'
    WARM = 'warm'
    COLD = 'cold'
    FAILING = 'failing'
    UNHEALTHY = 'ill'


class BackendState:
    """Permits in use, reports and standing of one backend server.

    A server of which no report says that it is warm gets calls only at the
    pace that a cold one tolerates.
    """

    def __init__(self, backend: Backend, now_s: float) -> None:
        self.backend = backend
        self.permits = 0
        self.slowness_percent = _PERCENT
        self.reported_s = _NEVER_S
        self.probed_s = _NEVER_S
        self.probe_pending = False
        self.tells_load = True
        self.is_healthy = True
        self.failure_share = float(0)
        self._cold_until_s = now_s + backend.cold_left_s
        self._warm_said_s = _NEVER_S
        self._foreign = 0
        self._sent_s: deque[float] = deque()
        self._failures = 0
        self._shunned_until_s = _NEVER_S

    def health(self, now_s: float) -> BackendHealth:
        """Return what is believed of the server."""
        if self._failures:
            return BackendHealth.FAILING
        if not self.is_healthy:
            return BackendHealth.UNHEALTHY
        if self.is_cold(now_s):
            return BackendHealth.COLD
        if self.reported_s == _NEVER_S:
            return BackendHealth.UNKNOWN
        return BackendHealth.WARM

    def in_use(self, now_s: float) -> int:
        """Return the slots in use as far as known."""
        foreign = self._foreign
        if now_s - self.reported_s > FOREIGN_LOAD_S:
            foreign = 0
        return self.permits + foreign

    def has_room(self, now_s: float, cold_per_s: float) -> bool:
        """Return whether one more call may be sent now."""
        if now_s < self._shunned_until_s or self.backend.is_draining:
            return False
        if self.in_use(now_s) >= usable_slots(self.backend.slots):
            return False
        if self._failures and self.permits:
            return False
        return self.may_take_at_pace(now_s, cold_per_s)

    def may_take_at_pace(self, now_s: float, cold_per_s: float) -> bool:
        """Return whether the pace of a server that may be cold allows it."""
        if not self.is_cold(now_s):
            if not self.tells_load or now_s - self._warm_said_s < WARM_REPORT_S:
                return True
        self._forget_sent(now_s)
        return len(self._sent_s) < max(int(cold_per_s), 1)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is known to be warming up."""
        return now_s < self._cold_until_s

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the last report is current."""
        if not self.tells_load:
            return True
        return now_s - self.reported_s <= FRESH_REPORT_S

    def may_probe(self, now_s: float) -> bool:
        """Return whether a probe may be sent now."""
        return not self.probe_pending and now_s - self.probed_s >= PROBE_GAP_S

    def is_fast(self, now_s: float) -> bool:
        """Return whether the server was at usual speed and sound of late."""
        if now_s - self.reported_s > FAST_MEMORY_S or self._failures:
            return False
        if self.slowness_percent > USUAL_SPEED_PERCENT:
            return False
        return self.is_healthy and not self.is_cold(now_s)

    def work_factor(self, now_s: float) -> float:
        """Return how much longer than usual work takes at this moment."""
        factor = self.slowness_percent / _PERCENT
        return factor * COLD_FACTOR if self.is_cold(now_s) else factor

    def probe_sent(self, now_s: float) -> None:
        """Note a probe under way."""
        self.probed_s = now_s
        self.probe_pending = True

    def record_probe_failure(self, now_s: float) -> None:
        """Note a probe without an answer."""
        self.probe_pending = False
        self._fail(now_s)

    def report(
        self,
        reported_load: ReportedLoad | None,
        now_s: float,
        own_calls: int,
    ) -> None:
        """Take in a report; ``own_calls`` of it are this broker's permits."""
        if reported_load is None:
            return
        self.tells_load = True
        self.reported_s = now_s
        self.slowness_percent = reported_load.slowness_percent
        total = reported_load.running + reported_load.waiting
        self._foreign = max(total - own_calls, 0)
        if reported_load.cold_left_s is not None:
            self.note_cold(reported_load.cold_left_s, now_s)

    def note_cold(self, cold_left_s: float, now_s: float) -> None:
        """Take in how long the server stays cold, 0 if it is warm."""
        self._cold_until_s = now_s + cold_left_s
        if not cold_left_s:
            self._warm_said_s = now_s

    def forget_warmth(self) -> None:
        """Count the server as cold until it says that it is warm."""
        self._warm_said_s = _NEVER_S
        self.reported_s = _NEVER_S

    def start(self, now_s: float) -> None:
        """Count a call as sent."""
        self.permits += 1
        self._sent_s.append(now_s)

    def finish(self, outcome: AttemptOutcome, now_s: float) -> None:
        """Count a call as ended."""
        self.permits = max(self.permits - 1, 0)
        if outcome is AttemptOutcome.SUCCESS:
            self._failures = 0
            self._weigh_failure(float(0))
        elif outcome is AttemptOutcome.FAILURE:
            self._weigh_failure(float(1))
            self._fail(now_s)
        elif outcome is AttemptOutcome.SHED:
            self.reported_s = _NEVER_S
            self._shunned_until_s = now_s + PROBE_GAP_S
        elif outcome is AttemptOutcome.GONE:
            self._shunned_until_s = now_s + LONGEST_SHUN_S

    def _fail(self, now_s: float) -> None:
        doublings = min(self._failures, _MAX_DOUBLINGS)
        pause_s = min(FIRST_SHUN_S * 2**doublings, LONGEST_SHUN_S)
        self._shunned_until_s = now_s + pause_s
        self._failures += 1

    def _weigh_failure(self, failed: float) -> None:
        change = failed - self.failure_share
        self.failure_share += 2 * LATENCY_WEIGHT * change

    def _forget_sent(self, now_s: float) -> None:
        oldest_s = now_s - _PACE_WINDOW_S
        while self._sent_s and self._sent_s[0] < oldest_s:
            self._sent_s.popleft()
