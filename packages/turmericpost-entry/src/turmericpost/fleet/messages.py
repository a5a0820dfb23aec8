"""Datagrams between entry VMs.

A heartbeat says who the sender is and how new what it knows is; asks,
permits and finishes carry the life of a permit. Times are durations, since
every VM has a clock of its own.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from turmericpost_core.fleet.backends import Backend, Version
from turmericpost_core.grants.permits import AttemptReport, DenialReason
from turmericpost_core.membership.domain_view import Vm, VmReadiness


@dataclass(frozen=True, slots=True)
class StateVersion:
    """How new what a VM knows is.

    ``read_age_s`` is the age of its last read of the store, negative if it
    never read; ``operator_offset`` and ``backends`` are versions.
    """

    read_age_s: float
    operator_offset: int
    backends: Version
    next_offset: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The sender lives; ``holds`` are its permits that concern the receiver.

    It maps permits to the backend servers that they are for. ``demand`` is
    the work in seconds of the routes with home regions.
    """

    vm: Vm
    readiness: VmReadiness
    state_version: StateVersion
    held_permits: Mapping[str, str]
    demand: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class KnownVms:
    """Entry VMs that the sender knows, for one that is new."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class Digest:
    """The VMs of a failure domain, as one of them hears them."""

    failure_domain: str
    age_s: float
    vms: tuple[tuple[Vm, VmReadiness], ...]
    state_version: StateVersion
    sender: str
    demand: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class UpdatePush:
    """A small update, in the form of an update stream."""

    sender: str
    wire: bytes


@dataclass(frozen=True, slots=True)
class PermitRequestMessage:
    """A call wants a permit; durations from when it was sent."""

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
    """The ask waits at the broker."""

    permit_request_id: str


@dataclass(frozen=True, slots=True)
class PermitMessage:
    """The call may be sent."""

    permit_request_id: str
    permit_id: str
    backend: Backend
    slowness_percent: float
    report_age_s: float
    expected_s: float


@dataclass(frozen=True, slots=True)
class DenialMessage:
    """The ask gets no permit there."""

    permit_request_id: str
    end: DenialReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class CancelMessage:
    """Nobody waits for the ask any more."""

    permit_request_id: str


@dataclass(frozen=True, slots=True)
class FinishMessage:
    """A permit was used."""

    permit_id: str
    finish: AttemptReport


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
)
