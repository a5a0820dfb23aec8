"""Background tasks: configuration log, VM list and periodic snapshots."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from turmericpost.background import start_loop
from turmericpost.configlog.clients import PlatformClients
from turmericpost.configlog.settings import PlatformSettings
from turmericpost.observe.events import LogEvent, log_event, log_failure
from turmericpost_core.membership.ring import rendezvous_owners
from turmericpost_core.membership.view import MembershipView

_SNAPSHOT_CHECK_INTERVAL_S = 2
_REQUESTED_SNAPSHOT_INTERVAL_S = 5
_SNAPSHOT_RING_KEY = 'snapshots'


class PlatformTasks:
    """Background tasks that use the platform, from start to stop."""

    def __init__(
        self,
        reactor: Any,
        settings: PlatformSettings,
        clients: PlatformClients,
        own_name: str,
        view: Callable[[], MembershipView],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._clients = clients
        self._own_name = own_name
        self._view = view
        self._is_stopped = False
        self._is_writing_snapshot = False

    def start(self) -> None:
        """Start reading the log and the VM list, and writing snapshots."""
        for loop in (
            self._poll_vm_list,
            self._write_periodic_snapshots,
            self._clients.follower.run,
        ):
            start_loop(self._reactor, loop)

    def stop(self) -> None:
        """Make each task end after its current operation or pause."""
        self._is_stopped = True
        self._clients.follower.stop()

    def write_requested_snapshot(self) -> None:
        """Write a snapshot for a VM that lacks records.

        Does nothing while such a snapshot is being written.
        """
        if self._is_writing_snapshot:
            return
        self._is_writing_snapshot = True
        writing = Deferred.fromCoroutine(
            self._clients.snapshots.write(_REQUESTED_SNAPSHOT_INTERVAL_S)
        )
        writing.addErrback(log_failure)
        writing.addBoth(self._snapshot_written)

    def _snapshot_written(self, _outcome: object) -> None:
        self._is_writing_snapshot = False

    async def _write_periodic_snapshots(self) -> None:
        """Write due snapshots while rendezvous hashing selects this VM.

        The selected VM may not have a revision that the log has lost. Another VM
        writes it if the log lacks it at two checks in a row.
        """
        follower = self._clients.follower
        had_lost_records = False
        while not self._is_stopped:
            await deferLater(self._reactor, _SNAPSHOT_CHECK_INTERVAL_S)
            has_lost_records = follower.log_status.has_lost_records
            is_still_lost = had_lost_records and has_lost_records
            had_lost_records = has_lost_records
            if is_still_lost or self._is_selected():
                await self._clients.snapshots.write_if_due()

    def _is_selected(self) -> bool:
        names = [record.identity.name for record in self._view().live()]
        owners = rendezvous_owners(_SNAPSHOT_RING_KEY, names, 1)
        return owners == (self._own_name,)

    async def _poll_vm_list(self) -> None:
        """Poll the VM list.

        A long list is polled less often to stay within the byte rate.
        """
        settings = self._settings
        while not self._is_stopped:
            size_bytes = await self._read_vm_list()
            pause_s = size_bytes / settings.vm_list_bytes_per_s
            pause_s = max(pause_s, settings.vm_list_interval_s)
            await deferLater(self._reactor, pause_s)

    async def _read_vm_list(self) -> int:
        listed = await self._clients.vm_list.read()
        if listed.is_err():
            detail = listed.unwrap_err().detail
            log_event(LogEvent.LIST_UNREACHABLE, detail=detail)
            return 0
        vms = listed.unwrap()
        self._view().record_vm_list(vms.listed, vms.leaving)
        return vms.size_bytes
