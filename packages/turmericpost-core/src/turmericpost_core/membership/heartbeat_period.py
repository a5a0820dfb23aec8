"""Heartbeat period and loss timeout, by the size of a failure domain.

Every VM sends heartbeats to every other VM of its domain, so the number of
messages grows with the square of the number of VMs. Large domains use a
longer period. This does not delay permits: a requester passes over a silent
broker long before a heartbeat of the broker is missed.
"""

from __future__ import annotations

MIN_PERIOD_S = 0.25
"""Heartbeat period in small domains.

There, callers are directed away from a lost VM after 1.1 s.
"""

MAX_HEARTBEATS_PER_S = 48
"""Maximum rate of heartbeats that a VM sends in a domain of up to 60 VMs.

With 120 bytes each they stay below the 6 KB/s allowed for control traffic.
"""

MAX_PERIOD_S = 1.25
"""Heartbeat period in the largest planned domains, of 77 VMs."""

LOST_AFTER_PERIODS = 4.4
"""Number of silent heartbeat periods after which a VM counts as lost.

Four heartbeats in a row are missing then.
"""


def heartbeat_period_s(vms: int) -> float:
    """Return the seconds between heartbeats in a domain of that many VMs."""
    return min(max(MIN_PERIOD_S, vms / MAX_HEARTBEATS_PER_S), MAX_PERIOD_S)


def lost_after_s(vms: int) -> float:
    """Return the silence in seconds after which a VM counts as lost.

    ``vms`` is the number of VMs in its failure domain.
    """
    return LOST_AFTER_PERIODS * heartbeat_period_s(vms)
