"""How calls are spelled towards callers and backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from turmericpost.http1.heads import RequestHead, ResponseHead
from turmericpost_core.grants.permits import ReportedLoad


@dataclass(frozen=True, slots=True)
class CallHead:
    """What a request head says of its call.

    ``time_left_s`` is how long the caller waits, ``None`` if it does not
    say; ``call_id`` names this attempt of the caller, empty if it has none.
    """

    host: str
    path: str
    call_id: str
    time_left_s: float | None


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """What the head of a backend server's answer says.

    ``not_run`` is the server's word that it did not run the request,
    ``is_other_backend`` that another server has the address now.
    ``backend_id`` is ``None`` where the answer does not name its server.
    """

    status: int
    not_run: bool
    is_other_backend: bool
    reported_load: ReportedLoad | None
    backend_id: str | None


@dataclass(frozen=True, slots=True)
class AddressQuery:
    """Which VMs a caller should connect to for a host, and from where."""

    host: str
    region: str
    failure_domain: str


class CallCodec(Protocol):
    """Reads and writes the heads of calls."""

    def read_call(self, head: RequestHead) -> CallHead:
        """Return what a request head says."""

    def onward_head(
        self,
        head: RequestHead,
        backend_id: str,
        time_left_s: float,
    ) -> bytes:
        """Return the head as it goes to a backend server."""

    def probe_head(self, path: str, address: str) -> bytes:
        """Return the request that asks a server for its load."""

    def read_answer(self, head: ResponseHead) -> ResponseInfo:
        """Return what the head of an answer says."""

    def is_stale_response(self, head: ResponseHead, call_id: str) -> bool:
        """Return whether an answer names another call than this one."""

    def read_address_question(
        self,
        head: RequestHead,
    ) -> AddressQuery | None:
        """Return the question for addresses, ``None`` for other requests."""

    def address_answer(
        self,
        addresses: tuple[str, ...],
        valid_s: float,
    ) -> bytes:
        """Return the body that answers a question for addresses."""

    def is_readiness_question(self, head: RequestHead) -> bool:
        """Return whether the request asks if this VM is ready."""

    def is_metrics_question(self, head: RequestHead) -> bool:
        """Return whether the request asks for the metrics."""
