"""The configuration document: what operators publish."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum
from functools import cached_property
from typing import Annotated, ClassVar, TypeAlias

from pydantic import ConfigDict, Field, StringConstraints

_STRICT = ConfigDict(extra='forbid')
_MAX_SLOTS = 10_000
_HIGHEST_PORT = 65535
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
    """What a selector does to the backend servers it names."""

    ALLOW = 'allow'
    DENY = 'deny'


@dataclass(frozen=True)
class PlannedDeparture:
    """A failure domain out of service between two local times."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    leaves_local: LocalTime
    returns_local: LocalTime
    time_zone: str


@dataclass(frozen=True)
class FailureDomain:
    """A group of VMs that can fail or leave together."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    name: Name
    region: Name
    labels: Labels = field(default_factory=dict)
    out_of_service: bool = False
    departures: tuple[PlannedDeparture, ...] = ()


@dataclass(frozen=True)
class Service:
    """A service: what each of its backend servers can take at once."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    name: Name
    slots: Slots
    cold_slots: Slots = 1
    queue_per_slot: Annotated[int, Field(ge=0, le=_MAX_SLOTS)] = 20


@dataclass(frozen=True)
class BackendServer:
    """A backend server of one service."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    host: str
    port: Annotated[int, Field(ge=1, le=_HIGHEST_PORT)]
    service: Name
    failure_domain: Name
    labels: Labels = field(default_factory=dict)

    @cached_property
    def address(self) -> str:
        """``host:port``, the identity of the backend server."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True)
class ClientAccount:
    """A client account: its labels and the regions it must stay in."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    name: Name
    home_regions: tuple[Name, ...] = ()
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True)
class RequestSelector:
    """Which requests a selector is about; an empty field matches all."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    service: Name | None = None
    methods: tuple[str, ...] = ()
    path_prefix: str = '/'
    account_labels: Labels = field(default_factory=dict)


@dataclass(frozen=True)
class Selector:
    """Where the requests it is about may go, and how they are treated.

    ``deny`` takes away the backend servers whose labels match. ``allow``
    takes away those whose labels do not match.
    """

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    name: Name
    requests: RequestSelector = field(default_factory=RequestSelector)
    effect: Effect = Effect.ALLOW
    backend_labels: Labels = field(default_factory=dict)
    failure_domain_labels: Labels = field(default_factory=dict)
    home_regions: tuple[Name, ...] = ()
    idempotent: bool | None = None


@dataclass(frozen=True)
class Limits:
    """Limits and budgets that hold for every entry VM."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    default_deadline_ms: Annotated[int, Field(ge=1)] = 10_000
    retry_ratio: Annotated[float, Field(ge=0, le=1)] = 0.1
    retry_burst: Annotated[int, Field(ge=1)] = 20
    answers_valid_s: Annotated[int, Field(ge=1)] = 10
    owners_per_service: Annotated[int, Field(ge=1)] = 2


@dataclass(frozen=True)
class Document:
    """One whole configuration."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    failure_domains: tuple[FailureDomain, ...]
    services: tuple[Service, ...]
    backend_servers: tuple[BackendServer, ...]
    client_accounts: tuple[ClientAccount, ...] = ()
    selectors: tuple[Selector, ...] = ()
    limits: Limits = field(default_factory=Limits)
    allow_unknown_accounts: bool = False
