"""Routing table: the routes of a document as seen from one entry VM."""

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
    admits_backend,
    is_idempotent,
    matches_request,
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
    """Backend servers that may serve a call, and how it is handled.

    Routes are compared by identity. ``home_regions`` is ``None`` if the call
    is not restricted to regions. ``backends`` are the eligible servers of the
    own region, or of all regions if the own region has none.
    """

    service: Service
    home_regions: frozenset[str] | None
    idempotent: bool
    backends: tuple[BackendServer, ...]
    excluded: tuple[ExcludedBackend, ...]
    default_deadline_ms: int


class RoutingTable:
    """Computes and caches the routes of calls under one document."""

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
        """Return the route of a call, or the reason to refuse it."""
        cached = self._routes.get(facts)
        if cached is None:
            cached = self._compile(facts)
            if len(self._routes) >= _CACHED_ROUTES:
                self._routes.clear()
            self._routes[facts] = cached
        return cached

    def region_of(self, backend: BackendServer) -> str:
        """Return the region of a backend server."""
        return self._domains[backend.failure_domain].region

    def allowed_home_regions(
        self,
        facts: CallFacts,
    ) -> Result[frozenset[str] | None, RefusalReason]:
        """Return the home regions of a call, ``None`` if unrestricted.

        Unlike ``route``, this also works for calls that only other regions
        may serve. Fails if the service or the account is unknown.
        """
        if facts.service not in self._services:
            return Err(RefusalReason.UNKNOWN_SERVICE)
        account = self._account(facts)
        if account is None:
            return Err(RefusalReason.UNKNOWN_ACCOUNT)
        matching = self._matching_selectors(facts, account)
        return Ok(_home_regions(facts, account, matching))

    def _compile(self, facts: CallFacts) -> Result[Route, RefusalReason]:
        service = self._services.get(facts.service)
        if service is None:
            return Err(RefusalReason.UNKNOWN_SERVICE)
        account = self._account(facts)
        if account is None:
            return Err(RefusalReason.UNKNOWN_ACCOUNT)
        matching = self._matching_selectors(facts, account)
        allowed_regions = _home_regions(facts, account, matching)
        if (
            allowed_regions is not None
            and self._location.region not in allowed_regions
        ):
            return Err(RefusalReason.OUTSIDE_HOME_REGIONS)
        eligible, excluded = self._split_eligible(
            service, matching, allowed_regions
        )
        return Ok(
            Route(
                service=service,
                home_regions=allowed_regions,
                idempotent=is_idempotent(facts.method, matching),
                backends=self._prefer_own_region(eligible),
                excluded=excluded,
                default_deadline_ms=self.document.limits.default_deadline_ms,
            ),
        )

    def _account(self, facts: CallFacts) -> ClientAccount | None:
        account = self._accounts.get(facts.account)
        if account is None and self.document.allow_unknown_accounts:
            return ClientAccount(name=facts.account or 'unknown')
        return account

    def _matching_selectors(
        self,
        facts: CallFacts,
        account: ClientAccount,
    ) -> tuple[Selector, ...]:
        return tuple(
            selector
            for selector in self.document.selectors
            if matches_request(selector.requests, facts, account)
        )

    def _split_eligible(
        self,
        service: Service,
        matching: tuple[Selector, ...],
        allowed_regions: frozenset[str] | None,
    ) -> tuple[tuple[BackendServer, ...], tuple[ExcludedBackend, ...]]:
        eligible = []
        excluded = []
        for backend in self.document.backend_servers:
            if backend.service != service.name:
                continue
            found = self._exclusion(backend, matching, allowed_regions)
            if found is None:
                eligible.append(backend)
            else:
                excluded.append(found)
        return tuple(eligible), tuple(excluded)

    def _exclusion(
        self,
        backend: BackendServer,
        matching: tuple[Selector, ...],
        allowed_regions: frozenset[str] | None,
    ) -> ExcludedBackend | None:
        domain = self._domains[backend.failure_domain]
        if allowed_regions is not None and domain.region not in allowed_regions:
            return ExcludedBackend(backend, Exclusion.OUTSIDE_HOME_REGIONS)
        if domain.name in self.out_of_service_domains:
            return ExcludedBackend(backend, Exclusion.DOMAIN_OUT_OF_SERVICE)
        for selector in matching:
            if not admits_backend(selector, backend, domain):
                return ExcludedBackend(
                    backend,
                    Exclusion.SELECTOR,
                    selector.name,
                )
        return None

    def _prefer_own_region(
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
    region_sets = [frozenset(one.home_regions) for one in matching]
    region_sets.append(frozenset(account.home_regions))
    region_sets = [region_set for region_set in region_sets if region_set]
    if facts.requested_home_regions is not None:
        region_sets.append(facts.requested_home_regions)
    return frozenset.intersection(*region_sets) if region_sets else None
