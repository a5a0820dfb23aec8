"""Permit requests, the broker's decisions about them, and attempt reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import cached_property
from typing import TypeAlias

from turmericpost_core.fleet.backends import Backend

Pool: TypeAlias = tuple[str, str]
"""Service and failure domain, which identify the servers of one broker."""


_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class CallClass:
    """Calls of a service that are taken to need the same time.

    A permit request names no route, but routes whose calls take different times
    have different latency objectives or ranks.
    """

    rank: int
    objective_ms: int

    @property
    def objective_s(self) -> float:
        """The latency objective in seconds."""
        return self.objective_ms / _MS_PER_S


class DenialReason(Enum):
    """Why a broker denies a permit request."""

    OVERLOADED = 'overloaded'
    OTHER_DOMAIN = 'elsewhere'
    NO_BACKEND = 'no-backend'
    RETRY_BUDGET = 'repeat-budget'
    DEADLINE = 'deadline'


class AttemptOutcome(Enum):
    """How an attempt ended, as far as the health of its server is concerned.

    ``GONE`` means that the server's address now belongs to another server.
    ``UNUSED`` means that the permit was returned without an attempt.
    """

    SUCCESS = 'success'
    SHED = 'shed'
    FAILURE = 'failure'
    GONE = 'gone'
    UNUSED = 'unused'


@dataclass(frozen=True)
class PermitRequest:
    """Request for a permit to send one attempt of a call.

    Times are in seconds of the broker's monotonic clock. ``arrived_s`` is
    when the call reached its entry VM, ``requested_s`` when the request
    reached the broker. ``may_wait`` allows the broker to queue the request;
    ``may_redirect`` allows it to refer the requester to another failure
    domain. ``excluded`` holds the ids of servers that must not be chosen.
    """

    permit_request_id: str
    requester: str
    service: str
    failure_domain: str
    rank: int
    arrived_s: float
    requested_s: float
    objective_at_s: float
    deadline_at_s: float
    is_retry: bool = False
    may_wait: bool = True
    may_redirect: bool = False
    excluded: frozenset[str] = frozenset()

    @property
    def pool(self) -> Pool:
        """The pool whose backend servers may serve the call."""
        return self.service, self.failure_domain

    @cached_property
    def call_class(self) -> CallClass:
        """The class of the call."""
        objective_s = self.objective_at_s - self.arrived_s
        return CallClass(self.rank, max(round(objective_s * _MS_PER_S), 0))


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a backend server reports about itself.

    A ``slowness_percent`` of 100 is normal speed, 200 is twice as slow.
    ``cold_left_s`` is the remaining warm-up time in seconds, 0 if the server
    is warm and ``None`` if the report does not include it.
    """

    running: int
    waiting: int
    slots: int
    slowness_percent: float = 100.0
    cold_left_s: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """Report of a permit's holder to the broker after the attempt ended."""

    outcome: AttemptOutcome
    latency_s: float = 0
    reported_load: ReportedLoad | None = None


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Decision that the attempt may be sent to the backend server now.

    ``expected_s`` is the expected duration of the attempt in seconds.
    """

    request: PermitRequest
    backend: Backend
    permit_id: str
    slowness_percent: float
    report_age_s: float
    expected_s: float


@dataclass(frozen=True, slots=True)
class PermitDenial:
    """Decision that the request gets no permit from this broker."""

    request: PermitRequest
    reason: DenialReason
    retry_after_s: float = 0


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Decision to probe a backend server for its load."""

    backend: Backend


Decision = PermitGrant | PermitDenial | ProbeRequest


@dataclass(slots=True)
class PermitRecord:
    """The broker's record of a permit in use.

    ``call_class`` is ``None`` for a permit of an earlier broker.
    """

    backend_id: str
    requester: str
    granted_s: float
    expires_s: float
    call_class: CallClass | None = None
    slowness_percent: float = 100.0
    is_measurement: bool = False
