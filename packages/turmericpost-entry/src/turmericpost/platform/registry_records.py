"""Encoding and decoding of registrations of backend servers and entry VMs."""

from __future__ import annotations

import json
from typing import Any

from result import Err, Ok, Result

from turmericpost.platform.store_codec import KeyedRecord
from turmericpost_core.fleet.backends import Backend, Registration
from turmericpost_core.membership.domain_view import Vm

_MS_PER_S = 1000
_BACKEND_STATES = frozenset(('ready', 'draining'))
_MAX_PORT = 65535


def decode_registration(record: KeyedRecord) -> Result[Registration, str]:
    """Decode a record of the registry of backend servers.

    An empty record removes the registration. Returns the reason as text if
    the record is invalid.
    """
    if not record.payload:
        return Ok(Registration(record.offset, record.key, None))
    try:
        backend = _decode_backend(record.key, json.loads(record.payload))
    except (KeyError, TypeError, ValueError) as error:
        return Err(f'{type(error).__name__}: {error}')
    return Ok(Registration(record.offset, record.key, backend))


def encode_vm(vm: Vm) -> bytes:
    """Return the record with which an entry VM announces itself."""
    record = {
        'host': vm.host,
        'peer_port': vm.peer_port,
        'caller_address': vm.caller_address,
        'failure_domain': vm.failure_domain,
        'region': vm.region,
        'started_ms': vm.started_ms,
    }
    return json.dumps(record).encode('utf-8')


def decode_vm(record: KeyedRecord) -> Result[Vm, str]:
    """Decode the record with which an entry VM announced itself.

    Returns the reason as text if the record is invalid.
    """
    try:
        return Ok(Vm(name=record.key, **json.loads(record.payload)))
    except (TypeError, ValueError) as error:
        return Err(f'{type(error).__name__}: {error}')


def _decode_backend(backend_id: str, entry: Any) -> Backend:
    host, _, port = _non_empty_text(entry, 'Address').rpartition(':')
    state = _non_empty_text(entry, 'State')
    if state not in _BACKEND_STATES:
        raise ValueError(f'State is {state!r}')
    if not host or not 0 < int(port) <= _MAX_PORT:
        raise ValueError('Address is not HOST:PORT')
    slots = _non_negative_int(entry, 'Slots')
    if slots < 1:
        raise ValueError(f'Slots is {slots}, but must be at least 1')
    return Backend(
        backend_id=backend_id,
        service=_non_empty_text(entry, 'Service'),
        host=host,
        port=int(port),
        failure_domain=_non_empty_text(entry, 'Zone'),
        slots=slots,
        is_draining=state == 'draining',
        cold_left_s=_non_negative_int(entry, 'WarmupLeftMs') / _MS_PER_S,
        started_ms=_non_negative_int(entry, 'born') if 'born' in entry else 0,
    )


def _non_empty_text(entry: Any, name: str) -> str:
    field = entry[name]
    if not isinstance(field, str) or not field:
        raise TypeError(f'{name} is not a non-empty string')
    return field


def _non_negative_int(entry: Any, name: str) -> int:
    field = entry[name]
    if not isinstance(field, int) or isinstance(field, bool):
        raise TypeError(f'{name} is not an integer')
    if field < 0:
        raise ValueError(f'{name} is negative')
    return field
