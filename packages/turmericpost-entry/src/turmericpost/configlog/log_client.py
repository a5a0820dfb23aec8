"""Client of the platform's append-only log service."""

from __future__ import annotations

import json
from base64 import b64decode
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from turmericpost.configlog.http import (
    PlatformAnswer,
    PlatformErrorKind,
    PlatformHttp,
)

_MS_PER_S = 1000


class LogErrorKind(Enum):
    """Why the log service did not do what was asked."""

    UNREACHABLE = 'unreachable'
    ANSWER_LOST = 'answer-lost'
    OVERLOADED = 'overloaded'
    EXPIRED = 'expired'
    MALFORMED = 'malformed'


@dataclass(frozen=True)
class LogError:
    """An error of the log service.

    ``earliest_offset`` is set with ``EXPIRED``. After ``ANSWER_LOST`` an
    append may have taken effect.
    """

    kind: LogErrorKind
    detail: str
    earliest_offset: int = 0


@dataclass(frozen=True)
class LogRecord:
    """A record and its offset."""

    offset: int
    record: bytes


@dataclass(frozen=True)
class LogBatch:
    """Records read, and the offset that the next append will get."""

    records: tuple[LogRecord, ...]
    end_offset: int


class LogClient:
    """Appends to and reads from streams of the log service."""

    def __init__(self, http: PlatformHttp, base_url: str) -> None:
        self._http = http
        self._base_url = base_url.rstrip('/')

    async def append(
        self,
        stream: str,
        record: bytes,
    ) -> Result[int, LogError]:
        """Append a record and return its offset."""
        url = f'{self._base_url}/streams/{stream}'
        sent = await self._http.request('POST', url, record)
        if sent.is_err():
            failure = sent.unwrap_err()
            return Err(_lost(failure.kind, failure.detail))
        return _read_offset(sent.unwrap())

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_s: float,
    ) -> Result[LogBatch, LogError]:
        """Read records from an offset on, waiting for the first one."""
        wait_ms = int(wait_s * _MS_PER_S)
        query = f'from={from_offset}&wait_ms={wait_ms}'
        url = f'{self._base_url}/streams/{stream}?{query}'
        sent = await self._http.request('GET', url, extra_wait_s=wait_s)
        if sent.is_err():
            failure = sent.unwrap_err()
            return Err(_lost(failure.kind, failure.detail))
        return _read_batch(sent.unwrap())


def _lost(kind: PlatformErrorKind, detail: str) -> LogError:
    if kind is PlatformErrorKind.NOT_SENT:
        return LogError(LogErrorKind.UNREACHABLE, detail)
    return LogError(LogErrorKind.ANSWER_LOST, detail)


def _read_offset(answer: PlatformAnswer) -> Result[int, LogError]:
    if answer.status != HTTPStatus.OK:
        return Err(_status_error(answer))
    decoded = _decoded(answer.body)
    try:
        return Ok(int(decoded['offset']))
    except (KeyError, TypeError, ValueError):
        return Err(LogError(LogErrorKind.ANSWER_LOST, 'no offset in answer'))


def _read_batch(answer: PlatformAnswer) -> Result[LogBatch, LogError]:
    if answer.status != HTTPStatus.OK:
        return Err(_status_error(answer))
    decoded = _decoded(answer.body)
    try:
        return Ok(_batch(decoded))
    except (KeyError, TypeError, ValueError):
        return Err(LogError(LogErrorKind.MALFORMED, 'records not readable'))


def _batch(decoded: Any) -> LogBatch:
    records = tuple(
        LogRecord(int(one['offset']), b64decode(one['record'], validate=True))
        for one in decoded['records']
    )
    return LogBatch(records, int(decoded['end_offset']))


def _status_error(answer: PlatformAnswer) -> LogError:
    detail = f'status {answer.status}'
    if answer.status == HTTPStatus.TOO_MANY_REQUESTS:
        return LogError(LogErrorKind.OVERLOADED, detail)
    if answer.status == HTTPStatus.GONE:
        earliest = _earliest(_decoded(answer.body))
        return LogError(LogErrorKind.EXPIRED, detail, earliest)
    return LogError(LogErrorKind.UNREACHABLE, detail)


def _earliest(decoded: Any) -> int:
    if isinstance(decoded, dict):
        earliest = decoded.get('earliest_offset')
        if isinstance(earliest, int):
            return earliest
    return 0


def _decoded(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return None
