"""Client of the platform's list of live and leaving VMs."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from turmericpost.configlog.http import PlatformHttp


@dataclass(frozen=True)
class ListedVms:
    """Addresses on the list; ``leaving`` is a part of ``listed``.

    ``size_bytes`` is the size of the list as it was sent.
    """

    listed: frozenset[str]
    leaving: frozenset[str]
    size_bytes: int


@dataclass(frozen=True)
class VmListError:
    """The list can't be had or read."""

    detail: str


class VmListClient:
    """Reads the VM list."""

    def __init__(self, http: PlatformHttp, base_url: str) -> None:
        self._http = http
        self._url = f'{base_url.rstrip("/")}/vms'

    async def read(self) -> Result[ListedVms, VmListError]:
        """Return the list as the platform gives it now."""
        sent = await self._http.request('GET', self._url)
        if sent.is_err():
            return Err(VmListError(sent.unwrap_err().detail))
        answer = sent.unwrap()
        if answer.status != HTTPStatus.OK:
            return Err(VmListError(f'status {answer.status}'))
        try:
            return Ok(_listed(answer.body))
        except (KeyError, TypeError, ValueError) as error:
            return Err(VmListError(f'list not readable: {error}'))


def _listed(body: bytes) -> ListedVms:
    decoded: Any = json.loads(body)
    states = {str(one['address']): one['state'] for one in decoded}
    leaving = (name for name, state in states.items() if state == 'leaving')
    return ListedVms(frozenset(states), frozenset(leaving), len(body))
