"""Order in which a call tries the failure domains."""

from __future__ import annotations

from collections.abc import Mapping

from turmericpost_core.fleet.operator_config import OperatorRoute


def domain_order(
    route: OperatorRoute,
    slots: Mapping[str, int],
    domain_regions: Mapping[str, str],
    own_domain: str,
    position: float,
) -> tuple[str, ...]:
    """Return the domains that may serve a call, the nearest first.

    The own domain comes first, then the own region, then other regions.
    ``slots`` maps domains to their slots of the service. ``position``, a
    random number from 0 to 1, selects the first domain of each region group
    in proportion to the slots, so that calls spread over the domains.
    """
    allowed = {
        domain: domain_regions.get(domain, '')
        for domain in sorted(slots)
        if slots[domain] and route.may_serve(domain_regions.get(domain, ''))
    }
    own_region = domain_regions.get(own_domain)
    others = [domain for domain in allowed if domain != own_domain]
    same_region = [domain for domain in others if allowed[domain] == own_region]
    other_regions = [
        domain for domain in others if allowed[domain] != own_region
    ]
    order = (
        *_rotate_to(same_region, slots, position),
        *_rotate_to(other_regions, slots, position),
    )
    return (own_domain, *order) if own_domain in allowed else order


def _rotate_to(
    domains: list[str],
    slots: Mapping[str, int],
    position: float,
) -> tuple[str, ...]:
    remaining_slots = position * sum(slots[domain] for domain in domains)
    for index, domain in enumerate(domains):
        remaining_slots -= slots[domain]
        if remaining_slots < 0:
            return (*domains[index:], *domains[:index])
    return tuple(domains)
