"""Interface to the store operations that entry VMs use, and their results."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from result import Result

from turmericpost.store.errors import StoreError
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.state import OperatorChange
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.membership.domain_view import Vm


@dataclass(frozen=True, slots=True)
class InvalidRecord:
    """A record that cannot be decoded; ``detail`` is the reason."""

    offset: StorePosition
    key: str
    detail: str


@dataclass(frozen=True)
class Registrations:
    """Registry records from one read, and the position of the next read.

    ``records`` contains a removal for each invalid record: the servers that it
    or an earlier record of its key names are not to be used. ``end_offset`` is
    larger than ``next_offset`` if the read left out newer records.
    """

    records: tuple[Registration, ...]
    invalid: tuple[InvalidRecord, ...]
    next_offset: StorePosition
    end_offset: StorePosition

    @property
    def is_complete(self) -> bool:
        """Whether the read returned the newest records, too."""
        return self.next_offset >= self.end_offset


@dataclass(frozen=True)
class OperatorRecords:
    """Operator records from one read, and the position of the next read.

    ``end_offset`` is larger than ``next_offset`` if the read left out newer
    records.
    """

    records: tuple[OperatorChange, ...]
    invalid: tuple[InvalidRecord, ...]
    next_offset: StorePosition
    end_offset: StorePosition

    @property
    def is_complete(self) -> bool:
        """Whether the read returned the newest records, too."""
        return self.next_offset >= self.end_offset


@dataclass(frozen=True, slots=True)
class StoreOperationOutcome:
    """A store operation and its outcome: ``ok`` or the kind of failure."""

    operation: str
    outcome: str


class FleetStore(Protocol):
    """Interface to the platform's store, as entry VMs use it."""

    def on_era(self, listener: Callable[[int], None]) -> None:
        """Call ``listener`` with the era of the store in each response.

        The era rises when the store returns from an older copy. Responses that
        do not state it are left out.
        """

    async def list_backends(self) -> Result[Registrations, StoreError]:
        """Return the latest registration of every backend server."""

    async def read_backends(
        self,
        begin: StorePosition,
    ) -> Result[Registrations, StoreError]:
        """Return the registry records from a position on, without waiting.

        The error is ``OTHER_ERA`` if the store has returned from a copy since.
        """

    async def list_operator(self) -> Result[OperatorRecords, StoreError]:
        """Return the records of the current configuration and evacuations."""

    async def watch_operator(
        self,
        begin: StorePosition,
        wait_s: float,
    ) -> Result[OperatorRecords, StoreError]:
        """Return operator records from a position on.

        Waits up to ``wait_s`` seconds for the first record. The error is
        ``OTHER_ERA`` if the store has returned from a copy since.
        """

    def stop_watching(self) -> None:
        """End the wait of the current ``watch_operator`` call."""

    async def announce(self, vm: Vm) -> Result[None, StoreError]:
        """Write the addresses of this VM to the store."""

    async def list_vms(self) -> Result[tuple[Vm, ...], StoreError]:
        """Return every VM that has announced itself in the store."""

    @property
    def outcomes(self) -> Mapping[StoreOperationOutcome, int]:
        """Number of store operations so far, by operation and outcome."""
