"""How often VMs of a failure domain say that they live.

Every VM tells every other of its domain, so the messages grow with the square
of their number. In large domains each says so less often; brokers that fall
silent are passed over by their askers long before a heartbeat is missed.
"""

from __future__ import annotations

MIN_PERIOD_S = 0.25
"""Pause in small domains: callers are steered away from a lost VM in 1.1 s."""

MAX_HEARTBEATS_PER_S = 48
"""Heartbeats a second that a VM sends, however large its domain.

With 120 bytes each they stay below the 6 KB/s that control may send.
"""

MAX_PERIOD_S = 1.25
"""Pause in the largest domains planned for: 77 VMs."""

LOST_AFTER_PERIODS = 4.4
"""Pauses of silence after which a VM counts as lost: four beats in a row."""


def heartbeat_period_s(vms: int) -> float:
    """Return the time between heartbeats in a domain of some VMs."""
    return min(max(MIN_PERIOD_S, vms / MAX_HEARTBEATS_PER_S), MAX_PERIOD_S)


def lost_after_s(vms: int) -> float:
    """Return the silence after which a VM of such a domain counts as lost."""
    return LOST_AFTER_PERIODS * heartbeat_period_s(vms)
