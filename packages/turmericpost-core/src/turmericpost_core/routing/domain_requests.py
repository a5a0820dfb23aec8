"""Where a call asks for a permit, one failure domain after the other."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DomainRequest:
    """One ask: whether it may queue there, and may be sent elsewhere."""

    failure_domain: str
    may_wait: bool
    may_redirect: bool


def domain_requests(domains: tuple[str, ...]) -> Iterator[DomainRequest]:
    """Yield the asks of a call.

    The nearest domain comes first and may answer that another would be
    quicker. The others take the call only if they have room now. Then the
    call waits at the nearest.
    """
    if not domains:
        return
    nearest = domains[0]
    if len(domains) > 1:
        yield DomainRequest(nearest, may_wait=True, may_redirect=True)
        for domain in domains[1:]:
            yield DomainRequest(domain, may_wait=False, may_redirect=False)
    yield DomainRequest(nearest, may_wait=True, may_redirect=False)
