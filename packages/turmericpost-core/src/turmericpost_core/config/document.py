"""Data classes of the configuration document that operators publish."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum
from functools import cached_property
from typing import Annotated, ClassVar, TypeAlias

from pydantic import ConfigDict, Field, StringConstraints

_FORBID_UNKNOWN_FIELDS = ConfigDict(extra='forbid')
_MAX_SLOTS = 10_000
_MAX_PORT = 65535
_MAX_NAME_LENGTH = 63

Name: TypeAlias = Annotated[
    str,
    StringConstraints(
        pattern='^[a-z0-9]([a-z0-9-]*[a-z0-9])?$',
        max_length=_MAX_NAME_LENGTH,
    ),
]
Labels: TypeAlias = dict[Name, str]
LocalTime: TypeAlias = datetime
Slots: TypeAlias = Annotated[int, Field(ge=1, le=_MAX_SLOTS)]


class Effect(Enum):
    """Whether a selector permits or excludes the matching backend servers."""

    ALLOW = 'allow'
    DENY = 'deny'


@dataclass(frozen=True)
class PlannedDeparture:
    """Period in local time when a failure domain will be out of service."""

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_FIELDS

    leaves_local: LocalTime
    returns_local: LocalTime
    time_zone: str


@dataclass(frozen=True)
class FailureDomain:
    """Group of VMs that can fail or be taken out of service together."""

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_FIELDS

    name: Name
    region: Name
    labels: Labels = field(default_factory=dict)
    out_of_service: bool = False
    departures: tuple[PlannedDeparture, ...] = ()


@dataclass(frozen=True)
class Service:
    """Service and the capacity of each of its backend servers.

    ``slots`` is the number of concurrent calls, ``cold_slots`` the number
    while the server is cold.
    """

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_FIELDS

    name: Name
    slots: Slots
    cold_slots: Slots = 1
    queue_per_slot: Annotated[int, Field(ge=0, le=_MAX_SLOTS)] = 20


@dataclass(frozen=True)
class BackendServer:
    """Backend server; each serves exactly one service."""

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_FIELDS

    host: str
    port: Annotated[int, Field(ge=1, le=_MAX_PORT)]
    service: Name
    failure_domain: Name
    labels: Labels = field(default_factory=dict)

    @cached_property
    def address(self) -> str:
        """``host:port``, which identifies the backend server."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True)
class ClientAccount:
    """Client account and its home regions.

    Only backend servers in the home regions may serve its calls; with none
    listed, any region may.
    """

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_FIELDS

    name: Name
    home_regions: tuple[Name, ...] = ()
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True)
class RequestSelector:
    """Conditions that a request must meet for a selector to apply.

    An empty field matches every request.
    """

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_FIELDS

    service: Name | None = None
    methods: tuple[str, ...] = ()
    path_prefix: str = '/'
    account_labels: Labels = field(default_factory=dict)


@dataclass(frozen=True)
class Selector:
    """Rule that restricts where matching requests may be served.

    ``deny`` excludes the backend servers whose labels match, ``allow`` those
    whose labels do not match; without labels none is excluded.
    ``idempotent`` overrides whether the requests count as idempotent.
    """

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_FIELDS

    name: Name
    requests: RequestSelector = field(default_factory=RequestSelector)
    effect: Effect = Effect.ALLOW
    backend_labels: Labels = field(default_factory=dict)
    failure_domain_labels: Labels = field(default_factory=dict)
    home_regions: tuple[Name, ...] = ()
    idempotent: bool | None = None


@dataclass(frozen=True)
class Limits:
    """Limits and budgets that apply to every entry VM.

    Each call adds ``retry_ratio`` tokens to the retry budget, which holds up
    to ``retry_burst``. Callers may reuse the entry VM addresses that they got
    for ``answers_valid_s`` seconds. ``owners_per_service`` entry VMs of each
    region forward the calls of a service.
    """

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_FIELDS

    default_deadline_ms: Annotated[int, Field(ge=1)] = 10_000
    retry_ratio: Annotated[float, Field(ge=0, le=1)] = 0.1
    retry_burst: Annotated[int, Field(ge=1)] = 20
    answers_valid_s: Annotated[int, Field(ge=1)] = 10
    owners_per_service: Annotated[int, Field(ge=1)] = 2


@dataclass(frozen=True)
class Document:
    """Complete configuration of a deployment."""

    __pydantic_config__: ClassVar[ConfigDict] = _FORBID_UNKNOWN_FIELDS

    failure_domains: tuple[FailureDomain, ...]
    services: tuple[Service, ...]
    backend_servers: tuple[BackendServer, ...]
    client_accounts: tuple[ClientAccount, ...] = ()
    selectors: tuple[Selector, ...] = ()
    limits: Limits = field(default_factory=Limits)
    allow_unknown_accounts: bool = False
