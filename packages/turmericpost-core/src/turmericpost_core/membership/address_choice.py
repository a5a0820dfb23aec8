"""Choice of the entry VM addresses that a caller gets."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from turmericpost_core.fleet.operator_config import OperatorRoute
from turmericpost_core.membership.demand import MIN_HOME_WORK_SHARE
from turmericpost_core.membership.domain_view import DomainView, Vm

MAX_ADDRESSES = 64
"""Maximum number of addresses that callers accept in one response."""


def allowed_regions(
    routes: Iterable[OperatorRoute],
    regions: frozenset[str],
    work_s: Mapping[str, float],
) -> frozenset[str]:
    """Return the regions whose entry VMs may serve a host.

    A region is allowed if it may serve at least ``MIN_HOME_WORK_SHARE`` of
    the recent work of the host's routes with home regions. Weighting by work
    keeps an unused route from excluding regions for the others. Without any
    recorded work a region must be allowed on every route.
    """
    restricted = [route for route in routes if route.home_regions]
    total_s = sum(work_s.get(route.name, 0) for route in restricted)
    return frozenset(
        region
        for region in regions
        if _may_serve_host(restricted, region, work_s, total_s)
    )


def _may_serve_host(
    restricted: list[OperatorRoute],
    region: str,
    work_s: Mapping[str, float],
    total_s: float,
) -> bool:
    if not total_s:
        return all(route.may_serve(region) for route in restricted)
    allowed_s = sum(
        work_s.get(route.name, 0)
        for route in restricted
        if route.may_serve(region)
    )
    return allowed_s >= MIN_HOME_WORK_SHARE * total_s


def choose_vms(
    view: DomainView,
    domain_regions: Mapping[str, str],
    failure_domain: str,
    allowed: frozenset[str],
    now_s: float,
) -> tuple[Vm, ...]:
    """Return the ready VMs of the caller's domain, or the nearest others.

    The order is the caller's failure domain, other domains of its region,
    then domains of other regions, each only in ``allowed`` regions. If no VM
    is found there, the caller's own domain is used even if its region is not
    allowed.
    """
    region = domain_regions.get(failure_domain, '')
    own_domain = [failure_domain] if region in allowed else []
    same_region_domains = [
        domain
        for domain, domain_region in sorted(domain_regions.items())
        if domain_region == region
        and domain_region in allowed
        and domain != failure_domain
    ]
    other_region_domains = [
        domain
        for domain, domain_region in sorted(domain_regions.items())
        if domain_region in allowed and domain_region != region
    ]
    for domains in (
        own_domain,
        same_region_domains,
        other_region_domains,
        [failure_domain],
    ):
        found = [vm for domain in domains for vm in view.ready(domain, now_s)]
        if found:
            return tuple(found[:MAX_ADDRESSES])
    return ()
