"""Asks for permits, and what becomes of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from turmericpost_core.fleet.backends import Backend

Pool: TypeAlias = tuple[str, str]


class DenialReason(Enum):
    """Why an ask ends without a permit."""

    OVERLOADED = 'overloaded'
    OTHER_DOMAIN = 'elsewhere'
    NO_BACKEND = 'no-backend'
    RETRY_BUDGET = 'repeat-budget'
    DEADLINE = 'deadline'


class AttemptOutcome(Enum):
    """How the use of a permit ended, as far as the server's standing goes."""

    SUCCESS = 'success'
    SHED = 'shed'
    FAILURE = 'failure'
    GONE = 'gone'
    UNUSED = 'unused'


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A call that wants a backend server of a service.

    Times are the broker's monotonic seconds; the call arrived at its VM
    before the broker was asked. ``may_wait`` lets it queue, ``may_leave``
    lets the broker answer that it goes better elsewhere.
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
        """The backend servers that the ask is about."""
        return self.service, self.failure_domain


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a server reports of itself; 100 percent is usual speed.

    ``cold_left_s`` is ``None`` where the report does not say.
    """

    running: int
    waiting: int
    slots: int
    slowness_percent: float = 100.0
    cold_left_s: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """What the holder of a permit tells when it is done."""

    outcome: AttemptOutcome
    latency_s: float = 0
    reported_load: ReportedLoad | None = None


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """The call may be sent to the backend server now.

    ``expected_s`` is how long it should take there.
    """

    request: PermitRequest
    backend: Backend
    permit_id: str
    slowness_percent: float
    report_age_s: float
    expected_s: float


@dataclass(frozen=True, slots=True)
class PermitDenial:
    """The call gets no permit here."""

    request: PermitRequest
    reason: DenialReason
    retry_after_s: float = 0


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """The load of a backend server should be asked for."""

    backend: Backend


Decision = PermitGrant | PermitDenial | ProbeRequest


@dataclass(slots=True)
class PermitRecord:
    """A permit in use."""

    backend_id: str
    requester: str
    granted_s: float
    expires_s: float
    objective_s: float = 0
    slowness_percent: float = 100.0
