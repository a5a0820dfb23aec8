"""Client of the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, TypeVar
from urllib.parse import urlencode

from result import Err, Ok, Result

from turmericpost.fleet.store import (
    InvalidRecord,
    OperatorRecords,
    Registrations,
    StoreError,
    StoreErrorKind,
)
from turmericpost.gateway.settings import Address
from turmericpost.http1.lane import Lane, LaneAnswer, LaneError, LaneRequest
from turmericpost.platform.operator_records import decode_operator_record
from turmericpost.platform.registry_records import (
    decode_registration,
    decode_vm,
    encode_vm,
)
from turmericpost.platform.store_wire import (
    KeyedRead,
    KeyedRecord,
    Listing,
    decode_first,
    decode_listing,
    decode_read,
    encode_keyed,
)
from turmericpost_core.membership.domain_view import Vm

_OPERATOR_TOPIC = 'keyed.op'
_BACKENDS_TOPIC = 'keyed.servers'
_VMS_TOPIC = 'keyed.turmericpost-vms'

CONNECT_TIMEOUT_S = 0.4
"""Bound on connecting: fifty times the longest way to the store."""

CALL_TIMEOUT_S = 0.6
"""Bound on a short call: a hundred times its usual answer of 4 ms."""

LIST_TIMEOUT_S = 2.0
"""Bound on a listing, which may be a megabyte."""

WATCH_S = 8.0
"""Time that a read waits for records; fewer calls than a minute's 10."""

_WATCH_SLACK_S = 1.0
_OK = 200
_MS_PER_S = 1000
_ERRORS = MappingProxyType(
    {
        403: StoreErrorKind.FORBIDDEN,
        409: StoreErrorKind.CONFLICT,
        410: StoreErrorKind.EXPIRED,
        412: StoreErrorKind.CONFLICT,
        429: StoreErrorKind.TURNED_AWAY,
        503: StoreErrorKind.TURNED_AWAY,
        507: StoreErrorKind.FULL,
    }
)

_Decoded = TypeVar('_Decoded')


class StoreClient:
    """Calls of the store; one connection for waits, one for the rest."""

    def __init__(self, reactor: Any, address: Address) -> None:
        self.calls = 0
        self._lane = Lane(reactor, *address, CONNECT_TIMEOUT_S)
        self._watch_lane = Lane(reactor, *address, CONNECT_TIMEOUT_S)
        self._write_lane = Lane(reactor, *address, CONNECT_TIMEOUT_S)

    async def list_backends(self) -> Result[Registrations, StoreError]:
        """Return the newest registration of every backend server."""
        listed = await self._list(self._lane, _BACKENDS_TOPIC)
        return listed.map(_registrations)

    async def read_backends(
        self,
        from_offset: int,
    ) -> Result[Registrations, StoreError]:
        """Return the registrations from an offset on, at once."""
        read = await self._read(self._lane, _BACKENDS_TOPIC, from_offset)
        return read.map(_registrations)

    async def list_operator(self) -> Result[OperatorRecords, StoreError]:
        """Return the configuration and the evacuations in force."""
        listed = await self._list(self._watch_lane, _OPERATOR_TOPIC)
        return listed.map(_operator_records)

    async def watch_operator(
        self,
        from_offset: int,
    ) -> Result[OperatorRecords, StoreError]:
        """Wait for records of the operator from an offset on."""
        read = await self._read(
            self._watch_lane,
            _OPERATOR_TOPIC,
            from_offset,
            WATCH_S,
        )
        return read.map(_operator_records)

    def stop_watching(self) -> None:
        """End the wait for records of the operator."""
        self._watch_lane.give_up()

    async def announce(self, vm: Vm) -> Result[None, StoreError]:
        """Write where this VM is to be found."""
        query = _query('log-append', Topic=_VMS_TOPIC, part=0)
        body = encode_keyed(vm.name, encode_vm(vm))
        request = LaneRequest('POST', query, body)
        sent = await self._call(self._write_lane, request, CALL_TIMEOUT_S)
        return Err(sent.unwrap_err()) if sent.is_err() else Ok(None)

    async def list_vms(self) -> Result[tuple[Vm, ...], StoreError]:
        """Return every VM that announced itself."""
        listed = await self._list(self._write_lane, _VMS_TOPIC)
        return listed.map(_vms)

    def close(self) -> None:
        """Close every connection."""
        for lane in (self._lane, self._watch_lane, self._write_lane):
            lane.close()

    async def _list(
        self,
        lane: Lane,
        topic: str,
    ) -> Result[KeyedRead, StoreError]:
        """Return all pages of a listing.

        Pages are not a snapshot: reading goes on from the end of the first.
        """
        records: list[KeyedRecord] = []
        end: int | None = None
        after: str | None = None
        while True:
            page = await self._page(lane, topic, after)
            if page.is_err():
                return Err(page.unwrap_err())
            listing = page.unwrap()
            records.extend(listing.records)
            end = listing.end if end is None else end
            if not (listing.has_more and listing.records):
                return Ok(KeyedRead(tuple(records), end))
            after = listing.records[-1].key

    async def _page(
        self,
        lane: Lane,
        topic: str,
        after: str | None,
    ) -> Result[Listing, StoreError]:
        query = {'Topic': topic, 'part': 0}
        if after is not None:
            query['after'] = after
        request = LaneRequest('GET', _query('log-newest', **query))
        called = await self._call(lane, request, LIST_TIMEOUT_S)
        return called.and_then(decode_listing)

    async def _read(
        self,
        lane: Lane,
        topic: str,
        from_offset: int,
        wait_s: float = 0,
    ) -> Result[KeyedRead, StoreError]:
        query = {'Topic': topic, 'part': 0, 'From': from_offset}
        timeout_s = CALL_TIMEOUT_S
        if wait_s:
            query['WaitMs'] = int(wait_s * _MS_PER_S)
            timeout_s = wait_s + _WATCH_SLACK_S
        request = LaneRequest('GET', _query('log-read', **query))
        called = await self._call(lane, request, timeout_s)
        return called.and_then(lambda body: decode_read(from_offset, body))

    async def _call(
        self,
        lane: Lane,
        request: LaneRequest,
        timeout_s: float,
    ) -> Result[bytes, StoreError]:
        self.calls += 1
        answered = await lane.send(request, timeout_s)
        return answered.map_err(_lane_error).and_then(_body)


def _body(answer: LaneAnswer) -> Result[bytes, StoreError]:
    if answer.status == _OK:
        return Ok(answer.body)
    kind = _ERRORS.get(answer.status, StoreErrorKind.UNREADABLE)
    detail = f'{answer.status} {decode_first(answer.body)}'
    return Err(StoreError(kind, detail))


def _lane_error(error: LaneError) -> StoreError:
    return StoreError(StoreErrorKind(error.value))


def _registrations(read: KeyedRead) -> Registrations:
    records, invalid = _decoded(read, decode_registration)
    return Registrations(records, invalid, read.next_offset)


def _operator_records(read: KeyedRead) -> OperatorRecords:
    records, invalid = _decoded(read, decode_operator_record)
    return OperatorRecords(records, invalid, read.next_offset)


def _vms(read: KeyedRead) -> tuple[Vm, ...]:
    return _decoded(read, decode_vm)[0]


def _decoded(
    read: KeyedRead,
    decode: Callable[[KeyedRecord], Result[_Decoded, str]],
) -> tuple[tuple[_Decoded, ...], tuple[InvalidRecord, ...]]:
    decoded = [(record, decode(record)) for record in read.records]
    valid = tuple(one.unwrap() for _, one in decoded if one.is_ok())
    invalid = tuple(
        InvalidRecord(record.offset, record.key, one.unwrap_err())
        for record, one in decoded
        if one.is_err()
    )
    return valid, invalid


def _query(call: str, **fields: object) -> bytes:
    return f'/-/{call}?{urlencode(fields)}'.encode('ascii')
