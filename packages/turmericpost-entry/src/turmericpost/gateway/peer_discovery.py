"""How an entry VM finds the others: by its settings, then by the store."""

from __future__ import annotations

from typing import Any

from twisted.internet.task import deferLater

from turmericpost.fleet.peers import PeerProtocol
from turmericpost.fleet.store import FleetStore
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.clock import Clock

JOIN_RETRY_S = 1.0
"""Pause between tries to find another VM of the own failure domain."""

HELLOS_PER_RETRY = 10
"""Greetings in that time: one is heard soon after a VM named has started."""


class PeerDiscovery:
    """Announces this VM and looks for others until one is heard."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: FleetStore,
        peers: PeerProtocol,
        seed_hosts: tuple[str, ...],
    ) -> None:
        self.seed_hosts = seed_hosts
        self.is_over = False
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._peers = peers
        self._is_announced = False

    async def join(self) -> None:
        """Find other VMs; ask the store only if the seeds know none."""
        while not self.is_over:
            self._greet()
            if not self._is_announced:
                await self._announce()
            await self._greet_again()
            if self._is_announced and self._has_company():
                return
            await self._ask_the_store()

    async def _announce(self) -> None:
        announced = await self._store.announce(self._peers.view.own)
        self._is_announced = announced.is_ok()
        if announced.is_err():
            error = announced.unwrap_err()
            log_event(
                LogEvent.STORE_WRITE_FAILED,
                kind=error.kind.value,
                detail=error.detail,
            )

    async def _greet_again(self) -> None:
        """Say hello some more times to VMs that may be starting, too."""
        for _ in range(HELLOS_PER_RETRY):
            await deferLater(self._reactor, JOIN_RETRY_S / HELLOS_PER_RETRY)
            if not self._has_company():
                self._greet()

    async def _ask_the_store(self) -> None:
        listed = await self._store.list_vms()
        if listed.is_ok():
            now_s = self._clock.monotonic_s()
            self._peers.view.add_known_vms(listed.unwrap(), now_s)
        else:
            error = listed.unwrap_err()
            log_event(
                LogEvent.VMS_NOT_LISTED,
                kind=error.kind.value,
                detail=error.detail,
            )

    def _greet(self) -> None:
        own_port = self._peers.view.own.peer_port
        self._peers.send_hello(self.seed_hosts, own_port)

    def _has_company(self) -> bool:
        view = self._peers.view
        return len(view.live_members(self._clock.monotonic_s())) > 1
