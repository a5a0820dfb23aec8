"""Discovery of other entry VMs through the seed hosts, then the store."""

from __future__ import annotations

from typing import Any

from twisted.internet.task import deferLater

from turmericpost.background import start_loop
from turmericpost.fleet.peers import PeerProtocol
from turmericpost.fleet.store import FleetStore
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.clock import Clock

DISCOVERY_INTERVAL_S = 1.0
"""Interval at which a VM that knows no other VM reads the store again."""

HELLOS_PER_INTERVAL = 10
"""Hello messages to the seed hosts per discovery interval, so that a seed host
that starts at the same time is found soon after its start."""


class PeerDiscovery:
    """Announces this VM in the store and searches until it finds another."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: FleetStore,
        peers: PeerProtocol,
        seed_hosts: tuple[str, ...],
    ) -> None:
        self.seed_hosts = seed_hosts
        self.is_finished = False
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._peers = peers
        self._is_announced = False
        self._is_running = False

    def start(self) -> None:
        """Search for VMs until this VM is announced and another one is live.

        The VMs are listed from the store only if no seed host replies.
        """
        self._is_running = True
        start_loop(self._reactor, self.run)

    def restart(self) -> None:
        """Announce this VM again."""
        self._is_announced = False
        if not self._is_running:
            self.start()

    async def run(self) -> None:
        """Do what ``start`` says; return when it is done."""
        while not self.is_finished:
            self._send_hello()
            if not self._is_announced:
                await self._announce()
            await self._repeat_hello()
            if self._is_announced and self._knows_other_vms():
                break
            await self._add_vms_from_store()
        self._is_running = False

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

    async def _repeat_hello(self) -> None:
        """Send hello repeatedly, as the seed hosts may be starting, too."""
        for _ in range(HELLOS_PER_INTERVAL):
            await deferLater(
                self._reactor, DISCOVERY_INTERVAL_S / HELLOS_PER_INTERVAL
            )
            if not self._knows_other_vms():
                self._send_hello()

    async def _add_vms_from_store(self) -> None:
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

    def _send_hello(self) -> None:
        own_port = self._peers.view.own.peer_port
        self._peers.send_hello(self.seed_hosts, own_port)

    def _knows_other_vms(self) -> bool:
        view = self._peers.view
        return len(view.live_members(self._clock.monotonic_s())) > 1
