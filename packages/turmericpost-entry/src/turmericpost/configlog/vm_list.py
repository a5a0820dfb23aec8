"""Client of the platform service that lists live and leaving VMs."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from turmericpost.configlog.http import PlatformHttpClient


@dataclass(frozen=True)
class ListedVms:
    """VM addresses on the list; ``leaving`` is a subset of ``listed``.

    ``size_bytes`` is the size of the response body.
    """

    listed: frozenset[str]
    leaving: frozenset[str]
    size_bytes: int


@dataclass(frozen=True)
class VmListError:
    """The VM list could not be requested or decoded."""

    detail: str


class VmListClient:
    """Reads the VM list of the platform."""

    def __init__(self, http: PlatformHttpClient, base_url: str) -> None:
        self._http = http
        self._url = f'{base_url.rstrip("/")}/vms'

    async def read(self) -> Result[ListedVms, VmListError]:
        """Request the current VM list."""
        request_result = await self._http.request('GET', self._url)
        if request_result.is_err():
            return Err(VmListError(request_result.unwrap_err().detail))
        response = request_result.unwrap()
        if response.status != HTTPStatus.OK:
            return Err(VmListError(f'status {response.status}'))
        try:
            return Ok(_parse_vm_list(response.body))
        except (KeyError, TypeError, ValueError) as error:
            return Err(VmListError(f'invalid VM list: {error}'))


def _parse_vm_list(body: bytes) -> ListedVms:
    decoded: Any = json.loads(body)
    states = {str(vm['address']): vm['state'] for vm in decoded}
    leaving = (name for name, state in states.items() if state == 'leaving')
    return ListedVms(frozenset(states), frozenset(leaving), len(body))
