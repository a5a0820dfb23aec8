"""HTTP ports with the limits of the operator's configuration and the VM."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
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


class SocketShare(Enum):
    """Shares of the sockets; the store and backend servers have the rest.

    ``ENDPOINTS`` are address queries, readiness checks and metrics, ``PEERS``
    the state updates to other VMs.
    """

    CALLERS = 0.5
    ENDPOINTS = 0.125
    PEERS = 0.0625


def max_connections(resources: VmResources, share: SocketShare) -> int:
    """Return how many connections a share of the sockets is, at least one."""
    sockets = resources.max_descriptors - FILE_DESCRIPTORS
    return max(int(sockets * share.value), 1)


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
    max_caller_connections: int,
) -> CallerPort:
    """Return a port with default limits of requests.

    They are used until there is a configuration.
    """
    host, port = address
    settings = CallerSettings(
        caller_host=host,
        caller_port=port,
        max_caller_connections=max_caller_connections,
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
