"""Msgpack encoding of the datagrams between entry VMs.

A datagram is a list: the index of the message type in ``_MESSAGE_TYPES``, and
the fields of the message.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgpack
from result import Err, Ok, Result

from turmericpost.fleet.dataclass_fields import shallow_fields
from turmericpost.fleet.field_types import (
    check_field_types,
    read_position,
    require_not_negative,
)
from turmericpost.fleet.held_config import HeldConfig
from turmericpost.fleet.messages import (
    AvailabilityMessage,
    CancelMessage,
    DenialMessage,
    Digest,
    FinishMessage,
    Heartbeat,
    KnownVms,
    Message,
    PermitMessage,
    PermitRequestMessage,
    QueuedMessage,
    RateLimitsMessage,
    StateVersion,
    UpdatePush,
)
from turmericpost.fleet.statement_codec import (
    decode_availability,
    decode_rate_limits,
)
from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    DenialReason,
    ReportedLoad,
)
from turmericpost_core.membership.domain_view import Vm, VmReadiness


@dataclass(frozen=True)
class MalformedMessage:
    """Error: a message cannot be decoded."""

    detail: str


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    kind = _MESSAGE_TYPES.index(type(message))
    packed: bytes = msgpack.packb([kind, message], default=_to_packable)
    return packed


def decode_message(wire: bytes) -> Result[Message, MalformedMessage]:
    """Return the message in a datagram, or an error if it is malformed."""
    try:
        return Ok(_unpack(wire))
    except (ValueError, TypeError, LookupError) as error:
        return Err(MalformedMessage(repr(error)))


def unpack_backend(fields: Any) -> Backend:
    """Return the backend server with these unpacked fields."""
    return Backend(*fields)


def unpack_vm(fields: Any) -> Vm:
    """Return the entry VM with these unpacked fields."""
    return Vm(*fields)


def _unpack(wire: bytes) -> Message:
    kind, packed = msgpack.unpackb(wire, strict_map_key=False)
    message = _DECODERS[kind](packed)
    check_field_types(message)
    return message


def _to_packable(value_to_pack: object) -> object:
    if isinstance(value_to_pack, (AttemptOutcome, DenialReason)):
        return value_to_pack.value
    if isinstance(value_to_pack, frozenset):
        return tuple(value_to_pack)
    return shallow_fields(value_to_pack)


def _decode_state_version(fields: Any) -> StateVersion:
    read_age_s, operator_offset, backends, next_offset = fields
    last_changed, expired_count = backends
    return StateVersion(
        require_not_negative(read_age_s),
        read_position(operator_offset),
        (last_changed, expired_count),
        read_position(next_offset),
    )


def _decode_vms_with_readiness(
    fields: Any,
) -> tuple[tuple[Vm, VmReadiness], ...]:
    return tuple(
        (unpack_vm(vm), VmReadiness(readiness)) for vm, readiness in fields
    )


def _decode_heartbeat(fields: Any) -> Heartbeat:
    vm, readiness, state_version, held_permits, demand = fields
    return Heartbeat(
        unpack_vm(vm),
        VmReadiness(readiness),
        _decode_state_version(state_version),
        dict(held_permits),
        dict(demand),
    )


def _decode_known_vms(fields: Any) -> KnownVms:
    return KnownVms(tuple(unpack_vm(vm) for vm in fields[0]))


def _decode_digest(fields: Any) -> Digest:
    domain, age_s, vms, state_version, sender, demand = fields
    return Digest(
        domain,
        require_not_negative(age_s),
        _decode_vms_with_readiness(vms),
        _decode_state_version(state_version),
        sender,
        dict(demand),
    )


def _decode_permit_request(fields: Any) -> PermitRequestMessage:
    arguments = list(fields)
    arguments.append(tuple(arguments.pop()))
    return PermitRequestMessage(*arguments)


def _decode_permit(fields: Any) -> PermitMessage:
    permit_request_id, permit_id, backend, *arguments = fields
    return PermitMessage(
        permit_request_id, permit_id, unpack_backend(backend), *arguments
    )


def _decode_denial(fields: Any) -> DenialMessage:
    permit_request_id, end, retry_after_s = fields
    return DenialMessage(permit_request_id, DenialReason(end), retry_after_s)


def _decode_finish(fields: Any) -> FinishMessage:
    permit_id, packed = fields
    outcome, latency_s, reported_load = packed
    report = None if reported_load is None else ReportedLoad(*reported_load)
    return FinishMessage(
        permit_id,
        AttemptReport(AttemptOutcome(outcome), latency_s, report),
    )


_MESSAGE_TYPES = (
    Heartbeat,
    KnownVms,
    Digest,
    PermitRequestMessage,
    QueuedMessage,
    PermitMessage,
    DenialMessage,
    CancelMessage,
    FinishMessage,
    UpdatePush,
    RateLimitsMessage,
    AvailabilityMessage,
    HeldConfig,
)
_DECODERS: tuple[Callable[[Any], Message], ...] = (
    _decode_heartbeat,
    _decode_known_vms,
    _decode_digest,
    _decode_permit_request,
    lambda fields: QueuedMessage(*fields),
    _decode_permit,
    _decode_denial,
    lambda fields: CancelMessage(*fields),
    _decode_finish,
    lambda fields: UpdatePush(*fields),
    decode_rate_limits,
    decode_availability,
    lambda fields: HeldConfig(*fields),
)
