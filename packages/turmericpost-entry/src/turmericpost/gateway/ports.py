"""HTTP ports with the limits of the operator's configuration."""

from __future__ import annotations

from collections.abc import Callable

from turmericpost.gateway.settings import Address
from turmericpost.http1.server import CallerPort, ExchangeHandler
from turmericpost.http1.settings import CallerSettings
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.operator_config import CallerLimits
from turmericpost_core.outcome.reasons import RefusalReason

IDLE_SLACK_S = 2.0
"""Time for which an idle connection stays open beyond the operator's limit.

A request sent just before the limit thus still arrives on an open connection.
"""


def new_caller_port(
    address: Address,
    begin: ExchangeHandler,
    clock: Clock,
    record_refusal: Callable[[RefusalReason], None],
) -> CallerPort:
    """Return a port with default limits.

    They are used until there is a configuration.
    """
    host, port = address
    settings = CallerSettings(caller_host=host, caller_port=port)
    return CallerPort(begin, settings, clock, record_refusal)


def limited_settings(address: Address, limits: CallerLimits) -> CallerSettings:
    """Return the settings of a port with the operator's limits."""
    host, port = address
    return CallerSettings(
        caller_host=host,
        caller_port=port,
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        caller_silence_s=max(limits.header_timeout_s, limits.idle_timeout_s),
        caller_idle_s=limits.idle_timeout_s + IDLE_SLACK_S,
    )
