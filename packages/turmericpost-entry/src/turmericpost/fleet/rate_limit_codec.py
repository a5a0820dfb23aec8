"""Decoding of messages with the rate limits of backend servers."""

from __future__ import annotations

import math
from typing import Any

from turmericpost.fleet.messages import RateLimitsMessage, StatedRateLimit


def decode_rate_limits(fields: Any) -> RateLimitsMessage:
    """Return the message with these unpacked fields.

    Raises ``ValueError`` or ``TypeError`` if a limit or an age is not a finite
    number of at least 0.
    """
    service, domain, limits = fields
    return RateLimitsMessage(
        service,
        domain,
        tuple(_decode_stated_limit(*stated) for stated in limits),
    )


def _decode_stated_limit(
    backend_id: str,
    started_ms: int,
    requests_per_s: float | None,
    age_s: float,
) -> StatedRateLimit:
    for number in (requests_per_s or 0, age_s):
        if not math.isfinite(number) or number < 0:
            raise ValueError(number)
    return StatedRateLimit(backend_id, started_ms, requests_per_s, age_s)
