"""Encoding and decoding of registrations of backend servers and entry VMs."""

from __future__ import annotations

import json
from typing import Any

from result import Err, Ok, Result

from turmericpost.fleet.field_types import check_field_types
from turmericpost.platform.json_fields import (
    MALFORMED_ERRORS,
    parse_address,
    parse_json,
    read_count,
    read_name,
)
from turmericpost.platform.store_codec import KeyedRecord
from turmericpost_core.fleet.backends import Backend, Registration
from turmericpost_core.membership.domain_view import Vm

_MS_PER_S = 1000
_BACKEND_STATES = frozenset(('ready', 'draining'))


def decode_registration(record: KeyedRecord) -> Result[Registration, str]:
    """Decode a record of the registry of backend servers.

    An empty record removes the registration. Returns the reason as text if
    the record is invalid.
    """
    if not record.payload:
        return Ok(Registration(record.offset, record.key, None))
    try:
        backend = _decode_backend(record.key, parse_json(record.payload))
    except MALFORMED_ERRORS as error:
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
        return Ok(_decode_vm(record.key, parse_json(record.payload)))
    except MALFORMED_ERRORS as error:
        return Err(f'{type(error).__name__}: {error}')


def _decode_backend(backend_id: str, entry: Any) -> Backend:
    # The id is sent to the server in a header field.
    if not backend_id.isprintable() or ' ' in backend_id or not backend_id:
        raise ValueError('the key is not a printable id')
    state = read_name(entry, 'State')
    if state not in _BACKEND_STATES:
        raise ValueError(f'State is {state!r}')
    host, port = parse_address(read_name(entry, 'Address'))
    slots = read_count(entry, 'Slots')
    if slots < 1:
        raise ValueError(f'Slots is {slots}, but must be at least 1')
    backend = Backend(
        backend_id=backend_id,
        service=read_name(entry, 'Service'),
        host=host,
        port=port,
        failure_domain=read_name(entry, 'Zone'),
        slots=slots,
        is_draining=state == 'draining',
        cold_left_s=read_count(entry, 'WarmupLeftMs') / _MS_PER_S,
        started_ms=read_count(entry, 'born') if 'born' in entry else 0,
    )
    check_field_types(backend)
    return backend


def _decode_vm(name: str, fields: Any) -> Vm:
    vm = Vm(name=name, **fields)
    check_field_types(vm)
    parse_address(vm.caller_address)
    parse_address(f'{vm.host}:{vm.peer_port}')
    return vm
