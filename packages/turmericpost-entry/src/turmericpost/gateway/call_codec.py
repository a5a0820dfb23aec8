"""Codec interface for heads of calls, responses and endpoint requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from turmericpost.http1.heads import RequestHead, ResponseHead
from turmericpost_core.grants.permits import ReportedLoad


@dataclass(frozen=True, slots=True)
class CallHead:
    """Decoded head of a call.

    ``time_left_s`` is how long the caller waits, ``None`` if the head states
    no limit. ``call_id`` is the request id, empty if there is none.
    """

    host: str
    path: str
    call_id: str
    time_left_s: float | None


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """Decoded head of a backend server's response.

    ``not_run`` is set if the backend server states that it did not run the
    request, ``is_wrong_backend`` if another one now has its address.
    ``backend_id`` is ``None`` if the response does not name its server.
    ``requests_per_s`` is the rate that the server accepts from all VMs
    together, ``None`` if it states none; ``has_rate_limit`` is set, too, if what
    it states is invalid. ``is_leaving`` is set if the server states that it
    leaves. ``pause_s`` is the time in seconds for which it wants no requests from
    this VM, ``None`` if it states none; ``has_invalid_pause`` is set if what it
    states is invalid.
    """

    status: int
    not_run: bool
    is_wrong_backend: bool
    reported_load: ReportedLoad | None
    backend_id: str | None
    requests_per_s: float | None = None
    has_rate_limit: bool = False
    is_leaving: bool = False
    pause_s: float | None = None
    has_invalid_pause: bool = False


@dataclass(frozen=True, slots=True)
class AddressQuery:
    """A caller's query for the VMs to connect to for calls to a host.

    ``region`` and ``failure_domain`` are those of the caller.
    """

    host: str
    region: str
    failure_domain: str


class CallCodec(Protocol):
    """Decodes and encodes heads of calls, probes and endpoint requests."""

    def read_call(self, head: RequestHead) -> CallHead:
        """Decode the request head of a call."""

    def forwarded_head(
        self,
        head: RequestHead,
        backend_id: str,
        time_left_s: float,
    ) -> bytes:
        """Return the encoded request head to send to a backend server."""

    def probe_head(self, path: str, address: str) -> bytes:
        """Return the encoded request that probes a backend server."""

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Decode the head of a backend server's response."""

    def is_stale_response(self, head: ResponseHead, call_id: str) -> bool:
        """Return whether a response does not have the request id of the call.

        ``call_id`` is empty for a call without an id and for a probe.
        """

    def read_address_query(
        self,
        head: RequestHead,
    ) -> AddressQuery | None:
        """Decode an address query; return ``None`` for other requests."""

    def address_response(
        self,
        addresses: tuple[str, ...],
        valid_s: float,
    ) -> bytes:
        """Return the response body of an address query.

        Callers may cache the addresses for ``valid_s`` seconds.
        """

    def is_readiness_request(self, head: RequestHead) -> bool:
        """Return whether the request is a readiness check of this VM."""

    def is_metrics_request(self, head: RequestHead) -> bool:
        """Return whether the request asks for the metrics."""
