"""Where a call asks for a permit, one failure domain after the other."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Stop:
    """One ask: whether it may queue there, and may be sent elsewhere."""

    failure_domain: str
    may_wait: bool
    may_leave: bool


def domain_tour(domains: tuple[str, ...]) -> Iterator[Stop]:
    """Yield the asks of a call.

    The nearest domain comes first and may answer that another would be
    quicker. The others take the call only if they have room now. Then the
    call waits at the nearest.
    """
    if not domains:
        return
    nearest = domains[0]
    if len(domains) > 1:
        yield Stop(nearest, may_wait=True, may_leave=True)
        for domain in domains[1:]:
            yield Stop(domain, may_wait=False, may_leave=False)
    yield Stop(nearest, may_wait=True, may_leave=False)
