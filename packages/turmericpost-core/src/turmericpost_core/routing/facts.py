"""What routing knows of a call and of the entry VM that routes it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallFacts:
    """A call as its caller described it.

    ``asked_home_regions`` is ``None`` when the caller named none.
    """

    service: str
    account: str
    method: str
    path: str
    requested_home_regions: frozenset[str] | None = None


@dataclass(frozen=True)
class Location:
    """Failure domain and region of an entry VM."""

    failure_domain: str
    region: str
