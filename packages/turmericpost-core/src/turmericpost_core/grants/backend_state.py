"""State that a broker keeps of one backend server."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from itertools import takewhile

from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.availability import Availability
from turmericpost_core.grants.limits import (
    COLD_SLOWDOWN,
    FAST_REPORT_VALIDITY_S,
    FIRST_BACKOFF_S,
    FRESH_REPORT_S,
    LATENCY_WEIGHT,
    MAX_BACKOFF_S,
    MAX_FAST_SLOWNESS_PERCENT,
    MIN_PROBE_INTERVAL_S,
    OTHER_LOAD_VALIDITY_S,
    WARM_REPORT_VALIDITY_S,
    usable_slots,
)
from turmericpost_core.grants.permits import AttemptOutcome, ReportedLoad
from turmericpost_core.grants.rate_pacer import RatePacer
from turmericpost_core.grants.rate_share import (
    RATE_WINDOW_S,
    UNUSED_RECHECK_S,
    AttemptPace,
)

_NEVER_S = float('-inf')
_COUNTED_S = 1.0
_PERCENT = 100.0
_MAX_DOUBLINGS = 5
_MAX_REJECTION_DOUBLINGS = 6
_MAX_USUAL_REJECTIONS = 4
"""Rejections in a row that a server with room now and then still has."""


class BackendHealth(Enum):
    """Health of a backend server as its broker judges it."""

    UNKNOWN = 'unknown'
    WARM = 'warm'
    COLD = 'cold'
    FAILING = 'failing'
    UNHEALTHY = 'ill'
    LEAVING = 'leaving'
    PAUSED = 'paused'


@dataclass(slots=True)
class UseCounts:
    """Attempts, retries among them, and probes since the broker started."""

    attempts: int = 0
    retries: int = 0
    probes: int = 0


class BackendState:
    """Permits in use, load reports and health of one backend server.

    Until a report confirms that the server is warm, attempts are limited to
    the rate that a cold server tolerates. ``pacer`` keeps the rate limit that
    the server states. Before ``closed_until_s`` it takes no requests; after
    that, and after several rejections in a row, it gets one attempt at a time
    until one succeeds.
    """

    def __init__(self, backend: Backend, now_s: float) -> None:
        self.backend = backend
        self.permits = 0
        self.slowness_percent = _PERCENT
        self.reported_s = _NEVER_S
        self.probed_s = _NEVER_S
        self.probe_pending = False
        self.reports_load = True
        self.is_healthy = True
        self.failure_share = float(0)
        self.use_counts = UseCounts()
        self.pacer = RatePacer()
        self.closed_until_s = _NEVER_S
        self._cold_until_s = now_s + backend.cold_left_s
        self._reported_warm_s = _NEVER_S
        self._attempts_until_warm_report = 0
        self._other_load = 0
        self._recent_attempts_s: deque[float] = deque()
        self._has_reported_load = False
        self._failures = 0
        self._rejections = 0
        self._is_on_trial = False
        self._backoff_until_s = _NEVER_S

    def health(self, now_s: float) -> BackendHealth:
        """Return the health of the server at a monotonic time."""
        if self.is_closed(now_s):
            is_leaving = self.closed_until_s == float('inf')
            return BackendHealth.LEAVING if is_leaving else BackendHealth.PAUSED
        if self._failures:
            return BackendHealth.FAILING
        if not self.is_healthy:
            return BackendHealth.UNHEALTHY
        if self.is_cold(now_s):
            return BackendHealth.COLD
        if self.reported_s == _NEVER_S:
            return BackendHealth.UNKNOWN
        return BackendHealth.WARM

    def is_closed(self, now_s: float) -> bool:
        """Return whether the server leaves or has asked for a pause."""
        return now_s < self.closed_until_s

    @property
    def rejects_all(self) -> bool:
        """Whether many attempts in a row were rejected."""
        return self._rejections > _MAX_USUAL_REJECTIONS

    def usable_from_s(self, now_s: float) -> float:
        """Return when a caller may ask again for a server without a part.

        Infinite if the server leaves. It may be long until a server is warm,
        but another broker may use it before.
        """
        if self.is_closed(now_s):
            return self.closed_until_s
        recheck_s = now_s + UNUSED_RECHECK_S
        if self.is_cold(now_s):
            return min(self._cold_until_s, recheck_s)
        return recheck_s

    def close_until(self, availability: Availability | None) -> None:
        """Apply what the server states, ``None`` if it takes requests."""
        if availability is None:
            if self.closed_until_s == float('inf'):
                self.closed_until_s = _NEVER_S
            return
        if availability.usable_from_s > self.closed_until_s:
            self.closed_until_s = availability.usable_from_s
            self._is_on_trial = True

    def in_use(self, now_s: float) -> int:
        """Return the number of slots known to be in use.

        These are the permits of this broker and recently reported load from
        other sources.
        """
        other_load = self._other_load
        if now_s - self.reported_s > OTHER_LOAD_VALIDITY_S:
            other_load = 0
        return self.permits + other_load

    def has_room(self, now_s: float, cold_pace: AttemptPace) -> bool:
        """Return whether the server may get one more attempt now.

        ``cold_pace`` limits the attempts unless the server is known to be
        warm.
        """
        return self._has_free_slot(now_s) and self.is_within_cold_rate(
            now_s, cold_pace
        )

    def lacks_report(self, now_s: float, cold_pace: AttemptPace) -> bool:
        """Return whether a load report would tell if there is room.

        The last report is stale, or the server would be over the cold rate
        limit unless it reports to be warm again.
        """
        if not self._has_free_slot(now_s):
            return False
        if self.is_within_cold_rate(now_s, cold_pace):
            return not self.is_report_fresh(now_s)
        return not self.is_cold(now_s)

    def is_within_cold_rate(self, now_s: float, cold_pace: AttemptPace) -> bool:
        """Return whether the cold rate limit allows one more attempt.

        The limit applies to a cold server, and to one that reports its load
        but has not recently reported to be warm.
        """
        if not self.may_be_cold(now_s):
            return True
        recent = self._attempts_within(cold_pace.window_s, now_s)
        return recent < cold_pace.attempts

    def may_be_cold(self, now_s: float) -> bool:
        """Return whether the server is cold or not known to be warm."""
        if self.is_cold(now_s):
            return True
        age_s = self.warm_report_age_s(now_s)
        return self.reports_load and age_s >= WARM_REPORT_VALIDITY_S

    def warm_report_age_s(self, now_s: float) -> float:
        """Return the age of the last report of being warm, else infinity."""
        return now_s - self._reported_warm_s

    @property
    def attempts_since_warm_report(self) -> int:
        """Attempts since the last report of being warm."""
        return self.use_counts.attempts - self._attempts_until_warm_report

    @property
    def kept_attempts(self) -> int:
        """Number of attempts whose times are kept."""
        return len(self._recent_attempts_s)

    def attempts_in_last_s(self, now_s: float) -> int:
        """Return the number of attempts in the last second."""
        return self._attempts_within(_COUNTED_S, now_s)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is still warming up, as far as known."""
        return now_s < self._cold_until_s

    def is_report_fresh(self, now_s: float) -> bool:
        """Return whether the last load report is recent enough to use.

        Always true for a server that does not report its load.
        """
        if not self.reports_load:
            return True
        return now_s - self.reported_s <= FRESH_REPORT_S

    def may_probe(self, now_s: float) -> bool:
        """Return whether a probe may be sent now."""
        return (
            not self.probe_pending
            and now_s - self.probed_s >= MIN_PROBE_INTERVAL_S
        )

    def was_recently_fast(self, now_s: float) -> bool:
        """Return whether the server was recently healthy, warm and fast."""
        if now_s - self.reported_s > FAST_REPORT_VALIDITY_S or self._failures:
            return False
        if self.slowness_percent > MAX_FAST_SLOWNESS_PERCENT:
            return False
        return self.is_healthy and not self.is_cold(now_s)

    def slowdown_factor(self, now_s: float) -> float:
        """Return the current service time relative to normal speed."""
        factor = self.slowness_percent / _PERCENT
        return factor * COLD_SLOWDOWN if self.is_cold(now_s) else factor

    def record_probe_start(self, now_s: float) -> None:
        """Record that a probe was sent."""
        self.use_counts.probes += 1
        self.probed_s = now_s
        self.probe_pending = True

    def record_probe_failure(self, now_s: float) -> None:
        """Record that a probe got no response."""
        self.probe_pending = False
        self._back_off(now_s)

    def record_load(
        self,
        reported_load: ReportedLoad | None,
        now_s: float,
        own_calls: int,
    ) -> None:
        """Record a load report, if there is one.

        ``own_calls`` is how many of the reported calls hold permits of this
        broker; the others count as load from other sources.
        """
        if reported_load is None:
            return
        self.reports_load = True
        self._has_reported_load = True
        self.reported_s = now_s
        self.slowness_percent = reported_load.slowness_percent
        total = reported_load.running + reported_load.waiting
        self._other_load = max(total - own_calls, 0)
        if reported_load.cold_left_s is not None:
            self.record_cold_time(reported_load.cold_left_s, now_s)

    def record_missing_load(self) -> None:
        """Record a response without a load report.

        A server that has reported its load once is one that reports it.
        """
        self.reports_load = self._has_reported_load

    def record_cold_time(self, cold_left_s: float, now_s: float) -> None:
        """Record the remaining warm-up time in seconds, 0 if warm."""
        self._cold_until_s = now_s + cold_left_s
        if not cold_left_s:
            self._reported_warm_s = now_s
            self._attempts_until_warm_report = self.use_counts.attempts

    def record_attempt_start(
        self, now_s: float, *, is_retry: bool = False
    ) -> None:
        """Count a permit that was granted for an attempt."""
        self.permits += 1
        self.pacer.record_attempt(now_s)
        self.use_counts.attempts += 1
        self.use_counts.retries += is_retry
        self._recent_attempts_s.append(now_s)
        self._drop_old_attempts(now_s)

    def record_attempt_end(self, outcome: AttemptOutcome, now_s: float) -> None:
        """Count the end of an attempt and update the health of the server."""
        self.permits = max(self.permits - 1, 0)
        if outcome is AttemptOutcome.SUCCESS:
            self._failures = 0
            self._rejections = 0
            self._is_on_trial = False
            self._update_failure_share(float(0))
        elif outcome is AttemptOutcome.FAILURE:
            self._update_failure_share(float(1))
            self._back_off(now_s)
        elif outcome is AttemptOutcome.SHED:
            self.reported_s = _NEVER_S
            self._back_off_after_rejection(now_s)
        elif outcome is AttemptOutcome.GONE:
            self._backoff_until_s = now_s + MAX_BACKOFF_S

    def _has_free_slot(self, now_s: float) -> bool:
        """Return whether nothing but the cold rate limit may forbid an attempt."""
        if now_s < self._backoff_until_s or self.backend.is_draining:
            return False
        if self.is_closed(now_s):
            return False
        if self.in_use(now_s) >= usable_slots(self.backend.slots):
            return False
        if self.permits and self._needs_success:
            return False
        return not self.pacer.wait_s(now_s)

    @property
    def _needs_success(self) -> bool:
        """Whether only one attempt at a time is allowed until one succeeds."""
        return bool(self._failures or self.rejects_all or self._is_on_trial)

    def _back_off_after_rejection(self, now_s: float) -> None:
        """Back off, and for longer if all attempts in a row are rejected."""
        unusual = max(self._rejections - _MAX_USUAL_REJECTIONS, 0)
        doublings = min(unusual, _MAX_REJECTION_DOUBLINGS)
        pause_s = min(MIN_PROBE_INTERVAL_S * 2**doublings, MAX_BACKOFF_S)
        self._backoff_until_s = now_s + pause_s
        self._rejections += 1

    def _back_off(self, now_s: float) -> None:
        self._reported_warm_s = _NEVER_S
        doublings = min(self._failures, _MAX_DOUBLINGS)
        pause_s = min(FIRST_BACKOFF_S * 2**doublings, MAX_BACKOFF_S)
        self._backoff_until_s = now_s + pause_s
        self._failures += 1

    def _update_failure_share(self, failed: float) -> None:
        change = failed - self.failure_share
        self.failure_share += 2 * LATENCY_WEIGHT * change

    def _attempts_within(self, window_s: float, now_s: float) -> int:
        newest_first = reversed(self._recent_attempts_s)
        since_s = now_s - window_s
        return sum(1 for _ in takewhile(since_s.__le__, newest_first))

    def _drop_old_attempts(self, now_s: float) -> None:
        """Drop attempts outside of the usual window, but keep the last one."""
        oldest_s = now_s - RATE_WINDOW_S
        times_s = self._recent_attempts_s
        while len(times_s) > 1 and times_s[0] < oldest_s:
            times_s.popleft()
