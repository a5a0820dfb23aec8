"""Sample deployments: services, failure domains and the document to publish."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from turmericpost_core.config.document import (
    BackendServer,
    ClientAccount,
    Document,
    FailureDomain,
    Limits,
    RequestSelector,
    Selector,
    Service,
)

_LOOPBACK = '127.0.0.1'
_ANSWERS_VALID_S = 2


@dataclass(frozen=True)
class ServiceSpec:
    """A service: number of backend servers, and slots and speed of each."""

    name: str
    backend_count: int
    slots: int
    mean_service_ms: float


@dataclass(frozen=True)
class Deployment:
    """Services, failure domains and client accounts of a deployment.

    ``home_account`` is restricted to ``home_region``; ``account`` is not.
    """

    name: str
    time_zone: str
    failure_domains: tuple[FailureDomain, ...]
    services: tuple[ServiceSpec, ...]
    account: str
    home_account: str
    home_region: str


_EGYPT_SLOTS = 3
_QUEBEC_SLOTS = 4

EGYPT = Deployment(
    name='egypt',
    time_zone='Africa/Cairo',
    failure_domains=(
        FailureDomain(name='cairo-a', region='cairo'),
        FailureDomain(name='cairo-b', region='cairo'),
        FailureDomain(name='alexandria-a', region='alexandria'),
        FailureDomain(name='alexandria-b', region='alexandria'),
    ),
    services=(
        ServiceSpec('catalogue', 13, _EGYPT_SLOTS, 12),
        ServiceSpec('pressroom', 8, _EGYPT_SLOTS, 12),
        ServiceSpec('verses', 15, _EGYPT_SLOTS, 12),
    ),
    account='funeral-home',
    home_account='cairo-mosque',
    home_region='cairo',
)

QUEBEC = Deployment(
    name='quebec',
    time_zone='America/Toronto',
    failure_domains=(
        FailureDomain(name='montreal-a', region='montreal'),
        FailureDomain(name='montreal-b', region='montreal'),
        FailureDomain(name='quebec-city-a', region='quebec-city'),
        FailureDomain(name='quebec-city-b', region='quebec-city'),
    ),
    services=(
        ServiceSpec('fenetres', 10, _QUEBEC_SLOTS, 12),
        ServiceSpec('reservations', 8, _QUEBEC_SLOTS, 12),
        ServiceSpec('suivi', 15, _QUEBEC_SLOTS, 12),
    ),
    account='retailer',
    home_account='montreal-store',
    home_region='montreal',
)


def find_deployment(name: str) -> Deployment | None:
    """Return a deployment by name, ``None`` if there is none."""
    for deployment in (EGYPT, QUEBEC):
        if deployment.name == name:
            return deployment
    return None


def deployment_document(
    deployment: Deployment,
    ports: Mapping[str, Sequence[int]],
) -> Document:
    """Return the configuration for backend servers on the given loopback ports.

    ``ports`` has the ports of each service by its name.
    """
    return Document(
        failure_domains=deployment.failure_domains,
        services=tuple(
            Service(name=service.name, slots=service.slots)
            for service in deployment.services
        ),
        backend_servers=_backend_servers(deployment, ports),
        client_accounts=(
            ClientAccount(name=deployment.account),
            ClientAccount(
                name=deployment.home_account,
                home_regions=(deployment.home_region,),
            ),
        ),
        selectors=(
            Selector(
                name='proofs-go-to-proof-servers',
                requests=RequestSelector(path_prefix='/proof'),
                backend_labels={'use': 'proof'},
            ),
        ),
        limits=Limits(answers_valid_s=_ANSWERS_VALID_S),
        allow_unknown_accounts=True,
    )


def _backend_servers(
    deployment: Deployment,
    ports: Mapping[str, Sequence[int]],
) -> tuple[BackendServer, ...]:
    domains = deployment.failure_domains
    return tuple(
        BackendServer(
            host=_LOOPBACK,
            port=port,
            service=service.name,
            failure_domain=domains[index % len(domains)].name,
            labels={'use': 'proof'} if index == 0 else {'use': 'live'},
        )
        for service in deployment.services
        for index, port in enumerate(ports[service.name])
    )
