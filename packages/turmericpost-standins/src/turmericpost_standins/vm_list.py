"""Stand-in for the platform's list of VMs, which lags."""

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
    """``/vms``: the list as it was ``lag_s`` ago."""

    def __init__(self, reactor: Any, lag_s: float = 0) -> None:
        super().__init__()
        self._reactor = reactor
        self._lag_s = lag_s
        self._shown: tuple[ListedVm, ...] = ()
        self.putChild(b'vms', self)

    def set_vms(self, vms: tuple[ListedVm, ...]) -> None:
        """Change the list; readers see it after the lag."""
        if self._lag_s:
            self._reactor.callLater(self._lag_s, self._show, vms)
        else:
            self._show(vms)

    def render_GET(self, request: Request) -> bytes:
        """Answer with the list shown now."""
        request.setHeader(b'content-type', b'application/json')
        entries = [
            {
                'address': vm.address,
                'failure_domain': vm.failure_domain,
                'state': vm.state,
            }
            for vm in self._shown
        ]
        return json.dumps(entries).encode()

    def _show(self, vms: tuple[ListedVm, ...]) -> None:
        self._shown = vms
