"""Client of the administration API."""

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
class AdminAnswer:
    """Status and decoded JSON body of an answer."""

    status: int
    body: Mapping[str, Any]


@dataclass(frozen=True)
class AdminUnreachableError:
    """The admin port gave no answer that can be read."""

    url: str
    detail: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f'{self.url}: {self.detail}'


class AdminClient:
    """Asks one entry VM."""

    def __init__(self, admin_url: str) -> None:
        self._base_url = admin_url.rstrip('/')

    def get(
        self,
        view: str,
        query: Mapping[str, str] | None = None,
    ) -> Result[AdminAnswer, AdminUnreachableError]:
        """Read a view."""
        suffix = f'?{urlencode(query)}' if query else ''
        return self._send(f'{self._base_url}/v1/{view}{suffix}', None)

    def post(
        self,
        view: str,
        body: Mapping[str, Any],
    ) -> Result[AdminAnswer, AdminUnreachableError]:
        """Send a JSON body."""
        encoded = json.dumps(body).encode()
        return self._send(f'{self._base_url}/v1/{view}', encoded)

    def _send(
        self,
        url: str,
        body: bytes | None,
    ) -> Result[AdminAnswer, AdminUnreachableError]:
        try:
            return Ok(_exchange(url, body))
        except (OSError, ValueError, HTTPException) as error:
            return Err(AdminUnreachableError(url, str(error)))


def _exchange(url: str, body: bytes | None) -> AdminAnswer:
    request = Request(url, data=body)
    if body is not None:
        request.add_header('Content-Type', 'application/json')
    try:
        with urlopen(request, timeout=_TIMEOUT_S) as answer:
            return AdminAnswer(answer.status, json.load(answer))
    except HTTPError as refused:
        return AdminAnswer(refused.code, json.load(refused))
