"""Kinds of calls that one entry VM relays to another."""

from __future__ import annotations

from enum import Enum
from types import MappingProxyType

from turmericpost_core.config.document import BackendServer
from turmericpost_core.membership.vm_records import VmRecord


class RelayKind(Enum):
    """Why an entry VM relays a call to another; values are sent in a header.

    ``KEY``: the receiver owns the operation key. ``PASSED``: the sender owns
    no eligible backend server. ``OFFERED``: the sender has no free slot; the
    receiver accepts the call only if it has a free slot now.
    """

    KEY = 'key'
    PASSED = 'passed'
    OFFERED = 'offered'


_KIND_BY_HEADER_VALUE = MappingProxyType(
    {kind.value.encode('ascii'): kind for kind in RelayKind}
)


def parse_relay_kind(text: bytes | None) -> RelayKind | None:
    """Parse the value of a relay header field.

    Returns ``None`` if it is missing or unknown.
    """
    return None if text is None else _KIND_BY_HEADER_VALUE.get(text)


def vm_as_backend(vm: VmRecord, service: str) -> BackendServer:
    """Return a backend server description with the address of an entry VM."""
    identity = vm.identity
    return BackendServer(
        host=identity.caller_host,
        port=identity.caller_port,
        service=service,
        failure_domain=identity.failure_domain,
    )
