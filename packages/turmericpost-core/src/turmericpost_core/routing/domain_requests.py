"""Sequence of permit requests that a call sends to the failure domains."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DomainRequest:
    """A permit request to one failure domain.

    ``may_wait`` allows the broker to queue the request, ``may_redirect`` to
    refer it to another failure domain.
    """

    failure_domain: str
    may_wait: bool
    may_redirect: bool


def domain_requests(domains: tuple[str, ...]) -> Iterator[DomainRequest]:
    """Yield the permit requests of a call in order.

    ``domains`` lists the nearest domain first. The first request goes to the
    nearest domain, which may redirect the call. The next ones ask the other
    domains for a slot that is free now. The last one waits at the nearest
    domain.
    """
    if not domains:
        return
    nearest = domains[0]
    if len(domains) > 1:
        yield DomainRequest(nearest, may_wait=True, may_redirect=True)
        for domain in domains[1:]:
            yield DomainRequest(domain, may_wait=False, may_redirect=False)
    yield DomainRequest(nearest, may_wait=True, may_redirect=False)
