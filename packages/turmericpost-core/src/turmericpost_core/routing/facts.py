"""Routing inputs: properties of a call and the location of an entry VM."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallFacts:
    """Properties of a call that its route depends on.

    ``requested_home_regions`` is ``None`` if the caller requested none.
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
