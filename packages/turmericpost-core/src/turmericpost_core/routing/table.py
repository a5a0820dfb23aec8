"""Routing table: a document compiled for one entry VM's decisions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from turmericpost_core.config.document import (
    BackendServer,
    ClientAccount,
    Document,
    Selector,
    Service,
)
from turmericpost_core.outcome.reasons import RefusalReason
from turmericpost_core.routing.facts import CallFacts, Location
from turmericpost_core.routing.selectors import (
    is_idempotent,
    matches_request,
    permits,
)

_CACHED_ROUTES = 4096


class Exclusion(Enum):
    """Why a backend server may not serve a call."""

    SELECTOR = 'selector'
    DOMAIN_OUT_OF_SERVICE = 'failure-domain-out-of-service'
    OUTSIDE_HOME_REGIONS = 'outside-home-regions'


@dataclass(frozen=True)
class ExcludedBackend:
    """A backend server that may not serve a call, and why."""

    backend: BackendServer
    exclusion: Exclusion
    selector: str | None = None


@dataclass(frozen=True, eq=False)
class Route:
    """Where a call may go and how it is treated.

    Two routes are equal only if they are one. ``home_regions`` is ``None``
    when nothing binds the call to regions. ``backends`` are the eligible ones of the nearest region that has any.
    """

    service: Service
    home_regions: frozenset[str] | None
    idempotent: bool
    backends: tuple[BackendServer, ...]
    excluded: tuple[ExcludedBackend, ...]
    default_deadline_ms: int


class RoutingTable:
    """Answers which backend servers may serve a call under one document."""

    def __init__(
        self,
        document: Document,
        location: Location,
        out_of_service_domains: frozenset[str],
    ) -> None:
        self.document = document
        self.out_of_service_domains = out_of_service_domains
        self._location = location
        self._domains = {one.name: one for one in document.failure_domains}
        self._services = {one.name: one for one in document.services}
        self._accounts = {one.name: one for one in document.client_accounts}
        self._routes: dict[CallFacts, Result[Route, RefusalReason]] = {}

    def route(self, facts: CallFacts) -> Result[Route, RefusalReason]:
        """Return the route of a call, or why it has none."""
        known = self._routes.get(facts)
        if known is None:
            known = self._compile(facts)
            if len(self._routes) >= _CACHED_ROUTES:
                self._routes.clear()
            self._routes[facts] = known
        return known

    def region_of(self, backend: BackendServer) -> str:
        """Return the region a backend server stands in."""
        return self._domains[backend.failure_domain].region

    def allowed_home_regions(
        self,
        facts: CallFacts,
    ) -> Result[frozenset[str] | None, RefusalReason]:
        """Return the home regions of an admissible call, ``None`` if free.

        Unlike ``route`` this holds for calls that other regions may serve.
        """
        if facts.service not in self._services:
            return Err(RefusalReason.UNKNOWN_SERVICE)
        account = self._account(facts)
        if account is None:
            return Err(RefusalReason.UNKNOWN_ACCOUNT)
        matching = self._matching(facts, account)
        return Ok(_home_regions(facts, account, matching))

    def _compile(self, facts: CallFacts) -> Result[Route, RefusalReason]:
        service = self._services.get(facts.service)
        if service is None:
            return Err(RefusalReason.UNKNOWN_SERVICE)
        account = self._account(facts)
        if account is None:
            return Err(RefusalReason.UNKNOWN_ACCOUNT)
        matching = self._matching(facts, account)
        home = _home_regions(facts, account, matching)
        if home is not None and self._location.region not in home:
            return Err(RefusalReason.OUTSIDE_HOME_REGIONS)
        eligible, excluded = self._split(service, matching, home)
        return Ok(
            Route(
                service=service,
                home_regions=home,
                idempotent=is_idempotent(facts.method, matching),
                backends=self._nearest(eligible),
                excluded=excluded,
                default_deadline_ms=self.document.limits.default_deadline_ms,
            ),
        )

    def _account(self, facts: CallFacts) -> ClientAccount | None:
        account = self._accounts.get(facts.account)
        if account is None and self.document.allow_unknown_accounts:
            return ClientAccount(name=facts.account or 'unknown')
        return account

    def _matching(
        self,
        facts: CallFacts,
        account: ClientAccount,
    ) -> tuple[Selector, ...]:
        return tuple(
            selector
            for selector in self.document.selectors
            if matches_request(selector.requests, facts, account)
        )

    def _split(
        self,
        service: Service,
        matching: tuple[Selector, ...],
        home: frozenset[str] | None,
    ) -> tuple[tuple[BackendServer, ...], tuple[ExcludedBackend, ...]]:
        eligible = []
        excluded = []
        for backend in self.document.backend_servers:
            if backend.service != service.name:
                continue
            found = self._exclusion(backend, matching, home)
            if found is None:
                eligible.append(backend)
            else:
                excluded.append(found)
        return tuple(eligible), tuple(excluded)

    def _exclusion(
        self,
        backend: BackendServer,
        matching: tuple[Selector, ...],
        home: frozenset[str] | None,
    ) -> ExcludedBackend | None:
        domain = self._domains[backend.failure_domain]
        if home is not None and domain.region not in home:
            return ExcludedBackend(backend, Exclusion.OUTSIDE_HOME_REGIONS)
        if domain.name in self.out_of_service_domains:
            return ExcludedBackend(backend, Exclusion.DOMAIN_OUT_OF_SERVICE)
        for selector in matching:
            if not permits(selector, backend, domain):
                return ExcludedBackend(
                    backend,
                    Exclusion.SELECTOR,
                    selector.name,
                )
        return None

    def _nearest(
        self,
        eligible: tuple[BackendServer, ...],
    ) -> tuple[BackendServer, ...]:
        own_region = tuple(
            backend
            for backend in eligible
            if self.region_of(backend) == self._location.region
        )
        return own_region or eligible


def _home_regions(
    facts: CallFacts,
    account: ClientAccount,
    matching: Iterable[Selector],
) -> frozenset[str] | None:
    bounds = [frozenset(one.home_regions) for one in matching]
    bounds.append(frozenset(account.home_regions))
    bounds = [bound for bound in bounds if bound]
    if facts.requested_home_regions is not None:
        bounds.append(facts.requested_home_regions)
    return frozenset.intersection(*bounds) if bounds else None
