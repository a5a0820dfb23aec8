"""Calls that one entry VM sends to another, and why."""

from __future__ import annotations

from enum import Enum
from types import MappingProxyType

from turmericpost_core.config.document import BackendServer
from turmericpost_core.membership.vm_records import VmRecord


class RelayKind(Enum):
    """Why a call comes from another entry VM; values are on the wire.

    ``KEY``: this VM owns the operation key. ``PASSED``: the other VM owns no
    fit backend server. ``OFFERED``: the other VM has no free slot; take the
    call only if there is one here now.
    """

    KEY = 'key'
    PASSED = 'passed'
    OFFERED = 'offered'


_KINDS = MappingProxyType(
    {kind.value.encode('ascii'): kind for kind in RelayKind}
)


def relay_kind(text: bytes | None) -> RelayKind | None:
    """Return the kind that a request field names, if it names one."""
    return None if text is None else _KINDS.get(text)


def vm_as_backend(owner: VmRecord, service: str) -> BackendServer:
    """Return an entry VM as a server to send calls to."""
    identity = owner.identity
    return BackendServer(
        host=identity.caller_host,
        port=identity.caller_port,
        service=service,
        failure_domain=identity.failure_domain,
    )
