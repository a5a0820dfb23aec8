"""Queue of the permit requests of one pool, with wait time estimates."""

from __future__ import annotations

from collections.abc import Iterator

from turmericpost_core.grants.limits import (
    INITIAL_SERVICE_TIME_SHARE,
    LATENCY_WEIGHT,
    MIN_SERVICE_TIME_SHARE,
    ON_TIME_FACTOR,
)
from turmericpost_core.grants.permits import PermitRecord, PermitRequest
from turmericpost_core.grants.service_times import ServiceTimes


class RequestQueue:
    """Queued permit requests and the estimates that decide about them.

    Requests that can still meet their latency objective come first, then
    those of more urgent (lower) rank, then older ones. Requests that may not
    wait come after all others: their calls can go to another failure domain
    or already have an attempt in flight. A request that measures its service
    time comes before all, since it may hardly wait.
    """

    def __init__(self) -> None:
        self._requests: dict[str, PermitRequest] = {}
        self.service_times = ServiceTimes()
        self._measurement_id = ''
        self._mean_service_time_s: float | None = None
        self._grant_interval_s: float | None = None
        self._last_grant_s: float | None = None

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._requests)

    def __contains__(self, permit_request_id: str) -> bool:
        """Return whether a request is queued."""
        return permit_request_id in self._requests

    def mean_service_time_s(self, request: PermitRequest) -> float:
        """Return the mean service time in seconds of all calls of the pool.

        Before the first measurement it is estimated from the request's
        latency objective.
        """
        if self._mean_service_time_s is None:
            return _initial_service_time_s(
                request.objective_at_s - request.arrived_s
            )
        return self._mean_service_time_s

    def record_service_time(
        self, service_time_s: float, record: PermitRecord, now_s: float
    ) -> None:
        """Record the service time of a call, scaled to normal speed.

        For the mean, service times below ``MIN_SERVICE_TIME_SHARE`` of the
        objective are ignored. Longer ones than the objective count as the objective, so that
        calls keep being granted and their service times correct the mean.
        """
        call_class = record.call_class
        if call_class is None or not call_class.objective_ms:
            return
        self.service_times.record(
            call_class,
            service_time_s,
            now_s,
            is_measurement=record.is_measurement,
        )
        objective_s = call_class.objective_s
        if service_time_s < MIN_SERVICE_TIME_SHARE * objective_s:
            return
        if self._mean_service_time_s is None:
            self._mean_service_time_s = _initial_service_time_s(objective_s)
        self._mean_service_time_s += LATENCY_WEIGHT * (
            min(service_time_s, objective_s) - self._mean_service_time_s
        )

    def record_grant(self, now_s: float) -> None:
        """Record the time of a grant to measure the interval between grants.

        Only intervals while several requests are queued count.
        """
        is_backlog = len(self._requests) > 1
        if is_backlog and self._last_grant_s is not None:
            interval_s = now_s - self._last_grant_s
            if self._grant_interval_s is None:
                self._grant_interval_s = interval_s
            else:
                self._grant_interval_s += LATENCY_WEIGHT * (
                    interval_s - self._grant_interval_s
                )
        self._last_grant_s = now_s if is_backlog else None

    def wait_s(self, ahead: int, min_interval_s: float, now_s: float) -> float:
        """Return the expected wait in seconds behind ``ahead`` requests.

        Based on the recent interval between grants, or the time since the
        last grant if that is longer, but at least the interval that the
        servers allow at normal speed.
        """
        interval_s = min_interval_s
        if self._last_grant_s is not None:
            since_last_grant_s = now_s - self._last_grant_s
            interval_s = max(
                interval_s, self._grant_interval_s or 0, since_last_grant_s
            )
        return ahead * interval_s

    def add(self, request: PermitRequest) -> None:
        """Queue a request."""
        self._requests[request.permit_request_id] = request

    def remove(self, permit_request_id: str) -> bool:
        """Remove a request; return whether it was queued."""
        return self._requests.pop(permit_request_id, None) is not None

    @property
    def has_measurement(self) -> bool:
        """Whether a request that measures its service time is queued."""
        return self._measurement_id in self._requests

    def begin_measurement(self, request: PermitRequest, now_s: float) -> None:
        """Let a request, which is queued next, measure its service time."""
        self._measurement_id = request.permit_request_id
        self.service_times.begin_measurement(request.call_class, now_s)

    def is_measurement(self, request: PermitRequest) -> bool:
        """Return whether a request measures its service time."""
        return request.permit_request_id == self._measurement_id

    def in_order(self, now_s: float) -> Iterator[PermitRequest]:
        """Yield the queued requests in the order in which they are served."""
        yield from sorted(
            self._requests.values(),
            key=lambda request: (
                not self.is_measurement(request),
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
        factor: float = ON_TIME_FACTOR,
    ) -> bool:
        """Return whether a request would miss its latency objective.

        Assumes that the attempt starts now and takes ``factor`` times the
        typical service time.
        """
        return (
            now_s + factor * self.service_times.typical_s(request)
            > request.objective_at_s
        )


def _initial_service_time_s(objective_s: float) -> float:
    return INITIAL_SERVICE_TIME_SHARE * objective_s
