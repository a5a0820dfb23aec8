"""Pushes changes of the state to the other VMs of the failure domain."""

from __future__ import annotations

from twisted.python.failure import Failure

from turmericpost.fleet.lag_monitor import LagMonitor
from turmericpost.fleet.peers import PeerProtocol
from turmericpost.fleet.update_codec import encode_update
from turmericpost.observe.events import log_failure
from turmericpost_core.fleet.state import FleetState, KnownVersions
from turmericpost_core.fleet.state_lag import EXCEPTION, StateWay


class StatePusher:
    """Pushes what has changed since the last time."""

    def __init__(
        self, state: FleetState, peers: PeerProtocol, monitor: LagMonitor
    ) -> None:
        self._state = state
        self._peers = peers
        self._monitor = monitor
        self._pushed_versions = KnownVersions()

    def push(self, source: str) -> None:
        """Push the changes, which came from ``source``, and send heartbeats.

        Changes from a VM of this failure domain are not pushed, since it has
        pushed them to all others.
        """
        view = self._peers.view
        domain_vms = view.heartbeat_targets(view.own.failure_domain)
        if source not in {vm.name for vm in domain_vms}:
            self._push()
            self._peers.send_heartbeats()
        self._pushed_versions = self._state.versions

    def _push(self) -> None:
        """Push the changes.

        If that fails, what led to the change, such as a read of the store, has
        not failed. The others hear of the new versions in heartbeats.
        """
        try:
            wire = encode_update(
                self._state.update_since(self._pushed_versions)
            )
        except Exception:
            log_failure(Failure())
            self._monitor.failed(StateWay.SEND_PUSH, EXCEPTION)
        else:
            self._peers.push(wire)
