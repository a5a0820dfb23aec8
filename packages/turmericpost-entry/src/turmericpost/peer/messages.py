"""Messages between entry VMs and their msgpack form."""

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
    """All that a VM knows, first on a stream; the first fact is its own."""

    records: tuple[VmRecord, ...]


@dataclass(frozen=True)
class Heartbeat:
    """What changes of the sender, and facts about others it passes on."""

    incarnation: int
    refutation: int
    state: VmState
    revision: int
    records: tuple[VmRecord, ...]

    def sender(self, identity: VmIdentity) -> VmRecord:
        """Return the fact about the sender, whose greeting named it."""
        return VmRecord(
            identity,
            self.incarnation,
            self.refutation,
            self.state,
            self.revision,
        )


@dataclass(frozen=True)
class ConfigurationRequest:
    """Asks for the configuration in force if it is newer.

    With a gap in what it has read of the log it needs a snapshot there too.
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
    """A message of a peer that can't be decoded."""

    detail: str


_CONFIGURATION = TypeAdapter(Configuration)


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of a message."""
    if isinstance(message, Greeting):
        records = [_packed_record(record) for record in message.records]
        return _pack([_GREETING, records])
    if isinstance(message, Heartbeat):
        return _pack([_HEARTBEAT, _packed_heartbeat(message)])
    if isinstance(message, ConfigurationRequest):
        asked = [message.revision, message.has_gap]
        return _pack([_CONFIGURATION_REQUEST, asked])
    dumped = _CONFIGURATION.dump_json(message.configuration)
    return _pack([_CONFIGURATION_REPLY, dumped])


def new_unpacker() -> Any:
    """Return a streaming decoder with bounded memory."""
    return msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)


def decode_message(
    unpacked: object,
) -> Result[PeerMessage, MalformedMessageError]:
    """Build a typed message from decoded msgpack."""
    try:
        return Ok(_message(unpacked))
    except (ValidationError, ValueError, TypeError) as error:
        return Err(MalformedMessageError(str(error)))


def _message(unpacked: Any) -> PeerMessage:
    kind, payload = unpacked
    if kind == _GREETING:
        records = tuple(_unpacked_record(record) for record in payload)
        if not records:
            raise ValueError(kind)
        return Greeting(records)
    if kind == _HEARTBEAT:
        return _unpacked_heartbeat(payload)
    if kind == _CONFIGURATION_REQUEST:
        revision, has_gap = payload
        return ConfigurationRequest(_checked(revision, int), bool(has_gap))
    if kind == _CONFIGURATION_REPLY:
        return ConfigurationReply(_CONFIGURATION.validate_json(payload))
    raise ValueError(kind)


def _packed_record(record: VmRecord) -> list[Any]:
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


def _packed_heartbeat(heartbeat: Heartbeat) -> list[Any]:
    return [
        heartbeat.incarnation,
        heartbeat.refutation,
        heartbeat.state.value,
        heartbeat.revision,
        [_packed_record(record) for record in heartbeat.records],
    ]


def _unpacked_heartbeat(packed: Any) -> Heartbeat:
    incarnation, refutation, state, revision, records = packed
    return Heartbeat(
        incarnation=_checked(incarnation, int),
        refutation=_checked(refutation, int),
        state=VmState(_checked(state, int)),
        revision=_checked(revision, int),
        records=tuple(_unpacked_record(record) for record in records),
    )


def _unpacked_record(packed: Any) -> VmRecord:
    identity, incarnation, refutation, state, revision = packed
    return VmRecord(
        identity=_unpacked_identity(identity),
        incarnation=_checked(incarnation, int),
        refutation=_checked(refutation, int),
        state=VmState(_checked(state, int)),
        revision=_checked(revision, int),
    )


def _unpacked_identity(packed: Any) -> VmIdentity:
    name, host, port, domain, region = packed
    return VmIdentity(
        name=_checked(name, str),
        caller_host=_checked(host, str),
        caller_port=_checked(port, int),
        failure_domain=_checked(domain, str),
        region=_checked(region, str),
    )


def _checked(part: Any, wanted: type[Any]) -> Any:
    if not isinstance(part, wanted) or isinstance(part, bool):
        raise TypeError(f'{type(part).__name__} is not {wanted.__name__}')
    return part


def _pack(unpacked: list[Any]) -> bytes:
    packed: bytes = msgpack.packb(unpacked)
    return packed
