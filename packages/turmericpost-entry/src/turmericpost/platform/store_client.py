"""HTTP client of the platform's store."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from operator import attrgetter
from types import MappingProxyType
from typing import Any, TypeVar
from urllib.parse import urlencode

from result import Err, Ok, Result

from turmericpost.fleet.store import (
    InvalidRecord,
    OperatorRecords,
    Registrations,
    StoreOperationOutcome,
)
from turmericpost.gateway.settings import Address
from turmericpost.http1.serial_http_client import (
    HttpRequest,
    HttpRequestError,
    HttpResponse,
    SerialHttpClient,
)
from turmericpost.platform.operator_records import decode_operator_record
from turmericpost.platform.registry_records import (
    decode_registration,
    decode_vm,
    encode_vm,
)
from turmericpost.platform.store_codec import (
    KeyedRead,
    KeyedRecord,
    Listing,
    decode_append,
    decode_detail,
    decode_first_offset,
    decode_keyed_read,
    decode_listing,
    decode_read,
    encode_keyed,
    encode_record,
)
from turmericpost.platform.store_era import ERA_HEADER, decode_era
from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost.store.record_log import LogBatch
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.membership.domain_view import Vm

_OPERATOR_TOPIC = 'keyed.op'
_BACKENDS_TOPIC = 'keyed.servers'
_VMS_TOPIC = 'keyed.turmericpost-vms'

CONNECT_TIMEOUT_S = 0.4
"""Timeout of connecting: fifty times the longest latency to the store."""

CALL_TIMEOUT_S = 0.6
"""Timeout of a short operation: over a hundred times the usual 4 ms."""

LIST_TIMEOUT_S = 2.0
"""Timeout of one page of a listing, which may be a megabyte."""

MAX_OPERATOR_READ_KB = 64
"""Limit on the records of one read of the operator's topic.

A read returns at least one record. A configuration may have 256 KB, so a read
does not return a second one where it would delay a newer one.
"""

MAX_REGISTRY_READ_KB = 256
"""Limit on the records of one read of the registry.

Over a link of 5 Mbit/s that much arrives within ``CALL_TIMEOUT_S``.
"""

WATCH_MARGIN_S = 0.3
"""Time for the response to a read after its wait has ended."""

_OK = 200
_MS_PER_S = 1000
_ERROR_KINDS = MappingProxyType(
    {
        403: StoreErrorKind.FORBIDDEN,
        409: StoreErrorKind.CONFLICT,
        410: StoreErrorKind.EXPIRED,
        412: StoreErrorKind.CONFLICT,
        429: StoreErrorKind.OVERLOADED,
        503: StoreErrorKind.OVERLOADED,
        507: StoreErrorKind.FULL,
    }
)

_Decoded = TypeVar('_Decoded')


@dataclass(frozen=True, slots=True)
class _Answer:
    """Body of a successful response, and the era that it states."""

    body: bytes
    era: int | None


def _ignore_number(_number: int) -> None:
    """Ignore the size of a request or response, or the era of the store."""


class StoreClient:
    """Reads from and writes to the store over persistent connections.

    Concurrent operations use separate connections. ``outcomes`` counts the
    operations by outcome. ``count_bytes`` is called with the size of each
    request and response.
    """

    def __init__(
        self,
        reactor: Any,
        address: Address,
        count_bytes: Callable[[int], None] = _ignore_number,
    ) -> None:
        self.outcomes: Counter[StoreOperationOutcome] = Counter()
        self._reactor = reactor
        self._address = address
        self._count_bytes = count_bytes
        self._era_listener: Callable[[int], None] = _ignore_number
        self._idle_clients: list[SerialHttpClient] = []
        self._busy_clients: set[SerialHttpClient] = set()
        self._watch_client: SerialHttpClient | None = None

    def on_era(self, listener: Callable[[int], None]) -> None:
        """Call ``listener`` with the era that each response states."""
        self._era_listener = listener

    async def list_backends(self) -> Result[Registrations, StoreError]:
        """Return the newest registration of every backend server."""
        listed = await self._list('list-backends', _BACKENDS_TOPIC)
        return listed.map(_registrations)

    async def read_backends(
        self,
        begin: StorePosition,
    ) -> Result[Registrations, StoreError]:
        """Return the registrations from a position on, without waiting.

        At most ``MAX_REGISTRY_READ_KB`` of records are read.
        """
        request = _read_request(
            _BACKENDS_TOPIC, begin.offset, max_kb=MAX_REGISTRY_READ_KB
        )
        answer = await self._call('read-backends', request, CALL_TIMEOUT_S)
        return _decode_keyed_answer(begin, answer).map(_registrations)

    async def list_operator(self) -> Result[OperatorRecords, StoreError]:
        """Return the current configuration and evacuations."""
        listed = await self._list('list-operator', _OPERATOR_TOPIC)
        return listed.map(_operator_records)

    async def watch_operator(
        self,
        begin: StorePosition,
        wait_s: float,
    ) -> Result[OperatorRecords, StoreError]:
        """Return records of the operator from a position on.

        Waits up to ``wait_s`` seconds for the first record. At most
        ``MAX_OPERATOR_READ_KB`` of records or one record are read.
        """
        client = self._acquire_client()
        self._watch_client = client
        query = _read_request(
            _OPERATOR_TOPIC, begin.offset, wait_s, MAX_OPERATOR_READ_KB
        )
        answer = await self._call(
            'watch-operator', query, wait_s + WATCH_MARGIN_S, client
        )
        self._watch_client = None
        return _decode_keyed_answer(begin, answer).map(_operator_records)

    def stop_watching(self) -> None:
        """Abort the current ``watch_operator`` call, which returns an error."""
        if self._watch_client is not None:
            self._watch_client.give_up()

    async def announce(self, vm: Vm) -> Result[None, StoreError]:
        """Write the addresses of this VM to the store."""
        query = _request_target('log-append', Topic=_VMS_TOPIC, part=0)
        body = encode_keyed(vm.name, encode_vm(vm))
        request = HttpRequest('POST', query, body)
        answer = await self._call('announce', request, CALL_TIMEOUT_S)
        return answer.map(lambda _: None)

    async def list_vms(self) -> Result[tuple[Vm, ...], StoreError]:
        """Return all VMs that announced themselves."""
        listed = await self._list('list-vms', _VMS_TOPIC)
        return listed.map(_vms)

    def close(self) -> None:
        """Close every connection."""
        for client in (*self._idle_clients, *self._busy_clients):
            client.close()

    async def append(
        self,
        stream: str,
        record: bytes,
    ) -> Result[StorePosition, StoreError]:
        """Append a record without key and return its position."""
        query = _request_target('log-append', Topic=stream, part=0)
        request = HttpRequest('POST', query, encode_record(record))
        answer = await self._call('append', request, CALL_TIMEOUT_S)
        return answer.and_then(
            lambda response: decode_append(response.body, response.era)
        )

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_s: float,
    ) -> Result[LogBatch, StoreError]:
        """Return records without keys from an offset on.

        Waits up to ``wait_s`` seconds for the first record.
        """
        request = _read_request(stream, from_offset, wait_s)
        answer = await self._call('read', request, CALL_TIMEOUT_S + wait_s)
        return answer.and_then(
            lambda read: decode_read(from_offset, read.body, read.era)
        )

    async def _list(
        self,
        operation: str,
        topic: str,
    ) -> Result[KeyedRead, StoreError]:
        """Return the records of all pages of a listing.

        The topic may change between pages, so the position to continue from is
        the end of the first page. Pages of two eras are no listing.
        """
        records: list[KeyedRecord] = []
        end: StorePosition | None = None
        after: str | None = None
        while True:
            page = await self._list_page(operation, topic, after)
            if page.is_err():
                return Err(page.unwrap_err())
            listing = page.unwrap()
            records.extend(listing.records)
            end = listing.end if end is None else end
            if not listing.end.is_of_era(end.era):
                return Err(StoreError(StoreErrorKind.OTHER_ERA))
            if not (listing.has_more and listing.records):
                return Ok(KeyedRead(tuple(records), end, end))
            after = listing.records[-1].key

    async def _list_page(
        self,
        operation: str,
        topic: str,
        after: str | None,
    ) -> Result[Listing, StoreError]:
        query = {'Topic': topic, 'part': 0}
        if after is not None:
            query['after'] = after
        request = HttpRequest('GET', _request_target('log-newest', **query))
        answer = await self._call(operation, request, LIST_TIMEOUT_S)
        return answer.and_then(lambda page: decode_listing(page.body, page.era))

    async def _call(
        self,
        operation: str,
        request: HttpRequest,
        timeout_s: float,
        client: SerialHttpClient | None = None,
    ) -> Result[_Answer, StoreError]:
        http_client = self._acquire_client() if client is None else client
        exchanged = await http_client.send(request, timeout_s)
        self._busy_clients.discard(http_client)
        self._idle_clients.append(http_client)
        self._count_bytes(len(request.target) + len(request.body))
        if exchanged.err() is HttpRequestError.NO_RESPONSE:
            self._close_idle()
        answer = exchanged.map_err(_store_error).and_then(self._answer_or_error)
        outcome = answer.unwrap_err().kind.value if answer.is_err() else 'ok'
        self.outcomes[StoreOperationOutcome(operation, outcome)] += 1
        return answer

    def _close_idle(self) -> None:
        """Close idle connections, which may have gone silent, too."""
        for client in self._idle_clients:
            client.close()

    def _answer_or_error(
        self, response: HttpResponse
    ) -> Result[_Answer, StoreError]:
        self._count_bytes(len(response.body))
        era = decode_era(response.first(ERA_HEADER))
        if era is not None:
            self._era_listener(era)
        if response.status == _OK:
            return Ok(_Answer(response.body, era))
        kind = _ERROR_KINDS.get(
            response.status, StoreErrorKind.MALFORMED_RESPONSE
        )
        detail = f'{response.status} {decode_detail(response.body)}'
        earliest = decode_first_offset(response.body)
        return Err(StoreError(kind, detail, earliest, era))

    def _acquire_client(self) -> SerialHttpClient:
        if self._idle_clients:
            client = self._idle_clients.pop()
        else:
            client = SerialHttpClient(
                self._reactor, *self._address, CONNECT_TIMEOUT_S
            )
        self._busy_clients.add(client)
        return client


def _store_error(error: HttpRequestError) -> StoreError:
    return StoreError(StoreErrorKind(error.value), error.value)


def _decode_keyed_answer(
    begin: StorePosition, answer: Result[_Answer, StoreError]
) -> Result[KeyedRead, StoreError]:
    if answer.is_err():
        return Err(_error_at(begin, answer.unwrap_err()))
    read = answer.unwrap()
    decoded = decode_read(begin.offset, read.body, read.era)
    return decoded.and_then(lambda batch: decode_keyed_read(begin, batch))


def _error_at(begin: StorePosition, error: StoreError) -> StoreError:
    """Return the error of a read from a position.

    A position of another era has not expired.
    """
    is_expired = error.kind is StoreErrorKind.EXPIRED
    if is_expired and error.era is not None and not begin.is_of_era(error.era):
        return replace(error, kind=StoreErrorKind.OTHER_ERA)
    return error


def _registrations(read: KeyedRead) -> Registrations:
    """Decode registrations; an invalid one removes what its key registered."""
    valid, invalid = _decode_all(read, decode_registration)
    removals = tuple(
        Registration(record.offset, record.key, None) for record in invalid
    )
    records = sorted((*valid, *removals), key=attrgetter('offset'))
    return Registrations(
        tuple(records), invalid, read.next_offset, read.end_offset
    )


def _operator_records(read: KeyedRead) -> OperatorRecords:
    records, invalid = _decode_all(read, decode_operator_record)
    return OperatorRecords(records, invalid, read.next_offset, read.end_offset)


def _vms(read: KeyedRead) -> tuple[Vm, ...]:
    return _decode_all(read, decode_vm)[0]


def _decode_all(
    read: KeyedRead,
    decode: Callable[[KeyedRecord], Result[_Decoded, str]],
) -> tuple[tuple[_Decoded, ...], tuple[InvalidRecord, ...]]:
    decoded = [(record, decode(record)) for record in read.records]
    valid = tuple(outcome.unwrap() for _, outcome in decoded if outcome.is_ok())
    invalid = tuple(
        InvalidRecord(record.offset, record.key, outcome.unwrap_err())
        for record, outcome in decoded
        if outcome.is_err()
    )
    return valid, invalid


def _read_request(
    topic: str,
    from_offset: int,
    wait_s: float = 0,
    max_kb: int = 0,
) -> HttpRequest:
    query = {'Topic': topic, 'part': 0, 'From': from_offset}
    if max_kb:
        query['MaxKb'] = max_kb
    if wait_s:
        query['WaitMs'] = int(wait_s * _MS_PER_S)
    return HttpRequest('GET', _request_target('log-read', **query))


def _request_target(call: str, **fields: object) -> bytes:
    return f'/-/{call}?{urlencode(fields)}'.encode('ascii')
