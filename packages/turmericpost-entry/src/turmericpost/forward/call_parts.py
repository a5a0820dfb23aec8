"""Constructor inputs of a forwarded call, and its controller's interface."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol as Interface

from turmericpost.forward.buffered_response import BufferedResponse
from turmericpost.forward.call_facts import CallRequest
from turmericpost.forward.observer import CallObserver
from turmericpost.forward.relays import RelayKind
from turmericpost.forward.request_body import RequestBody
from turmericpost.http1.exchange import Exchange
from turmericpost_core.membership.vm_records import VmRecord
from turmericpost_core.outcome.ledger import CallLedger
from turmericpost_core.outcome.reasons import (
    Outcome,
    RefusalReason,
    RetryReason,
)
from turmericpost_core.routing.table import Route

if TYPE_CHECKING:
    from turmericpost.forward.call import ForwardedCall


class CallController(Interface):
    """Dispatches, retries and counts calls; implemented by ``Forwarder``."""

    def now_s(self) -> float:
        """Return the current time in monotonic seconds."""

    def dispatch(self, call: ForwardedCall) -> None:
        """Start an attempt, or relay, refuse or queue the call.

        A queued call waits for a free slot.
        """

    def stop_waiting(self, call: ForwardedCall) -> None:
        """Remove a call from the queue."""

    def relay_declined(
        self,
        call: ForwardedCall,
        kind: RelayKind | None,
    ) -> None:
        """Dispatch a relayed call again after the other VM declined it."""

    def offer_accepted(self, call: ForwardedCall) -> None:
        """Record that another VM accepted an offered call."""

    def relay_to_key_owner(self, call: ForwardedCall, owner: VmRecord) -> None:
        """Relay a call to the VM that owns its operation key."""

    def slot_freed(self, service: str) -> None:
        """Start queued calls of a service that has a free slot."""

    def may_retry(self, call: ForwardedCall) -> bool:
        """Return whether the attempt limit and retry budget allow a retry."""

    def record_retry(self, call: ForwardedCall, reason: RetryReason) -> None:
        """Count a retry and deduct it from the retry budget."""

    def record_completed(self, call: ForwardedCall) -> None:
        """Count a call that received a complete response."""

    def record_refused(
        self,
        call: ForwardedCall,
        outcome: Outcome,
        reason: RefusalReason,
    ) -> None:
        """Count and log a call that ended without a complete response."""


@dataclass(frozen=True)
class CallInputs:
    """Objects that a forwarded call is created with.

    ``incoming_relay_kind`` says why another entry VM relayed the call;
    ``None`` if it came from a caller.
    """

    exchange: Exchange
    request: CallRequest
    response: BufferedResponse
    body: RequestBody
    observer: CallObserver | None = None
    incoming_relay_kind: RelayKind | None = None


def new_call_ledger(inputs: CallInputs, route: Route) -> CallLedger:
    """Return the ledger of a new call, which has no attempts yet."""
    is_first = (
        inputs.request.call_depth == 0 and inputs.incoming_relay_kind is None
    )
    retryable = route.idempotent and is_first
    return CallLedger(retryable=retryable)


def deadline_ms(inputs: CallInputs, route: Route) -> int:
    """Return the deadline of a call in milliseconds after its start.

    It is the deadline that the caller requested, or else the default of the
    route.
    """
    requested_ms = inputs.request.deadline_ms
    return route.default_deadline_ms if requested_ms is None else requested_ms
