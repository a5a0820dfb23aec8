"""HTTP ports with the limits of the operator's configuration and the VM."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from turmericpost.gateway.settings import Address, VmResources
from turmericpost.http1.server import CallerPort, ExchangeHandler
from turmericpost.http1.settings import CallerSettings
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.operator_config import CallerLimits
from turmericpost_core.outcome.reasons import RefusalReason

IDLE_SLACK_S = 2.0
"""Time for which an idle connection stays open beyond the operator's limit.

A request sent just before the limit thus still arrives on an open connection.
"""

FILE_DESCRIPTORS = 200
"""Descriptors that are not for sockets."""

ACCEPT_BACKLOG = 511
"""Maximum number of connections waiting to be accepted: more than a failure
domain has callers."""

RECEIVE_BUFFER_BYTES = 32768
"""Size of the receive buffer of a connection, which limits what is received
before the process reads it: more than the usual request has."""


@dataclass(frozen=True)
class PortShare:
    """Share of the VM's sockets and memory that a port may use.

    Receive buffers may take the share of the memory once more.
    """

    sockets: float
    memory: float


_CALLER_SOCKETS = 0.5
_CALLER_MEMORY = 0.125
CALLERS = PortShare(_CALLER_SOCKETS, _CALLER_MEMORY)
"""Share of the callers."""

_ENDPOINT_SOCKETS = 0.125
_ENDPOINT_MEMORY = 0.03125
ENDPOINTS = PortShare(_ENDPOINT_SOCKETS, _ENDPOINT_MEMORY)
"""Share of address queries, readiness checks and metrics."""

PEER_SOCKETS = 0.0625
"""Share of the sockets for state updates to other VMs."""


def max_connections(resources: VmResources, share: float) -> int:
    """Return how many connections a share of the sockets is, at least one.

    The store and backend servers have what no share takes.
    """
    sockets = resources.max_descriptors - FILE_DESCRIPTORS
    return max(int(sockets * share), 1)


def listen(reactor: Any, address: Address, factory: Any) -> Any:
    """Open a port with small receive buffers, and return it."""
    host, port = address
    listening = reactor.listenTCP(
        port,
        factory,
        backlog=ACCEPT_BACKLOG,
        interface=host,
    )
    listening.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    return listening


def new_caller_port(
    address: Address,
    begin: ExchangeHandler,
    clock: Clock,
    record_refusal: Callable[[RefusalReason], None],
    resources: VmResources,
    share: PortShare,
) -> CallerPort:
    """Return a port with default limits of requests.

    They are used until there is a configuration.
    """
    host, port = address
    memory_bytes = int(resources.memory_bytes * share.memory)
    settings = CallerSettings(
        caller_host=host,
        caller_port=port,
        max_caller_connections=min(
            max_connections(resources, share.sockets),
            memory_bytes // RECEIVE_BUFFER_BYTES,
        ),
        max_caller_memory_bytes=memory_bytes,
    )
    return CallerPort(begin, settings, clock, record_refusal)


def limited_settings(
    settings: CallerSettings, limits: CallerLimits
) -> CallerSettings:
    """Return the settings of a port with the operator's limits."""
    return replace(
        settings,
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        caller_silence_s=max(limits.header_timeout_s, limits.idle_timeout_s),
        caller_idle_s=limits.idle_timeout_s + IDLE_SLACK_S,
    )
