"""HTTP interface of the store's stand-in, with faults that can be injected."""

from __future__ import annotations

import json
from base64 import b64encode
from collections import deque
from copy import deepcopy
from dataclasses import dataclass, field
from struct import Struct
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from turmericpost_standins.store.consumer_groups import ConsumerGroup
from turmericpost_standins.store.partition import (
    AppendRejection,
    AppendResult,
    Partition,
    ProducerSequence,
)

_MS_PER_S = 1000
_BYTES_PER_KB = 1024
_RECORD_LENGTH = Struct('>I')
_PAGE_HEADER = Struct('>QQ')
_OK = 200
_BAD_REQUEST = 400
_FORBIDDEN = 403
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_TOO_MANY_REQUESTS = 429
_SERVICE_UNAVAILABLE = 503
_INSUFFICIENT_STORAGE = 507
_READ_ONLY_TOPICS = frozenset(('keyed.op', 'keyed.servers'))
_KEYED_PREFIX = 'keyed.'
_ERA_HEADER = b'store-era'
_JOIN_RATE_COST = 0.1  # ten joins count as one write of the rate limit


@dataclass
class StoreFaults:
    """Faults that a test or an operator injects into the store.

    - ``is_down``: close the connection of every request.
    - ``is_silent``: never respond.
    - ``is_busy``: respond to every request with status 503.
    - ``refused_hosts``: respond with status 503 to requests from these hosts.
    - ``delay_s``: process every request after this delay.
    - ``lose_next_answers``: number of appends that take effect but get no
      response.
    - ``late_s``: delay after which those appends take effect; 0 is at once.
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
    """Limits of the store on rates of requests and on sizes."""

    writes_per_s: int = 400
    reads_per_s: int = 2000
    partitions_per_topic: int = 8
    max_record_bytes: int = 262144
    max_request_bytes: int = 2097152
    max_total_bytes: int = 400_000_000
    max_topics: int = 100
    max_page_rows: int = 500


@dataclass
class _RateLimiter:
    """Limits the requests a second; each has a cost, which is 1 by default."""

    max_per_s: int
    recent_requests: deque[tuple[float, float]] = field(default_factory=deque)

    def allow(self, now_s: float, cost: float = 1) -> bool:
        while self.recent_requests and now_s - self.recent_requests[0][0] >= 1:
            self.recent_requests.popleft()
        if (
            sum(request_cost for _, request_cost in self.recent_requests) + cost
            > self.max_per_s
        ):
            return False
        self.recent_requests.append((now_s, cost))
        return True


@dataclass(frozen=True)
class _WaitingRead:
    """A read that waits for the first record at its offset."""

    request: Request
    partition: Partition
    offset: int
    max_bytes: int
    timer: Any


@dataclass(frozen=True)
class StoreCopy:
    """What the store holds at a time, to which it can be set back later."""

    partitions: dict[tuple[str, int], Partition]
    groups: dict[str, ConsumerGroup]


class MalformedCallError(Exception):
    """Raised for a request that the store can't parse."""


class StoreService(Resource):
    """Serves the store's operations, ``/-/log-append`` and the others.

    ``received_operations`` lists the operation of each request, in order.
    Every response states ``era``, unless it is ``None``.
    """

    isLeaf = True  # noqa: WPS115

    def __init__(self, reactor: Any, limits: StoreLimits | None = None) -> None:
        super().__init__()
        self.era: int | None = 1
        self.faults = StoreFaults()
        self.limits = limits or StoreLimits()
        self.received_operations: list[str] = []
        self.groups: dict[str, ConsumerGroup] = {}
        self._reactor = reactor
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._waiting_reads: list[_WaitingRead] = []
        self._write_limiter = _RateLimiter(self.limits.writes_per_s)
        self._read_limiter = _RateLimiter(self.limits.reads_per_s)

    @property
    def waiting_read_count(self) -> int:
        """Number of reads that wait for a record."""
        return len(self._waiting_reads)

    def silence_waiting_reads(self) -> None:
        """Never respond on the connections on which reads wait now.

        The connections stay open.
        """
        for waiting_read in self._waiting_reads:
            waiting_read.timer.cancel()
        self._waiting_reads.clear()

    def partition(self, topic: str, number: int = 0) -> Partition:
        """Return a partition of a topic; create it empty if it does not exist."""
        return self._partitions.setdefault((topic, number), Partition())

    def append(self, topic: str, record: bytes) -> int:
        """Append one record without the checks of a request; return its offset."""
        partition = self.partition(topic)
        partition.append([record], self._reactor.seconds())
        self._finish_ready_reads()
        return partition.end_offset - 1

    def put_keyed(self, topic: str, key: str, record_value: bytes) -> int:
        """Append a record with a key; an empty value removes the key."""
        encoded_key = key.encode()
        return self.append(
            topic, bytes((len(encoded_key),)) + encoded_key + record_value
        )

    def copy(self) -> StoreCopy:
        """Return a copy of all that the store holds."""
        return StoreCopy(deepcopy(self._partitions), deepcopy(self.groups))

    def restore(self, earlier: StoreCopy) -> None:
        """Lose all that was written since a copy was made, and raise the era.

        Connections on which reads wait are closed.
        """
        for waiting_read in tuple(self._waiting_reads):
            waiting_read.request.transport.abortConnection()
        self.silence_waiting_reads()
        self._partitions = deepcopy(earlier.partitions)
        self.groups = deepcopy(earlier.groups)
        if self.era is not None:
            self.era += 1

    def compact(self, topic: str) -> None:
        """Drop all records of a topic but keep the latest value of each key.

        ``log-newest`` still returns these values.
        """
        self.partition(topic).trim(self.partition(topic).end_offset)

    def render_GET(self, request: Request) -> int:
        """Serve an operation that reads; the response is sent later."""
        return self._receive(request)

    def render_POST(self, request: Request) -> int:
        """Serve an operation that writes; the response is sent later."""
        return self._receive(request)

    def _receive(self, request: Request) -> int:
        operation = request.path.decode('latin-1').removeprefix('/-/')
        self.received_operations.append(operation)
        faults = self.faults
        if faults.is_down:
            request.transport.abortConnection()
        elif (
            faults.is_busy
            or request.getClientAddress().host in faults.refused_hosts
        ):
            self._respond(request, _SERVICE_UNAVAILABLE, {})
        elif not faults.is_silent:
            self._reactor.callLater(
                faults.delay_s, self._dispatch, operation, request
            )
        return NOT_DONE_YET

    def _dispatch(self, operation: str, request: Request) -> None:
        handlers = {
            'log-append': self._handle_append,
            'log-read': self._handle_read,
            'log-trim': self._handle_trim,
            'log-newest': self._handle_newest,
            'log-join': self._handle_join,
            'log-leave': self._handle_leave,
            'log-commit': self._handle_commit,
            'log-owners': self._handle_owners,
        }
        handler = handlers.get(operation)
        if handler is None:
            self._respond(request, _NOT_FOUND, {})
            return
        try:
            handler(request)
        except (MalformedCallError, KeyError, ValueError) as error:
            self._respond(request, _BAD_REQUEST, {'why': repr(error)})

    def _handle_append(self, request: Request) -> None:
        topic = _text_argument(request, 'Topic')
        body = request.content.read()
        status = self._append_error_status(topic, len(body))
        if status:
            self._respond(request, status, {})
        elif self.faults.lose_next_answers:
            self.faults.lose_next_answers -= 1
            self._append_without_response(request, topic, body)
        else:
            self._respond_to_append(
                request, self._append_records(request, topic, body)
            )

    def _append_error_status(self, topic: str, added_bytes: int) -> int:
        """Return the HTTP error status for an append, or 0 if it is allowed."""
        if topic in _READ_ONLY_TOPICS:
            return _FORBIDDEN
        if not self._write_limiter.allow(self._reactor.seconds()):
            return _TOO_MANY_REQUESTS
        return (
            _INSUFFICIENT_STORAGE
            if self._exceeds_limits(topic, added_bytes)
            else 0
        )

    def _append_without_response(
        self, request: Request, topic: str, body: bytes
    ) -> None:
        """Append after ``late_s`` and close the connection without a response."""
        self._reactor.callLater(
            self.faults.late_s,
            self._append_records,
            request,
            topic,
            body,
        )
        request.transport.abortConnection()

    def _append_records(
        self,
        request: Request,
        topic: str,
        body: bytes,
    ) -> AppendResult | AppendRejection:
        records = _parse_records(body, self.limits)
        partition = self.partition(topic, _int_argument(request, 'part'))
        outcome = partition.append(
            records,
            self._reactor.seconds(),
            _optional_int_argument(request, 'At'),
            _parse_sequence(request),
        )
        self._finish_ready_reads()
        return outcome

    def _respond_to_append(
        self,
        request: Request,
        outcome: AppendResult | AppendRejection,
    ) -> None:
        if isinstance(outcome, AppendRejection):
            self._respond(request, outcome.status, outcome.body)
        else:
            body = {'Offset': outcome.offset, 'End': outcome.end_offset}
            self._respond(request, _OK, body)

    def _handle_read(self, request: Request) -> None:
        if not self._read_limiter.allow(self._reactor.seconds()):
            self._respond(request, _TOO_MANY_REQUESTS, {})
            return
        topic = _text_argument(request, 'Topic')
        partition = self.partition(topic, _int_argument(request, 'part'))
        offset = _int_argument(request, 'From')
        wait_s = (_optional_int_argument(request, 'WaitMs') or 0) / _MS_PER_S
        max_kb = _optional_int_argument(request, 'MaxKb') or _BYTES_PER_KB
        if offset < partition.first_offset or offset > partition.end_offset:
            self._respond(request, _GONE, {'First': partition.first_offset})
        elif offset >= partition.end_offset and wait_s:
            timer = self._reactor.callLater(
                wait_s, self._finish_timed_out_read, request
            )
            request.notifyFinish().addErrback(
                self._discard_closed_read, request
            )
            self._waiting_reads.append(
                _WaitingRead(
                    request,
                    partition,
                    offset,
                    max_kb * _BYTES_PER_KB,
                    timer,
                ),
            )
        else:
            self._send_body(
                request, _encode_page(partition, offset, max_kb * _BYTES_PER_KB)
            )

    def _handle_trim(self, request: Request) -> None:
        topic = _text_argument(request, 'Topic')
        if topic in _READ_ONLY_TOPICS:
            self._respond(request, _FORBIDDEN, {})
            return
        partition = self.partition(topic, _int_argument(request, 'part'))
        partition.trim(_int_argument(request, 'Before'))
        self._respond(request, _OK, {})

    def _handle_newest(self, request: Request) -> None:
        topic = _text_argument(request, 'Topic')
        if not topic.startswith(_KEYED_PREFIX):
            raise MalformedCallError(topic)
        partition = self.partition(topic, _int_argument(request, 'part'))
        after_key = request.args.get(b'after', [b''])[0]
        keys = sorted(key for key in partition.latest_by_key if key > after_key)
        page = keys[: self.limits.max_page_rows]
        rows = [
            {
                'Key': key.decode(),
                'Value': b64encode(partition.latest_by_key[key][1]).decode(),
                'Offset': partition.latest_by_key[key][0],
            }
            for key in page
        ]
        has_more = len(page) < len(keys)
        body = {'items': rows, 'More': has_more, 'End': partition.end_offset}
        self._respond(request, _OK, body)

    def _handle_join(self, request: Request) -> None:
        if not self._write_limiter.allow(
            self._reactor.seconds(), _JOIN_RATE_COST
        ):
            self._respond(request, _TOO_MANY_REQUESTS, {})
            return
        request_fields = json.loads(request.content.read())
        group = self._group(request_fields['group'])
        generation = group.join(
            request_fields['Member'],
            tuple(request_fields['Topics']),
            request_fields['TtlMs'] / _MS_PER_S,
            self._reactor.seconds(),
        )
        body = {
            'Generation': generation,
            'TtlMs': request_fields['TtlMs'],
            'parts': group.list_assignments(request_fields['Member']),
        }
        self._respond(request, _OK, body)

    def _handle_leave(self, request: Request) -> None:
        request_fields = json.loads(request.content.read())
        self._group(request_fields['group']).leave(request_fields['Member'])
        self._respond(request, _OK, {})

    def _handle_commit(self, request: Request) -> None:
        request_fields = json.loads(request.content.read())
        group = self._group(request_fields['group'])
        is_committed = group.commit(
            request_fields['Member'],
            (request_fields['Topic'], request_fields['part']),
            request_fields['Offset'],
            request_fields['Generation'],
        )
        self._respond(request, _OK if is_committed else _CONFLICT, {})

    def _handle_owners(self, request: Request) -> None:
        group = self._group(_text_argument(request, 'group'))
        group.expire(self._reactor.seconds())
        self._respond(request, _OK, {'parts': group.list_assignments()})

    def _group(self, name: str) -> ConsumerGroup:
        return self.groups.setdefault(
            name, ConsumerGroup(self.limits.partitions_per_topic)
        )

    def _exceeds_limits(self, topic: str, added_bytes: int) -> bool:
        topics = {name for name, _ in self._partitions}
        if topic not in topics and len(topics) >= self.limits.max_topics:
            return True
        used_bytes = sum(
            len(stored.record)
            for partition in self._partitions.values()
            for stored in partition.records
        )
        return used_bytes + added_bytes > self.limits.max_total_bytes

    def _finish_ready_reads(self) -> None:
        """Respond to the waiting reads whose records have been appended."""
        for waiting_read in tuple(self._waiting_reads):
            if waiting_read.offset < waiting_read.partition.end_offset:
                self._finish_waiting_read(waiting_read)

    def _finish_timed_out_read(self, request: Request) -> None:
        for waiting_read in tuple(self._waiting_reads):
            if waiting_read.request is request:
                self._finish_waiting_read(waiting_read)

    def _finish_waiting_read(self, waiting_read: _WaitingRead) -> None:
        self._waiting_reads.remove(waiting_read)
        if waiting_read.timer.active():
            waiting_read.timer.cancel()
        body = _encode_page(
            waiting_read.partition, waiting_read.offset, waiting_read.max_bytes
        )
        self._send_body(waiting_read.request, body)

    def _discard_closed_read(self, _failure: object, request: Request) -> None:
        for waiting_read in tuple(self._waiting_reads):
            if waiting_read.request is request:
                self._waiting_reads.remove(waiting_read)
                if waiting_read.timer.active():
                    waiting_read.timer.cancel()

    def _respond(
        self,
        request: Request,
        status: int,
        body: dict[str, Any],
    ) -> None:
        if request.channel is None or request.finished:
            return
        self._state_era(request)
        request.setResponseCode(status)
        request.setHeader(b'content-type', b'application/json')
        request.write(json.dumps(body).encode())
        request.finish()

    def _send_body(self, request: Request, body: bytes) -> None:
        if request.channel is None or request.finished:
            return
        self._state_era(request)
        request.write(body)
        request.finish()

    def _state_era(self, request: Request) -> None:
        if self.era is not None:
            request.setHeader(_ERA_HEADER, b'%d' % self.era)


def _encode_page(partition: Partition, offset: int, max_bytes: int) -> bytes:
    """Encode the response to a read.

    It has the end offset, the first offset and the records from ``offset`` on, up
    to ``max_bytes`` but at least one, each after its length.
    """
    chunks = [_PAGE_HEADER.pack(partition.end_offset, partition.first_offset)]
    size = 0
    for stored_record in partition.records[offset - partition.first_offset :]:
        size += len(stored_record.record)
        if size > max_bytes and len(chunks) > 1:
            break
        chunks.append(
            _RECORD_LENGTH.pack(len(stored_record.record))
            + stored_record.record
        )
    return b''.join(chunks)


def _parse_records(body: bytes, limits: StoreLimits) -> list[bytes]:
    if len(body) > limits.max_request_bytes:
        raise MalformedCallError('the call is too long')
    records: list[bytes] = []
    position = 0
    while position < len(body):
        length = int.from_bytes(
            body[position : position + _RECORD_LENGTH.size], 'big'
        )
        position += _RECORD_LENGTH.size
        if length > limits.max_record_bytes or position + length > len(body):
            raise MalformedCallError('a record is too long or cut short')
        records.append(body[position : position + length])
        position += length
    return records


def _parse_sequence(request: Request) -> ProducerSequence | None:
    if b'Producer' not in request.args:
        return None
    return ProducerSequence(
        _text_argument(request, 'Producer'),
        _int_argument(request, 'epoch'),
        _optional_int_argument(request, 'Seq') or 0,
    )


def _text_argument(request: Request, name: str) -> str:
    encoded: bytes = request.args[name.encode()][0]
    return encoded.decode()


def _int_argument(request: Request, name: str) -> int:
    return int(_text_argument(request, name))


def _optional_int_argument(request: Request, name: str) -> int | None:
    if name.encode() in request.args:
        return _int_argument(request, name)
    return None
