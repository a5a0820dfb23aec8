"""Seeded histories of VMs that read removals in different orders.

Servers leave, and some register again. VMs read the registry as records or as
a listing, with and without a grace time, restart, and exchange versions and
updates as state sync does. At the end one VM reads, and all exchange.
"""

from __future__ import annotations

from itertools import permutations
from random import Random

from tests.grants.samples import backend
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.directory import (
    REREGISTRATION_GRACE_S,
    BackendDirectory,
    UpdateOutcome,
)
from turmericpost_core.fleet.store_position import StorePosition

VMS = 4
SERVERS = 5
STEPS = 120
STEP_S = 0.1
SETTLE_ROUNDS = 4


class RemovalHistory:
    """One history, determined by its seed."""

    def __init__(self, seed: int) -> None:
        self.directories = [BackendDirectory() for _ in range(VMS)]
        self._random = Random(seed)
        self._now_s = float(0)
        self._records = [
            Registration(number, f'b{number}', backend(number))
            for number in range(SERVERS)
        ]

    def run(self) -> RemovalHistory:
        """Play the history, then let the VMs settle."""
        steps = (
            (self._write, 3),
            (self._read, 4),
            (self._list, 1),
            (self._exchange, 8),
            (self._begin_grace, 2),
            (self._restart, 1),
        )
        choices, weights = zip(*steps, strict=True)
        for _ in range(STEPS):
            self._now_s += STEP_S
            step = self._random.choices(choices, weights)[0]
            step(self._random.randrange(VMS))
        self._settle()
        return self

    def registered_ids(self) -> set[str]:
        """Return the servers that are registered in the store."""
        return {entry.backend_id for entry in self._listing() if entry.backend}

    def used_ids(self, vm: int) -> set[str]:
        """Return the servers that a VM may use."""
        directory = self.directories[vm]
        directory.withhold(self._now_s)
        return set(directory.backends) - directory.withheld

    def _listing(self) -> list[Registration]:
        latest = {record.backend_id: record for record in self._records}
        return list(latest.values())

    def _write(self, _vm: int) -> None:
        number = self._random.randrange(SERVERS)
        name = f'b{number}'
        is_there = name in self.registered_ids()
        self._records.append(
            Registration(
                len(self._records), name, None if is_there else backend(number)
            )
        )

    def _read(self, vm: int) -> None:
        directory = self.directories[vm]
        if not directory.next_offset:
            self._list(vm)
            return
        new_records = self._records[directory.next_offset :]
        directory.apply_records(new_records, self._now_s)
        directory.expire(self._now_s)

    def _list(self, vm: int) -> None:
        directory = self.directories[vm]
        listed = [entry for entry in self._listing() if entry.backend]
        directory.resync(listed, StorePosition(len(self._records)), self._now_s)
        directory.expire(self._now_s)

    def _begin_grace(self, vm: int) -> None:
        self.directories[vm].start_reregistration_grace(self._now_s)

    def _restart(self, vm: int) -> None:
        self.directories[vm] = BackendDirectory()

    def _exchange(self, vm: int) -> None:
        """Let another VM hear the version of this one, and fetch."""
        other = self._random.randrange(VMS)
        if other != vm:
            self._hear(self.directories[other], self.directories[vm])

    def _hear(
        self, receiver: BackendDirectory, sender: BackendDirectory
    ) -> None:
        stated = (sender.version, sender.resume_offset)
        if receiver.lacks(*stated):
            update = sender.update_since(receiver.version)
            if receiver.apply_update(update) is UpdateOutcome.MISMATCH:
                receiver.apply_update(sender.update_since(None))
        elif sender.version == receiver.version and receiver.is_settled:
            receiver.read_by_peer(sender.resume_offset)

    def _settle(self) -> None:
        """Let one VM read after the grace time; the others hear of it."""
        reader = self._random.randrange(VMS)
        self._now_s += 2 * REREGISTRATION_GRACE_S
        for _ in range(SETTLE_ROUNDS):
            self._now_s += STEP_S
            self._read(reader)
            for receiver, sender in permutations(self.directories, 2):
                self._hear(receiver, sender)
