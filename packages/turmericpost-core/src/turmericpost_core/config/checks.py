"""Checks across the parts of a document that has the right shape."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from turmericpost_core.config.document import (
    Document,
    FailureDomain,
    PlannedDeparture,
)
from turmericpost_core.config.errors import DocumentError, DocumentErrorKind


def find_errors(document: Document) -> tuple[DocumentError, ...]:
    """Return every cross-reference error of the document."""
    return (
        *_duplicates(document),
        *_unknown_references(document),
        *_unknown_regions(document),
        *_departure_errors(document),
        *_empty_services(document),
    )


def _duplicates(document: Document) -> Iterator[DocumentError]:
    names = {
        'failure_domains': (one.name for one in document.failure_domains),
        'services': (one.name for one in document.services),
        'client_accounts': (one.name for one in document.client_accounts),
        'selectors': (one.name for one in document.selectors),
        'backend_servers': (one.address for one in document.backend_servers),
    }
    for place, members in names.items():
        for name, count in Counter(members).items():
            if count > 1:
                yield DocumentError(
                    DocumentErrorKind.DUPLICATE,
                    place,
                    f'{name} stands {count} times',
                )


def _unknown_references(document: Document) -> Iterator[DocumentError]:
    domains = {domain.name for domain in document.failure_domains}
    services = {service.name for service in document.services}
    for index, backend in enumerate(document.backend_servers):
        place = f'backend_servers.{index}'
        if backend.service not in services:
            yield _unknown(f'{place}.service', backend.service)
        if backend.failure_domain not in domains:
            yield _unknown(f'{place}.failure_domain', backend.failure_domain)
    for position, selector in enumerate(document.selectors):
        named = selector.requests.service
        if named is not None and named not in services:
            yield _unknown(f'selectors.{position}.requests.service', named)


def _unknown_regions(document: Document) -> Iterator[DocumentError]:
    regions = {domain.region for domain in document.failure_domains}
    for index, account in enumerate(document.client_accounts):
        place = f'client_accounts.{index}.home_regions'
        yield from _outside(regions, place, account.home_regions)
    for position, selector in enumerate(document.selectors):
        place = f'selectors.{position}.home_regions'
        yield from _outside(regions, place, selector.home_regions)


def _outside(
    regions: set[str],
    place: str,
    named: Iterable[str],
) -> Iterator[DocumentError]:
    for region in named:
        if region not in regions:
            yield _unknown(place, region)


def _departure_errors(document: Document) -> Iterator[DocumentError]:
    for index, domain in enumerate(document.failure_domains):
        yield from _domain_departure_errors(f'failure_domains.{index}', domain)


def _domain_departure_errors(
    place: str,
    domain: FailureDomain,
) -> Iterator[DocumentError]:
    for index, departure in enumerate(domain.departures):
        where = f'{place}.departures.{index}'
        yield from _one_departure_errors(where, departure)


def _one_departure_errors(
    place: str,
    departure: PlannedDeparture,
) -> Iterator[DocumentError]:
    try:
        ZoneInfo(departure.time_zone)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        yield DocumentError(
            DocumentErrorKind.TIME_ZONE,
            f'{place}.time_zone',
            f'{departure.time_zone} is not a known time zone',
        )
    times = (departure.leaves_local, departure.returns_local)
    if any(time.tzinfo is not None for time in times):
        yield DocumentError(
            DocumentErrorKind.TIME_ZONE,
            place,
            'local times carry no offset; name the zone in time_zone',
        )
    elif departure.leaves_local >= departure.returns_local:
        yield DocumentError(
            DocumentErrorKind.ORDER,
            place,
            'returns_local is not after leaves_local',
        )


def _empty_services(document: Document) -> Iterator[DocumentError]:
    served = {backend.service for backend in document.backend_servers}
    for index, service in enumerate(document.services):
        if service.name not in served:
            yield DocumentError(
                DocumentErrorKind.EMPTY_SERVICE,
                f'services.{index}',
                f'{service.name} has no backend server',
            )


def _unknown(place: str, name: str) -> DocumentError:
    return DocumentError(
        DocumentErrorKind.UNKNOWN_REFERENCE,
        place,
        f'{name} is not defined',
    )
