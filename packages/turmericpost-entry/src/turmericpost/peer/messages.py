"""Messages on the streams between entry VMs, and their msgpack encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

import msgpack
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from turmericpost_core.config.apply_records import Configuration
from turmericpost_core.membership.vm_records import (
    VmIdentity,
    VmRecord,
    VmState,
)

_BYTES_PER_MB = 1_048_576
_MAX_MESSAGE_MB = 16

MAX_MESSAGE_BYTES = _MAX_MESSAGE_MB * _BYTES_PER_MB

_HEARTBEAT = 1
_CONFIGURATION_REQUEST = 2
_CONFIGURATION_REPLY = 3
_GREETING = 4


@dataclass(frozen=True)
class Greeting:
    """First message on a stream: all membership records of the sender.

    The first record is the sender's own.
    """

    records: tuple[VmRecord, ...]


@dataclass(frozen=True)
class Heartbeat:
    """Variable fields of the sender's own record, and records of other VMs."""

    incarnation: int
    refutation: int
    state: VmState
    revision: int
    records: tuple[VmRecord, ...]

    def sender_record(self, identity: VmIdentity) -> VmRecord:
        """Return the sender's full record with the identity of its greeting."""
        return VmRecord(
            identity,
            self.incarnation,
            self.refutation,
            self.state,
            self.revision,
        )


@dataclass(frozen=True)
class ConfigurationRequest:
    """Request for the configuration in force if it is newer than ``revision``.

    ``has_gap`` is true if the sender missed records of the configuration log,
    so that a snapshot must be written to the log.
    """

    revision: int
    has_gap: bool = False


@dataclass(frozen=True)
class ConfigurationReply:
    """The configuration in force."""

    configuration: Configuration


PeerMessage: TypeAlias = (
    Greeting | Heartbeat | ConfigurationRequest | ConfigurationReply
)


@dataclass(frozen=True)
class MalformedMessageError:
    """Error: a message of a peer cannot be decoded."""

    detail: str


_CONFIGURATION = TypeAdapter(Configuration)


def encode_message(message: PeerMessage) -> bytes:
    """Return the msgpack encoding of a message."""
    if isinstance(message, Greeting):
        records = [_pack_record(record) for record in message.records]
        return _pack([_GREETING, records])
    if isinstance(message, Heartbeat):
        return _pack([_HEARTBEAT, _pack_heartbeat(message)])
    if isinstance(message, ConfigurationRequest):
        fields = [message.revision, message.has_gap]
        return _pack([_CONFIGURATION_REQUEST, fields])
    encoded = _CONFIGURATION.dump_json(message.configuration)
    return _pack([_CONFIGURATION_REPLY, encoded])


def new_unpacker() -> Any:
    """Return a streaming msgpack decoder with a bounded buffer."""
    return msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)


def decode_message(
    unpacked: object,
) -> Result[PeerMessage, MalformedMessageError]:
    """Return the message in an unpacked msgpack value, or an error."""
    try:
        return Ok(_unpack_message(unpacked))
    except (ValidationError, ValueError, TypeError) as error:
        return Err(MalformedMessageError(str(error)))


def _unpack_message(unpacked: Any) -> PeerMessage:
    kind, payload = unpacked
    if kind == _GREETING:
        records = tuple(_unpack_record(record) for record in payload)
        if not records:
            raise ValueError(kind)
        return Greeting(records)
    if kind == _HEARTBEAT:
        return _unpack_heartbeat(payload)
    if kind == _CONFIGURATION_REQUEST:
        revision, has_gap = payload
        return ConfigurationRequest(_require_type(revision, int), bool(has_gap))
    if kind == _CONFIGURATION_REPLY:
        return ConfigurationReply(_CONFIGURATION.validate_json(payload))
    raise ValueError(kind)


def _pack_record(record: VmRecord) -> list[Any]:
    identity = record.identity
    return [
        [
            identity.name,
            identity.caller_host,
            identity.caller_port,
            identity.failure_domain,
            identity.region,
        ],
        record.incarnation,
        record.refutation,
        record.state.value,
        record.revision,
    ]


def _pack_heartbeat(heartbeat: Heartbeat) -> list[Any]:
    return [
        heartbeat.incarnation,
        heartbeat.refutation,
        heartbeat.state.value,
        heartbeat.revision,
        [_pack_record(record) for record in heartbeat.records],
    ]


def _unpack_heartbeat(packed: Any) -> Heartbeat:
    incarnation, refutation, state, revision, records = packed
    return Heartbeat(
        incarnation=_require_type(incarnation, int),
        refutation=_require_type(refutation, int),
        state=VmState(_require_type(state, int)),
        revision=_require_type(revision, int),
        records=tuple(_unpack_record(record) for record in records),
    )


def _unpack_record(packed: Any) -> VmRecord:
    identity, incarnation, refutation, state, revision = packed
    return VmRecord(
        identity=_unpack_identity(identity),
        incarnation=_require_type(incarnation, int),
        refutation=_require_type(refutation, int),
        state=VmState(_require_type(state, int)),
        revision=_require_type(revision, int),
    )


def _unpack_identity(packed: Any) -> VmIdentity:
    name, host, port, domain, region = packed
    return VmIdentity(
        name=_require_type(name, str),
        caller_host=_require_type(host, str),
        caller_port=_require_type(port, int),
        failure_domain=_require_type(domain, str),
        region=_require_type(region, str),
    )


def _require_type(field: Any, expected_type: type[Any]) -> Any:
    if not isinstance(field, expected_type) or isinstance(field, bool):
        raise TypeError(
            f'{type(field).__name__} is not {expected_type.__name__}'
        )
    return field


def _pack(unpacked: list[Any]) -> bytes:
    packed: bytes = msgpack.packb(unpacked)
    return packed
