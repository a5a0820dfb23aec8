"""HTTP client of the admin port of an entry VM."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from http.client import HTTPException
from typing import Any
from urllib.error import HTTPError
from urllib.parse import urlencode
from urllib.request import Request, urlopen

from result import Err, Ok, Result

_TIMEOUT_S = 30


@dataclass(frozen=True)
class AdminResponse:
    """Status and decoded JSON body of a response."""

    status: int
    body: Mapping[str, Any]


@dataclass(frozen=True)
class AdminUnreachableError:
    """The admin port sent no response, or one that cannot be decoded."""

    url: str
    detail: str

    def __str__(self) -> str:
        """Return the error as one line of text."""
        return f'{self.url}: {self.detail}'


class AdminClient:
    """Sends requests to the admin port of one entry VM."""

    def __init__(self, admin_url: str) -> None:
        self._base_url = admin_url.rstrip('/')

    def get(
        self,
        view: str,
        query: Mapping[str, str] | None = None,
    ) -> Result[AdminResponse, AdminUnreachableError]:
        """Request a JSON view of the VM state, such as ``status``."""
        suffix = f'?{urlencode(query)}' if query else ''
        return self._send(f'{self._base_url}/v1/{view}{suffix}', None)

    def post(
        self,
        resource: str,
        body: Mapping[str, Any],
    ) -> Result[AdminResponse, AdminUnreachableError]:
        """Post a JSON body to a resource such as ``changes``."""
        encoded = json.dumps(body).encode()
        return self._send(f'{self._base_url}/v1/{resource}', encoded)

    def _send(
        self,
        url: str,
        body: bytes | None,
    ) -> Result[AdminResponse, AdminUnreachableError]:
        try:
            return Ok(_send_request(url, body))
        except (OSError, ValueError, HTTPException) as error:
            return Err(AdminUnreachableError(url, str(error)))


def _send_request(url: str, body: bytes | None) -> AdminResponse:
    request = Request(url, data=body)
    if body is not None:
        request.add_header('Content-Type', 'application/json')
    try:
        with urlopen(request, timeout=_TIMEOUT_S) as response:
            return AdminResponse(response.status, json.load(response))
    except HTTPError as http_error:
        return AdminResponse(http_error.code, json.load(http_error))
