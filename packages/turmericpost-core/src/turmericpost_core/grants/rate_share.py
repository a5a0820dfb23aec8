"""A broker's part of a rate that all VMs may use together.

Brokers that do not hear each other each use the part that their share of the
failure domain stands for. Parts below one attempt a second are not used,
since the attempts of many such brokers may fall into the same second. Only
brokers that hear more than half of the domain use parts that small: any
division of the domain has one such side at most.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_RATE_PER_S = 0.25
"""Rate at which a server is used that accepts less or nothing.

Only a response tells that a limit has ended.
"""

UNUSED_RECHECK_S = 1.0
"""Seconds after which a caller may ask again for a server without a part."""

RATE_WINDOW_S = 1.1
"""Seconds in which a broker grants the attempts of one second.

The difference covers permits that reach their servers with different delays.
"""

_MAJORITY_SHARE = 0.5
_MIN_PART_PER_S = 1.0


@dataclass(frozen=True, slots=True)
class AttemptPace:
    """Maximum number of attempts in a sliding window of ``window_s``.

    A window longer than ``RATE_WINDOW_S`` allows one attempt.
    """

    attempts: int
    window_s: float

    @property
    def per_s(self) -> float:
        """Attempts in a second, on average."""
        return self.attempts / self.window_s


@dataclass(frozen=True, slots=True)
class BrokerShare:
    """Share of a failure domain that a broker stands for.

    ``visible`` is the share of the domain's VMs that this VM hears, ``lead``
    the part of it that its rank allows, both from 0 to 1.
    """

    visible: float
    lead: float

    @property
    def total(self) -> float:
        """Share of the whole rate."""
        return self.visible * self.lead


def part_per_s(rate_per_s: float, share: BrokerShare) -> float:
    """Return the part of a rate that a share stands for.

    It is 0 if the part may not be used.
    """
    part = max(rate_per_s, MIN_RATE_PER_S) * share.total
    is_usable = part >= _MIN_PART_PER_S or share.visible > _MAJORITY_SHARE
    return part if is_usable else 0


def attempt_pace(rate_per_s: float, share: BrokerShare) -> AttemptPace:
    """Return the attempts that a broker with a share may grant."""
    part = part_per_s(rate_per_s, share)
    if part >= 1:
        return AttemptPace(int(part), RATE_WINDOW_S)
    if not part:
        return AttemptPace(0, RATE_WINDOW_S)
    return AttemptPace(1, RATE_WINDOW_S / part)
