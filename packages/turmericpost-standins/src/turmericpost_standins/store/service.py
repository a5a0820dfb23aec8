"""HTTP interface of the store's stand-in, with the faults it can have."""

from __future__ import annotations

import json
from base64 import b64encode
from collections import deque
from dataclasses import dataclass, field
from struct import Struct
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from turmericpost_standins.store.consumer_groups import ConsumerGroup
from turmericpost_standins.store.partition import (
    Appended,
    Partition,
    ProducerSequence,
    Refused,
)

_MS_PER_S = 1000
_BYTES_PER_KB = 1024
_LENGTH = Struct('>I')
_ENDS = Struct('>QQ')
_OK = 200
_BAD_REQUEST = 400
_FORBIDDEN = 403
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_TOO_MANY = 429
_UNAVAILABLE = 503
_FULL = 507
_READ_ONLY = frozenset(('keyed.op', 'keyed.servers'))
_KEYED = 'keyed.'
_JOIN_COST = 0.1


@dataclass
class StoreFaults:
    """Faults that a test or an operator switches on.

    ``refused_hosts`` are turned away while others are served; ``is_silent``
    answers nothing; ``late_s`` is when lost appends take effect, 0 at once.
    """

    is_down: bool = False
    is_silent: bool = False
    is_busy: bool = False
    refused_hosts: frozenset[str] = frozenset()
    delay_s: float = 0
    lose_next_answers: int = 0
    late_s: float = 0


@dataclass(frozen=True)
class StoreLimits:
    """Rates and sizes of the store."""

    writes_per_s: int = 400
    reads_per_s: int = 2000
    parts: int = 8
    record_bytes: int = 262144
    call_bytes: int = 2097152
    max_total_bytes: int = 400_000_000
    most_topics: int = 100
    max_page_rows: int = 500


@dataclass
class _Rate:
    """Calls of the last second, joins counting a tenth."""

    per_s: int
    recent: deque[tuple[float, float]] = field(default_factory=deque)

    def take(self, now_s: float, cost: float = 1) -> bool:
        while self.recent and now_s - self.recent[0][0] >= 1:
            self.recent.popleft()
        if sum(spent for _, spent in self.recent) + cost > self.per_s:
            return False
        self.recent.append((now_s, cost))
        return True


@dataclass(frozen=True)
class _Reader:
    request: Request
    partition: Partition
    offset: int
    max_bytes: int
    timer: Any


class MalformedCallError(Exception):
    """A call that the store does not understand."""


class StoreService(Resource):
    """``/-/...``: the store's calls."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, reactor: Any, sizes: StoreLimits | None = None) -> None:
        super().__init__()
        self.faults = StoreFaults()
        self.sizes = sizes or StoreLimits()
        self.calls: list[str] = []
        self.groups: dict[str, ConsumerGroup] = {}
        self._reactor = reactor
        self._topics: dict[tuple[str, int], Partition] = {}
        self._readers: list[_Reader] = []
        self._writes = _Rate(self.sizes.writes_per_s)
        self._reads = _Rate(self.sizes.reads_per_s)

    def partition(self, topic: str, part: int = 0) -> Partition:
        """Return a partition, empty at first."""
        return self._topics.setdefault((topic, part), Partition())

    def append(self, topic: str, record: bytes) -> int:
        """Append as the operator or a backend server does."""
        partition = self.partition(topic)
        partition.append([record], self._reactor.seconds())
        self._wake()
        return partition.end_offset - 1

    def put_keyed(self, topic: str, key: str, text: bytes) -> int:
        """Append a keyed record; an empty text drops the key."""
        name = key.encode()
        return self.append(topic, bytes((len(name),)) + name + text)

    def compact(self, topic: str) -> None:
        """Drop all records of a topic but the newest of each key."""
        self.partition(topic).trim(self.partition(topic).end_offset)

    def render_GET(self, request: Request) -> int:
        """Serve a read."""
        return self._serve(request)

    def render_POST(self, request: Request) -> int:
        """Serve a write."""
        return self._serve(request)

    def _serve(self, request: Request) -> int:
        call = request.path.decode('latin-1').removeprefix('/-/')
        self.calls.append(call)
        faults = self.faults
        if faults.is_down:
            request.transport.abortConnection()
        elif (
            faults.is_busy
            or request.getClientAddress().host in faults.refused_hosts
        ):
            self._answer(request, _UNAVAILABLE, {})
        elif not faults.is_silent:
            self._reactor.callLater(faults.delay_s, self._act, call, request)
        return NOT_DONE_YET

    def _act(self, call: str, request: Request) -> None:
        acts = {
            'log-append': self._append,
            'log-read': self._read,
            'log-trim': self._trim,
            'log-newest': self._newest,
            'log-join': self._join,
            'log-leave': self._leave,
            'log-commit': self._commit,
            'log-owners': self._owners,
        }
        act = acts.get(call)
        if act is None:
            self._answer(request, _NOT_FOUND, {})
            return
        try:
            act(request)
        except (MalformedCallError, KeyError, ValueError) as error:
            self._answer(request, _BAD_REQUEST, {'why': repr(error)})

    def _append(self, request: Request) -> None:
        topic = _text(request, 'Topic')
        body = request.content.read()
        status = self._append_refusal(topic, len(body))
        if status:
            self._answer(request, status, {})
        elif self.faults.lose_next_answers:
            self.faults.lose_next_answers -= 1
            self._lose(request, topic, body)
        else:
            self._answer_append(request, self._store(request, topic, body))

    def _append_refusal(self, topic: str, added: int) -> int:
        """Return the status of a refusal, 0 for none."""
        if topic in _READ_ONLY:
            return _FORBIDDEN
        if not self._writes.take(self._reactor.seconds()):
            return _TOO_MANY
        return _FULL if self._is_full(topic, added) else 0

    def _lose(self, request: Request, topic: str, body: bytes) -> None:
        """Do an append without an answer, at once or later."""
        self._reactor.callLater(
            self.faults.late_s,
            self._store,
            request,
            topic,
            body,
        )
        request.transport.abortConnection()

    def _store(
        self,
        request: Request,
        topic: str,
        body: bytes,
    ) -> Appended | Refused:
        records = _records(body, self.sizes)
        partition = self.partition(topic, _whole(request, 'part'))
        done = partition.append(
            records,
            self._reactor.seconds(),
            _optional(request, 'At'),
            _sequence(request),
        )
        self._wake()
        return done

    def _answer_append(
        self,
        request: Request,
        done: Appended | Refused,
    ) -> None:
        if isinstance(done, Refused):
            self._answer(request, done.status, done.body)
        else:
            body = {'Offset': done.offset, 'End': done.end_offset}
            self._answer(request, _OK, body)

    def _read(self, request: Request) -> None:
        if not self._reads.take(self._reactor.seconds()):
            self._answer(request, _TOO_MANY, {})
            return
        topic = _text(request, 'Topic')
        partition = self.partition(topic, _whole(request, 'part'))
        offset = _whole(request, 'From')
        wait_s = (_optional(request, 'WaitMs') or 0) / _MS_PER_S
        max_kb = _optional(request, 'MaxKb') or _BYTES_PER_KB
        if offset < partition.first:
            self._answer(request, _GONE, {'First': partition.first})
        elif offset >= partition.end_offset and wait_s:
            timer = self._reactor.callLater(wait_s, self._time_out, request)
            request.notifyFinish().addErrback(self._reader_gone, request)
            self._readers.append(
                _Reader(
                    request,
                    partition,
                    offset,
                    max_kb * _BYTES_PER_KB,
                    timer,
                ),
            )
        else:
            _send(request, _page(partition, offset, max_kb * _BYTES_PER_KB))

    def _trim(self, request: Request) -> None:
        topic = _text(request, 'Topic')
        if topic in _READ_ONLY:
            self._answer(request, _FORBIDDEN, {})
            return
        partition = self.partition(topic, _whole(request, 'part'))
        partition.trim(_whole(request, 'Before'))
        self._answer(request, _OK, {})

    def _newest(self, request: Request) -> None:
        topic = _text(request, 'Topic')
        if not topic.startswith(_KEYED):
            raise MalformedCallError(topic)
        partition = self.partition(topic, _whole(request, 'part'))
        after = request.args.get(b'after', [b''])[0]
        keys = sorted(key for key in partition.newest if key > after)
        page = keys[: self.sizes.max_page_rows]
        rows = [
            {
                'Key': key.decode(),
                'Value': b64encode(partition.newest[key][1]).decode(),
                'Offset': partition.newest[key][0],
            }
            for key in page
        ]
        more = len(page) < len(keys)
        body = {'items': rows, 'More': more, 'End': partition.end_offset}
        self._answer(request, _OK, body)

    def _join(self, request: Request) -> None:
        if not self._writes.take(self._reactor.seconds(), _JOIN_COST):
            self._answer(request, _TOO_MANY, {})
            return
        asked = json.loads(request.content.read())
        group = self._group(asked['group'])
        generation = group.join(
            asked['Member'],
            tuple(asked['Topics']),
            asked['TtlMs'] / _MS_PER_S,
            self._reactor.seconds(),
        )
        body = {
            'Generation': generation,
            'TtlMs': asked['TtlMs'],
            'parts': group.rows(asked['Member']),
        }
        self._answer(request, _OK, body)

    def _leave(self, request: Request) -> None:
        asked = json.loads(request.content.read())
        self._group(asked['group']).leave(asked['Member'])
        self._answer(request, _OK, {})

    def _commit(self, request: Request) -> None:
        asked = json.loads(request.content.read())
        group = self._group(asked['group'])
        is_done = group.commit(
            asked['Member'],
            (asked['Topic'], asked['part']),
            asked['Offset'],
            asked['Generation'],
        )
        self._answer(request, _OK if is_done else _CONFLICT, {})

    def _owners(self, request: Request) -> None:
        group = self._group(_text(request, 'group'))
        group.expire(self._reactor.seconds())
        self._answer(request, _OK, {'parts': group.rows()})

    def _group(self, name: str) -> ConsumerGroup:
        return self.groups.setdefault(name, ConsumerGroup(self.sizes.parts))

    def _is_full(self, topic: str, added: int) -> bool:
        topics = {name for name, _ in self._topics}
        if topic not in topics and len(topics) >= self.sizes.most_topics:
            return True
        stored = sum(
            len(one.record)
            for partition in self._topics.values()
            for one in partition.records
        )
        return stored + added > self.sizes.max_total_bytes

    def _wake(self) -> None:
        """Answer the readers whose records have come."""
        for reader in tuple(self._readers):
            if reader.offset < reader.partition.end_offset:
                self._end_wait(reader)

    def _time_out(self, request: Request) -> None:
        for reader in tuple(self._readers):
            if reader.request is request:
                self._end_wait(reader)

    def _end_wait(self, reader: _Reader) -> None:
        self._readers.remove(reader)
        if reader.timer.active():
            reader.timer.cancel()
        body = _page(reader.partition, reader.offset, reader.max_bytes)
        _send(reader.request, body)

    def _reader_gone(self, _failure: object, request: Request) -> None:
        for reader in tuple(self._readers):
            if reader.request is request:
                self._readers.remove(reader)
                if reader.timer.active():
                    reader.timer.cancel()

    def _answer(
        self,
        request: Request,
        status: int,
        body: dict[str, Any],
    ) -> None:
        if request.channel is None or request.finished:
            return
        request.setResponseCode(status)
        request.setHeader(b'content-type', b'application/json')
        request.write(json.dumps(body).encode())
        request.finish()


def _send(request: Request, body: bytes) -> None:
    if request.channel is None or request.finished:
        return
    request.write(body)
    request.finish()


def _page(partition: Partition, offset: int, max_bytes: int) -> bytes:
    """Return the ends and the records from an offset on, one at least."""
    parts = [_ENDS.pack(partition.end_offset, partition.first)]
    size = 0
    for stored in partition.records[offset - partition.first :]:
        size += len(stored.record)
        if size > max_bytes and len(parts) > 1:
            break
        parts.append(_LENGTH.pack(len(stored.record)) + stored.record)
    return b''.join(parts)


def _records(body: bytes, sizes: StoreLimits) -> list[bytes]:
    if len(body) > sizes.call_bytes:
        raise MalformedCallError('the call is too long')
    records: list[bytes] = []
    place = 0
    while place < len(body):
        length = int.from_bytes(body[place : place + _LENGTH.size], 'big')
        place += _LENGTH.size
        if length > sizes.record_bytes or place + length > len(body):
            raise MalformedCallError('a record is too long or cut short')
        records.append(body[place : place + length])
        place += length
    return records


def _sequence(request: Request) -> ProducerSequence | None:
    if b'Producer' not in request.args:
        return None
    return ProducerSequence(
        _text(request, 'Producer'),
        _whole(request, 'epoch'),
        _optional(request, 'Seq') or 0,
    )


def _text(request: Request, name: str) -> str:
    found: bytes = request.args[name.encode()][0]
    return found.decode()


def _whole(request: Request, name: str) -> int:
    return int(_text(request, name))


def _optional(request: Request, name: str) -> int | None:
    if name.encode() in request.args:
        return _whole(request, name)
    return None
