"""Decoding of messages with what backend servers state."""

from __future__ import annotations

from typing import Any

from turmericpost.fleet.field_types import require_not_negative
from turmericpost.fleet.messages import (
    AvailabilityMessage,
    RateLimitsMessage,
    StatedAvailability,
    StatedRateLimit,
)


def decode_rate_limits(fields: Any) -> RateLimitsMessage:
    """Return the message with these unpacked fields.

    Raises ``ValueError`` or ``TypeError`` if a limit or an age is not a number
    of at least 0.
    """
    service, domain, limits = fields
    return RateLimitsMessage(
        service,
        domain,
        tuple(_decode_stated_limit(*stated) for stated in limits),
    )


def decode_availability(fields: Any) -> AvailabilityMessage:
    """Return the message with these unpacked fields.

    Raises ``ValueError`` or ``TypeError`` if a time is not a number of at
    least 0.
    """
    service, domain, statements = fields
    return AvailabilityMessage(
        service,
        domain,
        tuple(_decode_stated_availability(*stated) for stated in statements),
    )


def _decode_stated_limit(
    backend_id: str,
    started_ms: int,
    requests_per_s: float | None,
    age_s: float,
) -> StatedRateLimit:
    require_not_negative(requests_per_s or 0)
    require_not_negative(age_s)
    return StatedRateLimit(backend_id, started_ms, requests_per_s, age_s)


def _decode_stated_availability(*fields: Any) -> StatedAvailability:
    stated = StatedAvailability(*fields)
    require_not_negative(stated.closed_s)
    require_not_negative(stated.age_s)
    return stated
