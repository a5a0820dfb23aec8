"""Control port of the stand-ins: switch faults on, read run logs."""

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
    """A fault that no stand-in has."""


class Control(Resource):
    """``/runs`` and ``/load`` to read; ``/faults``, ``/store``, ``/vms`` to set."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, platform: StandInPlatform) -> None:
        super().__init__()
        self._platform = platform

    def render_GET(self, request: Request) -> bytes:
        """Answer with the runs or the load of every back end."""
        if request.path == b'/runs':
            return json.dumps(self._runs()).encode()
        return json.dumps(self._loads()).encode()

    def render_POST(self, request: Request) -> bytes:
        """Switch faults; the body is JSON."""
        change = json.loads(request.content.read())
        try:
            self._apply(request.path.decode('latin-1'), change)
        except UnknownFaultError as error:
            request.setResponseCode(HTTPStatus.BAD_REQUEST.value)
            return str(error).encode()
        return b'{}'

    def _apply(self, path: str, change: Any) -> None:
        if path == '/vms':
            vms = tuple(ListedVm(**one) for one in change)
            self._platform.vm_list.set_vms(vms)
        elif path == '/store':
            _set_all(self._platform.store.faults, change)
        else:
            self._apply_to_backends(change)

    def _apply_to_backends(self, change: dict[str, Any]) -> None:
        backends = self._platform.backends[change.pop('service')]
        index = change.pop('index', None)
        chosen = backends if index is None else [backends[index]]
        turns_cold = change.pop('turns_cold', False)
        for backend in chosen:
            _set_all(backend.faults, change)
            if turns_cold:
                backend.turn_cold()

    def _runs(self) -> dict[str, list[Any]]:
        return {
            service: [
                asdict(run) for backend in backends for run in backend.runs
            ]
            for service, backends in self._platform.backends.items()
        }

    def _loads(self) -> dict[str, list[Any]]:
        return {
            service: [_load(backend) for backend in backends]
            for service, backends in self._platform.backends.items()
        }


def _load(backend: BackendStandIn) -> dict[str, Any]:
    return {
        'runs': len(backend.runs),
        'sheds': backend.sheds,
        'cancelled': backend.cancelled,
        'most_in_flight': backend.most_in_flight,
    }


def _set_all(faults: object, change: dict[str, Any]) -> None:
    for name, setting in change.items():
        if not hasattr(faults, name):
            raise UnknownFaultError(name)
        setattr(faults, name, setting)
