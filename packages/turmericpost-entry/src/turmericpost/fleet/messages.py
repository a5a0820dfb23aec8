"""Datagrams between entry VMs and their msgpack form.

A heartbeat says who the sender is and how new what it knows is; asks,
permits and finishes carry the life of a permit. Times are durations, since
every VM has a clock of its own.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import astuple, dataclass
from typing import Any, TypeAlias

import msgpack
from result import Err, Ok, Result

from turmericpost_core.fleet.backends import Backend, Version
from turmericpost_core.grants.permits import (
    AskEnd,
    Finish,
    LoadFigures,
    SendOutcome,
)
from turmericpost_core.membership.domain_view import Vm, VmStanding


@dataclass(frozen=True, slots=True)
class Knowledge:
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

    It maps permits to the backend servers that they are for.
    """

    vm: Vm
    standing: VmStanding
    knowledge: Knowledge
    holds: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class KnownVms:
    """Entry VMs that the sender knows, for one that is new."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class Digest:
    """The VMs of a failure domain, as one of them hears them."""

    failure_domain: str
    age_s: float
    vms: tuple[tuple[Vm, VmStanding], ...]
    knowledge: Knowledge
    sender: str


@dataclass(frozen=True, slots=True)
class AskMessage:
    """A call wants a permit; durations from when it was sent."""

    ask_id: str
    service: str
    failure_domain: str
    rank: int
    waited_s: float
    objective_s: float
    deadline_s: float
    is_repeat: bool
    may_wait: bool
    may_leave: bool
    excluded: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Queued:
    """The ask waits at the broker."""

    ask_id: str


@dataclass(frozen=True, slots=True)
class PermitMessage:
    """The call may be sent."""

    ask_id: str
    grant_id: str
    backend: Backend
    slowness_percent: float
    report_age_s: float


@dataclass(frozen=True, slots=True)
class DenialMessage:
    """The ask gets no permit there."""

    ask_id: str
    end: AskEnd
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Cancelled:
    """Nobody waits for the ask any more."""

    ask_id: str


@dataclass(frozen=True, slots=True)
class FinishMessage:
    """A permit was used."""

    grant_id: str
    finish: Finish


Message: TypeAlias = (
    Heartbeat
    | KnownVms
    | Digest
    | AskMessage
    | Queued
    | PermitMessage
    | DenialMessage
    | Cancelled
    | FinishMessage
)


@dataclass(frozen=True)
class MalformedMessage:
    """A datagram that can't be decoded."""

    detail: str


def encode_message(message: Message) -> bytes:
    """Return the bytes of a message."""
    kind = _KINDS.index(type(message))
    packed: bytes = msgpack.packb(
        [kind, astuple(message)],
        default=_packable,
    )
    return packed


def decode_message(wire: bytes) -> Result[Message, MalformedMessage]:
    """Build a typed message from a datagram."""
    try:
        kind, fields = msgpack.unpackb(wire, strict_map_key=False)
        return Ok(_DECODERS[kind](fields))
    except (ValueError, TypeError, IndexError, KeyError) as error:
        return Err(MalformedMessage(repr(error)))


def unpack_backend(fields: Any) -> Backend:
    """Return the backend server of a packed one."""
    return Backend(*fields)


def unpack_vm(fields: Any) -> Vm:
    """Return the entry VM of a packed one."""
    return Vm(*fields)


def _packable(unpacked: object) -> object:
    if isinstance(unpacked, (SendOutcome, AskEnd)):
        return unpacked.value
    if isinstance(unpacked, frozenset):
        return tuple(unpacked)
    raise TypeError(type(unpacked).__name__)


def _knowledge(fields: Any) -> Knowledge:
    read_age_s, operator_offset, backends, next_offset = fields
    changed, given_up = backends
    return Knowledge(
        read_age_s,
        operator_offset,
        (changed, given_up),
        next_offset,
    )


def _standings(fields: Any) -> tuple[tuple[Vm, VmStanding], ...]:
    return tuple(
        (unpack_vm(vm), VmStanding(standing)) for vm, standing in fields
    )


def _heartbeat(fields: Any) -> Heartbeat:
    vm, standing, knowledge, holds = fields
    return Heartbeat(
        unpack_vm(vm),
        VmStanding(standing),
        _knowledge(knowledge),
        dict(holds),
    )


def _known_vms(fields: Any) -> KnownVms:
    return KnownVms(tuple(unpack_vm(vm) for vm in fields[0]))


def _digest(fields: Any) -> Digest:
    domain, age_s, vms, knowledge, sender = fields
    return Digest(
        domain,
        age_s,
        _standings(vms),
        _knowledge(knowledge),
        sender,
    )


def _ask(fields: Any) -> AskMessage:
    *plain, excluded = fields
    return AskMessage(*plain, tuple(excluded))


def _queued(fields: Any) -> Queued:
    return Queued(*fields)


def _permit(fields: Any) -> PermitMessage:
    ask_id, grant_id, backend, slowness_percent, report_age_s = fields
    return PermitMessage(
        ask_id,
        grant_id,
        unpack_backend(backend),
        slowness_percent,
        report_age_s,
    )


def _denial(fields: Any) -> DenialMessage:
    ask_id, end, retry_after_s = fields
    return DenialMessage(ask_id, AskEnd(end), retry_after_s)


def _cancelled(fields: Any) -> Cancelled:
    return Cancelled(*fields)


def _finish(fields: Any) -> FinishMessage:
    grant_id, packed = fields
    outcome, latency_s, figures = packed
    report = None if figures is None else LoadFigures(*figures)
    return FinishMessage(
        grant_id,
        Finish(SendOutcome(outcome), latency_s, report),
    )


_KINDS = (
    Heartbeat,
    KnownVms,
    Digest,
    AskMessage,
    Queued,
    PermitMessage,
    DenialMessage,
    Cancelled,
    FinishMessage,
)
_DECODERS = (
    _heartbeat,
    _known_vms,
    _digest,
    _ask,
    _queued,
    _permit,
    _denial,
    _cancelled,
    _finish,
)
