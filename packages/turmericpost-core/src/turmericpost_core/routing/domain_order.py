"""In which order a call tries the failure domains."""

from __future__ import annotations

from collections.abc import Mapping

from turmericpost_core.fleet.operator_config import OperatorRoute


def domain_order(
    route: OperatorRoute,
    slots: Mapping[str, int],
    domain_regions: Mapping[str, str],
    own_domain: str,
    point: float,
) -> tuple[str, ...]:
    """Return the domains with servers for a call, the nearest first.

    ``slots`` holds the slots of the service in each domain that has any.
    Domains of one region begin at ``point``, between 0 and 1, of their
    slots, so that calls from elsewhere spread.
    """
    own_region = domain_regions.get(own_domain)
    near: list[str] = []
    far: list[str] = []
    for domain in sorted(slots):
        region = domain_regions.get(domain, '')
        if not slots[domain] or not route.may_serve(region):
            continue
        if domain != own_domain:
            (near if region == own_region else far).append(domain)
    order = (*_rotated(near, slots, point), *_rotated(far, slots, point))
    if slots.get(own_domain) and route.may_serve(own_region or ''):
        return (own_domain, *order)
    return order


def _rotated(
    domains: list[str],
    slots: Mapping[str, int],
    point: float,
) -> tuple[str, ...]:
    left = point * sum(slots[domain] for domain in domains)
    for place, domain in enumerate(domains):
        left -= slots[domain]
        if left < 0:
            return (*domains[place:], *domains[:place])
    return tuple(domains)
