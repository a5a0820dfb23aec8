"""Stand-in for the platform's list of VMs, with a configurable delay."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Request


@dataclass(frozen=True)
class ListedVm:
    """An entry of the list; ``state`` is ``live`` or ``leaving``."""

    address: str
    failure_domain: str
    state: str = 'live'


class VmList(Resource):
    """Serves ``/vms``: the list of VMs as it was ``lag_s`` seconds ago."""

    def __init__(self, reactor: Any, lag_s: float = 0) -> None:
        super().__init__()
        self._reactor = reactor
        self._lag_s = lag_s
        self._visible_vms: tuple[ListedVm, ...] = ()
        self.putChild(b'vms', self)

    def set_vms(self, vms: tuple[ListedVm, ...]) -> None:
        """Replace the list; clients see the change after ``lag_s`` seconds."""
        if self._lag_s:
            self._reactor.callLater(self._lag_s, self._set_visible_vms, vms)
        else:
            self._set_visible_vms(vms)

    def render_GET(self, request: Request) -> bytes:
        """Return the list that is visible now, as JSON."""
        request.setHeader(b'content-type', b'application/json')
        entries = [
            {
                'address': vm.address,
                'failure_domain': vm.failure_domain,
                'state': vm.state,
            }
            for vm in self._visible_vms
        ]
        return json.dumps(entries).encode()

    def _set_visible_vms(self, vms: tuple[ListedVm, ...]) -> None:
        self._visible_vms = vms
