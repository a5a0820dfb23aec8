"""Semantic checks of a configuration document with valid field types.

They cover names, references between parts and planned departures.
"""

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
    """Return every semantic error of the document, an empty tuple if valid."""
    return (
        *_duplicates(document),
        *_unknown_references(document),
        *_unknown_regions(document),
        *_all_departure_errors(document),
        *_empty_services(document),
    )


def _duplicates(document: Document) -> Iterator[DocumentError]:
    names = {
        'failure_domains': (entry.name for entry in document.failure_domains),
        'services': (entry.name for entry in document.services),
        'client_accounts': (entry.name for entry in document.client_accounts),
        'selectors': (entry.name for entry in document.selectors),
        'backend_servers': (
            entry.address for entry in document.backend_servers
        ),
    }
    for location, members in names.items():
        for name, count in Counter(members).items():
            if count > 1:
                yield DocumentError(
                    DocumentErrorKind.DUPLICATE,
                    location,
                    f'{name} stands {count} times',
                )


def _unknown_references(document: Document) -> Iterator[DocumentError]:
    domains = {domain.name for domain in document.failure_domains}
    services = {service.name for service in document.services}
    for index, backend in enumerate(document.backend_servers):
        location = f'backend_servers.{index}'
        if backend.service not in services:
            yield _unknown_reference(f'{location}.service', backend.service)
        if backend.failure_domain not in domains:
            yield _unknown_reference(
                f'{location}.failure_domain', backend.failure_domain
            )
    for position, selector in enumerate(document.selectors):
        service_name = selector.requests.service
        if service_name is not None and service_name not in services:
            yield _unknown_reference(
                f'selectors.{position}.requests.service', service_name
            )


def _unknown_regions(document: Document) -> Iterator[DocumentError]:
    regions = {domain.region for domain in document.failure_domains}
    for index, account in enumerate(document.client_accounts):
        location = f'client_accounts.{index}.home_regions'
        yield from _unknown_home_regions(
            regions, location, account.home_regions
        )
    for position, selector in enumerate(document.selectors):
        location = f'selectors.{position}.home_regions'
        yield from _unknown_home_regions(
            regions, location, selector.home_regions
        )


def _unknown_home_regions(
    regions: set[str],
    location: str,
    region_names: Iterable[str],
) -> Iterator[DocumentError]:
    for region in region_names:
        if region not in regions:
            yield _unknown_reference(location, region)


def _all_departure_errors(document: Document) -> Iterator[DocumentError]:
    for index, domain in enumerate(document.failure_domains):
        yield from _departure_errors_of_domain(
            f'failure_domains.{index}', domain
        )


def _departure_errors_of_domain(
    location: str,
    domain: FailureDomain,
) -> Iterator[DocumentError]:
    for index, departure in enumerate(domain.departures):
        departure_location = f'{location}.departures.{index}'
        yield from _planned_departure_errors(departure_location, departure)


def _planned_departure_errors(
    location: str,
    departure: PlannedDeparture,
) -> Iterator[DocumentError]:
    try:
        ZoneInfo(departure.time_zone)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        yield DocumentError(
            DocumentErrorKind.TIME_ZONE,
            f'{location}.time_zone',
            f'{departure.time_zone} is not a known time zone',
        )
    times = (departure.leaves_local, departure.returns_local)
    if any(time.tzinfo is not None for time in times):
        yield DocumentError(
            DocumentErrorKind.TIME_ZONE,
            location,
            'local times carry no offset; name the zone in time_zone',
        )
    elif departure.leaves_local >= departure.returns_local:
        yield DocumentError(
            DocumentErrorKind.ORDER,
            location,
            'returns_local is not after leaves_local',
        )


def _empty_services(document: Document) -> Iterator[DocumentError]:
    services_with_backends = {
        backend.service for backend in document.backend_servers
    }
    for index, service in enumerate(document.services):
        if service.name not in services_with_backends:
            yield DocumentError(
                DocumentErrorKind.EMPTY_SERVICE,
                f'services.{index}',
                f'{service.name} has no backend server',
            )


def _unknown_reference(location: str, name: str) -> DocumentError:
    return DocumentError(
        DocumentErrorKind.UNKNOWN_REFERENCE,
        location,
        f'{name} is not defined',
    )
