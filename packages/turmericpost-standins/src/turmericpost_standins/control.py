"""Control port of the stand-ins: inject faults, read the calls executed."""

from __future__ import annotations

import json
from dataclasses import asdict
from http import HTTPStatus
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Request

from turmericpost_standins.backend import BackendStandIn
from turmericpost_standins.platform import StandInPlatform
from turmericpost_standins.vm_list import ListedVm


class UnknownFaultError(Exception):
    """Raised for a fault that the stand-in does not have."""


class ControlResource(Resource):
    """Serves the control port.

    GET ``/runs`` and ``/load`` return the calls executed and the load counts of
    the backend servers; POST ``/faults``, ``/store`` and ``/vms`` change faults
    of the backend servers, faults of the store and the list of VMs.
    """

    isLeaf = True  # noqa: WPS115

    def __init__(self, platform: StandInPlatform) -> None:
        super().__init__()
        self._platform = platform

    def render_GET(self, request: Request) -> bytes:
        """Return the calls executed or the load counts of each service as JSON.

        ``/runs`` returns the calls; any other path returns the load counts.
        """
        if request.path == b'/runs':
            return json.dumps(self._runs()).encode()
        return json.dumps(self._load_summaries()).encode()

    def render_POST(self, request: Request) -> bytes:
        """Apply the change in the JSON body.

        Returns status 400 with the name of an unknown fault.
        """
        change = json.loads(request.content.read())
        try:
            self._apply(request.path.decode('latin-1'), change)
        except UnknownFaultError as error:
            request.setResponseCode(HTTPStatus.BAD_REQUEST.value)
            return str(error).encode()
        return b'{}'

    def _apply(self, path: str, change: Any) -> None:
        if path == '/vms':
            vms = tuple(ListedVm(**listed_vm) for listed_vm in change)
            self._platform.vm_list.set_vms(vms)
        elif path == '/store':
            _set_faults(self._platform.store.faults, change)
        else:
            self._apply_to_backends(change)

    def _apply_to_backends(self, change: dict[str, Any]) -> None:
        backends = self._platform.backends[change.pop('service')]
        index = change.pop('index', None)
        selected = backends if index is None else [backends[index]]
        restarts_cold = change.pop('turns_cold', False)
        for backend in selected:
            _set_faults(backend.faults, change)
            if restarts_cold:
                backend.restart_cold()

    def _runs(self) -> dict[str, list[Any]]:
        return {
            service: [
                asdict(run) for backend in backends for run in backend.runs
            ]
            for service, backends in self._platform.backends.items()
        }

    def _load_summaries(self) -> dict[str, list[Any]]:
        return {
            service: [_load_summary(backend) for backend in backends]
            for service, backends in self._platform.backends.items()
        }


def _load_summary(backend: BackendStandIn) -> dict[str, Any]:
    return {
        'runs': len(backend.runs),
        'sheds': backend.shed_calls,
        'cancelled': backend.cancelled,
        'most_in_flight': backend.max_in_flight,
    }


def _set_faults(faults: object, change: dict[str, Any]) -> None:
    for name, setting in change.items():
        if not hasattr(faults, name):
            raise UnknownFaultError(name)
        setattr(faults, name, setting)
