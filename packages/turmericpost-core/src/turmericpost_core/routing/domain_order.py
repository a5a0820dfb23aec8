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
    allowed = {
        domain: domain_regions.get(domain, '')
        for domain in sorted(slots)
        if slots[domain] and route.may_serve(domain_regions.get(domain, ''))
    }
    own_region = domain_regions.get(own_domain)
    others = [domain for domain in allowed if domain != own_domain]
    near = [domain for domain in others if allowed[domain] == own_region]
    far = [domain for domain in others if allowed[domain] != own_region]
    order = (*_rotated(near, slots, point), *_rotated(far, slots, point))
    return (own_domain, *order) if own_domain in allowed else order


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
