"""Which entry VMs a caller is told to connect to."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from turmericpost_core.fleet.operator_config import OperatorRoute
from turmericpost_core.membership.demand import HOME_SHARE
from turmericpost_core.membership.domain_view import DomainView, Vm

MOST_ADDRESSES = 64
"""Most addresses that callers take from one answer."""


def allowed_regions(
    routes: Iterable[OperatorRoute],
    regions: frozenset[str],
    work_s: Mapping[str, float],
) -> frozenset[str]:
    """Return the regions that may serve the work of a host.

    Routes with home regions count by the work their calls need, so that one
    that nobody calls does not bind the others. Before any call is known
    only the regions that may serve every route are returned.
    """
    bound = [route for route in routes if route.home_regions]
    total_s = sum(work_s.get(route.name, 0) for route in bound)
    return frozenset(
        region for region in regions if _serves(bound, region, work_s, total_s)
    )


def _serves(
    bound: list[OperatorRoute],
    region: str,
    work_s: Mapping[str, float],
    total_s: float,
) -> bool:
    if not total_s:
        return all(route.may_serve(region) for route in bound)
    allowed_s = sum(
        work_s.get(route.name, 0) for route in bound if route.may_serve(region)
    )
    return allowed_s >= HOME_SHARE * total_s


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
