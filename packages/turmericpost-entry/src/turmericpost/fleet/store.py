"""The platform's store as the product uses it: logs and newest records."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from result import Result

from turmericpost.store.errors import StoreError
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.state import OperatorChange
from turmericpost_core.membership.domain_view import Vm


@dataclass(frozen=True, slots=True)
class InvalidRecord:
    """A record that can't be used, and why."""

    offset: int
    key: str
    detail: str


@dataclass(frozen=True)
class Registrations:
    """Records of the registry, and the offset to go on from."""

    records: tuple[Registration, ...]
    invalid: tuple[InvalidRecord, ...]
    next_offset: int


@dataclass(frozen=True)
class OperatorRecords:
    """Records of the operator, and the offset to go on from."""

    records: tuple[OperatorChange, ...]
    invalid: tuple[InvalidRecord, ...]
    next_offset: int


@dataclass(frozen=True, slots=True)
class StoreOperationOutcome:
    """A kind of call of the store and how it ended: ok, or why it failed."""

    operation: str
    outcome: str


class FleetStore(Protocol):
    """What the entry VMs read from and write to the store."""

    async def list_backends(self) -> Result[Registrations, StoreError]:
        """Return the newest registration of every backend server."""

    async def read_backends(
        self,
        from_offset: int,
    ) -> Result[Registrations, StoreError]:
        """Return the registrations from an offset on, at once."""

    async def list_operator(self) -> Result[OperatorRecords, StoreError]:
        """Return the configuration and the evacuations in force."""

    async def watch_operator(
        self,
        from_offset: int,
    ) -> Result[OperatorRecords, StoreError]:
        """Wait for records of the operator from an offset on."""

    def stop_watching(self) -> None:
        """End the wait for records of the operator."""

    async def announce(self, vm: Vm) -> Result[None, StoreError]:
        """Write where this VM is to be found."""

    async def list_vms(self) -> Result[tuple[Vm, ...], StoreError]:
        """Return every VM that announced itself."""

    @property
    def outcomes(self) -> Mapping[StoreOperationOutcome, int]:
        """Calls made so far."""
