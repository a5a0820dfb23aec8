"""Typical service times of the calls of a pool, by class of calls."""

from __future__ import annotations

from dataclasses import dataclass

from turmericpost_core.grants.limits import (
    INITIAL_SERVICE_TIME_SHARE,
    LATENCY_WEIGHT,
    MIN_SERVICE_TIME_SHARE,
)
from turmericpost_core.grants.permits import CallClass, PermitRequest

MEASUREMENT_INTERVAL_S = 1.0
"""Seconds between two measurements of a class that is refused."""

MAX_MEASUREMENT_INTERVAL_S = 16.0
"""Limit of that interval, which doubles until a measurement succeeds."""

MEASUREMENT_WEIGHT = 0.5
"""Weight of a call that was let in against the estimate of its class."""

MAX_CALL_CLASSES = 256
"""Number of classes with an estimate; VMs may request permits for any."""


@dataclass(slots=True)
class _Estimate:
    """Typical service time of one class, and when it was measured.

    ``measured_s`` is the time of the last measurement, at first of the first
    request.
    """

    typical_s: float
    measured_s: float
    interval_s: float = MEASUREMENT_INTERVAL_S


class ServiceTimes:
    """Estimates of the service time, which refuse calls that would be late.

    Only calls that are granted can correct an estimate. So a call that it refuses
    is let in at intervals in order to measure the class.
    """

    def __init__(self) -> None:
        self._estimates: dict[CallClass, _Estimate] = {}

    def typical_s(self, request: PermitRequest) -> float:
        """Return the typical service time of a call at normal speed.

        Before the first measurement it follows from its latency objective.
        """
        call_class = request.call_class
        estimate = self._estimates.get(call_class)
        return estimate.typical_s if estimate else _initial_s(call_class)

    def record(
        self,
        call_class: CallClass,
        service_time_s: float,
        now_s: float,
        *,
        is_measurement: bool,
    ) -> None:
        """Record the service time of a successful call at normal speed.

        Times below ``MIN_SERVICE_TIME_SHARE`` of the objective are ignored
        unless the call was let in to measure its class. Longer ones than the
        objective count as the objective.
        """
        estimate = self._estimate(call_class, now_s)
        if is_measurement:
            estimate.interval_s = MEASUREMENT_INTERVAL_S
        is_short = (
            service_time_s < MIN_SERVICE_TIME_SHARE * call_class.objective_s
        )
        if is_short and not is_measurement:
            return
        weight = MEASUREMENT_WEIGHT if is_measurement else LATENCY_WEIGHT
        counted_s = min(service_time_s, call_class.objective_s)
        estimate.typical_s += weight * (counted_s - estimate.typical_s)

    def begin_measurement(self, call_class: CallClass, now_s: float) -> None:
        """Record that a call is let in against the estimate of its class."""
        self._estimate(call_class, now_s).measured_s = now_s

    def measurement_granted(self, call_class: CallClass, now_s: float) -> None:
        """Record that such a call has got a server."""
        estimate = self._estimate(call_class, now_s)
        estimate.interval_s = min(
            2 * estimate.interval_s, MAX_MEASUREMENT_INTERVAL_S
        )

    def must_measure(self, request: PermitRequest, now_s: float) -> bool:
        """Return whether a call that the estimate refuses should be let in."""
        if request.is_retry:
            return False
        estimate = self._estimate(request.call_class, now_s)
        return now_s - estimate.measured_s >= estimate.interval_s

    def _estimate(self, call_class: CallClass, now_s: float) -> _Estimate:
        """Return the estimate of a class; add it at its first use."""
        estimate = self._estimates.get(call_class)
        if estimate is None:
            if len(self._estimates) >= MAX_CALL_CLASSES:
                self._estimates.pop(next(iter(self._estimates)))
            estimate = _Estimate(_initial_s(call_class), now_s)
            self._estimates[call_class] = estimate
        return estimate


def _initial_s(call_class: CallClass) -> float:
    return INITIAL_SERVICE_TIME_SHARE * call_class.objective_s
