"""Which entry VMs a caller is told to connect to."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from turmericpost_core.fleet.operator_config import OperatorRoute
from turmericpost_core.membership.domain_view import DomainView, Vm

MOST_ADDRESSES = 64
"""Most addresses that callers take from one answer."""


def allowed_regions(
    routes: Iterable[OperatorRoute],
    regions: frozenset[str],
) -> frozenset[str]:
    """Return the regions that may serve every route of a host."""
    allowed = regions
    for route in routes:
        if route.home_regions:
            allowed &= route.home_regions
    return allowed


def choose_vms(
    view: DomainView,
    domain_regions: Mapping[str, str],
    failure_domain: str,
    allowed: frozenset[str],
    now_s: float,
) -> tuple[Vm, ...]:
    """Return the ready VMs of the caller's domain, or the nearest others.

    Domains whose region may not serve the host come only when the caller
    stands there and no other VM is known.
    """
    region = domain_regions.get(failure_domain, '')
    near = [failure_domain] if region in allowed else []
    same = [
        domain
        for domain, where in sorted(domain_regions.items())
        if where == region and where in allowed and domain != failure_domain
    ]
    other = [
        domain
        for domain, where in sorted(domain_regions.items())
        if where in allowed and where != region
    ]
    for domains in (near, same, other, [failure_domain]):
        found = [vm for domain in domains for vm in view.ready(domain, now_s)]
        if found:
            return tuple(found[:MOST_ADDRESSES])
    return ()
