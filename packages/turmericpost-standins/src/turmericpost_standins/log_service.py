"""Stand-in for the platform's append-only log service."""

from __future__ import annotations

import json
from base64 import b64encode
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

_MS_PER_S = 1000
_DEFAULT_APPENDS_PER_S = 300


@dataclass
class LogFaults:
    """Faults that a test or an operator switches on."""

    is_down: bool = False
    delay_s: float = 0
    lose_next_answers: int = 0


@dataclass
class StoredStream:
    """Records of one stream from the earliest one kept on."""

    earliest_offset: int = 0
    records: list[bytes] = field(default_factory=list)
    readers: list[_WaitingReader] = field(default_factory=list)

    @property
    def end_offset(self) -> int:
        """Offset of the next record."""
        return self.earliest_offset + len(self.records)

    def expire_before(self, offset: int) -> None:
        """Drop the records before an offset."""
        dropped = max(0, min(offset, self.end_offset) - self.earliest_offset)
        self.records = self.records[dropped:]
        self.earliest_offset += dropped


@dataclass(frozen=True)
class _WaitingReader:
    request: Request
    from_offset: int
    timer: Any


class LogService(Resource):
    """``/streams/S``: append by POST, read by GET."""

    def __init__(
        self,
        reactor: Any,
        appends_per_s: int = _DEFAULT_APPENDS_PER_S,
    ) -> None:
        super().__init__()
        self.faults = LogFaults()
        self.streams: dict[str, StoredStream] = {}
        self._reactor = reactor
        self._appends_per_s = appends_per_s
        self._recent_s: deque[float] = deque()

    def stream(self, name: str) -> StoredStream:
        """Return a stream, empty at first."""
        return self.streams.setdefault(name, StoredStream())

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return the resource of a stream."""
        if path == b'streams':
            return self
        return StreamResource(self, path.decode('latin-1'))

    def append(self, name: str, record: bytes) -> int | None:
        """Append; ``None`` above the append rate."""
        now_s = self._reactor.seconds()
        while self._recent_s and now_s - self._recent_s[0] >= 1:
            self._recent_s.popleft()
        if len(self._recent_s) >= self._appends_per_s:
            return None
        self._recent_s.append(now_s)
        stream = self.stream(name)
        stream.records.append(record)
        self._wake(stream)
        return stream.end_offset - 1

    def answer(self, request: Request, status: int, body: Any) -> None:
        """Answer after the delay in force."""
        self._reactor.callLater(
            self.faults.delay_s,
            _answer,
            request,
            status,
            body,
        )

    def read(self, name: str, request: Request) -> None:
        """Answer with records, or wait for the first one."""
        from_offset = _number(request, b'from')
        wait_s = _number(request, b'wait_ms') / _MS_PER_S
        stream = self.stream(name)
        if from_offset < stream.earliest_offset:
            body = {'earliest_offset': stream.earliest_offset}
            self.answer(request, HTTPStatus.GONE.value, body)
        elif from_offset == stream.end_offset and wait_s:
            self._wait(stream, request, from_offset, wait_s)
        else:
            body = _records(stream, from_offset)
            self.answer(request, HTTPStatus.OK.value, body)

    def _wait(
        self,
        stream: StoredStream,
        request: Request,
        from_offset: int,
        wait_s: float,
    ) -> None:
        timer = self._reactor.callLater(wait_s, self._wake, stream)
        reader = _WaitingReader(request, from_offset, timer)
        stream.readers.append(reader)
        request.notifyFinish().addErrback(_gone, stream, reader)

    def _wake(self, stream: StoredStream) -> None:
        readers = tuple(stream.readers)
        stream.readers.clear()
        for reader in readers:
            if reader.timer.active():
                reader.timer.cancel()
            body = _records(stream, reader.from_offset)
            self.answer(reader.request, HTTPStatus.OK.value, body)


class StreamResource(Resource):
    """One stream of the log service."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, service: LogService, name: str) -> None:
        super().__init__()
        self._service = service
        self._name = name

    def render_GET(self, request: Request) -> int:
        """Read records."""
        if self._service.faults.is_down:
            request.transport.abortConnection()
        else:
            self._service.read(self._name, request)
        return NOT_DONE_YET

    def render_POST(self, request: Request) -> int:
        """Append the body as a record."""
        faults = self._service.faults
        if faults.is_down:
            request.transport.abortConnection()
            return NOT_DONE_YET
        offset = self._service.append(self._name, request.content.read())
        if offset is None:
            too_many = HTTPStatus.TOO_MANY_REQUESTS.value
            self._service.answer(request, too_many, {})
        elif faults.lose_next_answers:
            faults.lose_next_answers -= 1
            request.transport.abortConnection()
        else:
            body = {'offset': offset}
            self._service.answer(request, HTTPStatus.OK.value, body)
        return NOT_DONE_YET


def _records(stream: StoredStream, from_offset: int) -> dict[str, Any]:
    first = from_offset - stream.earliest_offset
    return {
        'records': [
            {
                'offset': from_offset + index,
                'record': b64encode(record).decode('ascii'),
            }
            for index, record in enumerate(stream.records[first:])
        ],
        'end_offset': stream.end_offset,
    }


def _number(request: Request, name: bytes) -> int:
    texts = request.args.get(name, [b'0'])
    return int(texts[0])


def _answer(request: Request, status: int, body: Any) -> None:
    if request.channel is None or request.finished:
        return
    request.setResponseCode(status)
    request.setHeader(b'content-type', b'application/json')
    request.write(json.dumps(body).encode())
    request.finish()


def _gone(
    _failure: object,
    stream: StoredStream,
    reader: _WaitingReader,
) -> None:
    if reader.timer.active():
        reader.timer.cancel()
    if reader in stream.readers:
        stream.readers.remove(reader)
