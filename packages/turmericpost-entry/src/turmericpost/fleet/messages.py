"""Datagrams between entry VMs.

Heartbeats and digests maintain membership and announce the version of the
sender's state. The other messages request, grant, deny and release permits.
Times are sent as durations, since the clocks of the VMs are independent.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from turmericpost.fleet.held_config import HeldConfig
from turmericpost_core.fleet.backends import Backend, Version
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.grants.permits import AttemptReport, DenialReason
from turmericpost_core.membership.domain_view import Vm, VmReadiness


@dataclass(frozen=True, slots=True)
class StateVersion:
    """Version of the fleet state of a VM.

    ``read_age_s`` is the age of its last read of the store, at most 999 s.
    ``operator_offset`` and ``backends`` are the versions of operator state
    and registry. ``next_offset`` is the registry position to read next.
    """

    read_age_s: float
    operator_offset: StorePosition
    backends: Version
    next_offset: StorePosition


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Liveness, readiness and state version of the sender.

    ``held_permits`` maps ids of permits that the receiver issued, or manages
    as broker now, to the ids of their backend servers. ``demand`` is the time
    in seconds that backend servers recently worked on calls of the sender, by
    route with home regions.
    """

    vm: Vm
    readiness: VmReadiness
    state_version: StateVersion
    held_permits: Mapping[str, str]
    demand: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class KnownVms:
    """All entry VMs that the sender knows, sent to a new VM."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class Digest:
    """Live VMs of a failure domain, sent to VMs of the other domains.

    ``age_s`` is 0 in a digest that comes from ``sender`` directly, and positive
    in a forwarded one. ``demand`` is the sum over the VMs, as in a heartbeat.
    """

    failure_domain: str
    age_s: float
    vms: tuple[tuple[Vm, VmReadiness], ...]
    state_version: StateVersion
    sender: str
    demand: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class UpdatePush:
    """A small state update; ``wire`` is the result of ``encode_update``."""

    sender: str
    wire: bytes


@dataclass(frozen=True, slots=True)
class PermitRequestMessage:
    """Request for a permit.

    Its durations are relative to the time of sending.
    """

    permit_request_id: str
    service: str
    failure_domain: str
    rank: int
    waited_s: float
    objective_s: float
    deadline_s: float
    is_retry: bool
    may_wait: bool
    may_redirect: bool
    excluded: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """Reply of the broker that the permit request is queued."""

    permit_request_id: str


@dataclass(frozen=True, slots=True)
class PermitMessage:
    """Permit to send an attempt to a backend server."""

    permit_request_id: str
    permit_id: str
    backend: Backend
    slowness_percent: float
    report_age_s: float
    expected_s: float


@dataclass(frozen=True, slots=True)
class DenialMessage:
    """The broker denied the permit request; ``end`` is the reason."""

    permit_request_id: str
    end: DenialReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class CancelMessage:
    """Cancels a permit request, or its permit if already granted."""

    permit_request_id: str


@dataclass(frozen=True, slots=True)
class FinishMessage:
    """Releases a permit and reports how its attempt ended."""

    permit_id: str
    attempt_report: AttemptReport


@dataclass(frozen=True, slots=True)
class StatedRateLimit:
    """What a backend server stated about its rate limit ``age_s`` seconds ago.

    ``requests_per_s`` is ``None`` if it states no limit any more.
    """

    backend_id: str
    started_ms: int
    requests_per_s: float | None
    age_s: float


@dataclass(frozen=True, slots=True)
class RateLimitsMessage:
    """Rate limits of backend servers of a pool.

    Sent to a broker ahead of permit requests, and by it ahead of a permit.
    """

    service: str
    failure_domain: str
    limits: tuple[StatedRateLimit, ...]


@dataclass(frozen=True, slots=True)
class StatedAvailability:
    """What a backend server stated ``age_s`` seconds ago about taking requests.

    ``closed_s`` is the time in seconds from now for which it takes none, 0 if
    it leaves.
    """

    backend_id: str
    started_ms: int
    is_leaving: bool
    closed_s: float
    age_s: float


@dataclass(frozen=True, slots=True)
class AvailabilityMessage:
    """Backend servers of a pool that leave or have asked for a pause.

    Sent to a broker ahead of permit requests.
    """

    service: str
    failure_domain: str
    statements: tuple[StatedAvailability, ...]


Message: TypeAlias = (
    Heartbeat
    | KnownVms
    | Digest
    | UpdatePush
    | PermitRequestMessage
    | QueuedMessage
    | PermitMessage
    | DenialMessage
    | CancelMessage
    | FinishMessage
    | RateLimitsMessage
    | AvailabilityMessage
    | HeldConfig
)
