"""What a forwarded call is made of, and what it needs of its VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol as Interface

from turmericpost.forward.buffered_response import HeldAnswer
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


class CallHost(Interface):
    """The entry VM as a call sees it."""

    def now_s(self) -> float:
        """Return monotonic seconds."""

    def dispatch(self, call: ForwardedCall) -> None:
        """Start an attempt, or let the call wait for a free slot."""

    def stop_waiting(self, call: ForwardedCall) -> None:
        """Take a call out of the waiting ones."""

    def turned_down(
        self,
        call: ForwardedCall,
        kind: RelayKind | None,
    ) -> None:
        """Find another place for a call that another VM did not take."""

    def offer_taken(self, call: ForwardedCall) -> None:
        """Note that another VM took a call offered to it."""

    def relay_to_owner(self, call: ForwardedCall, owner: VmRecord) -> None:
        """Send a call to the VM that owns its operation key."""

    def slot_freed(self, service: str) -> None:
        """Give the freed slot to a waiting call."""

    def may_retry(self, call: ForwardedCall) -> bool:
        """Return whether limits and budget allow another attempt."""

    def record_retry(self, call: ForwardedCall, reason: RetryReason) -> None:
        """Count a retry and take it from the budget."""

    def record_answered(self, call: ForwardedCall) -> None:
        """Count a call that got its whole answer."""

    def record_refused(
        self,
        call: ForwardedCall,
        outcome: Outcome,
        reason: RefusalReason,
    ) -> None:
        """Count a refusal."""


@dataclass(frozen=True)
class CallParts:
    """What a call is made of.

    ``arrived_as`` says why another entry VM sent the call, if one did.
    """

    exchange: Exchange
    request: CallRequest
    answer: HeldAnswer
    body: RequestBody
    observer: CallObserver | None = None
    arrived_as: RelayKind | None = None


def new_ledger(parts: CallParts, route: Route) -> CallLedger:
    """Return the ledger of a call that has made no attempt."""
    is_first = parts.request.depth == 0 and parts.arrived_as is None
    retryable = route.idempotent and is_first
    return CallLedger(retryable=retryable)


def deadline_ms(parts: CallParts, route: Route) -> int:
    """Return the time that the call may take, from its beginning on."""
    asked_ms = parts.request.deadline_ms
    return route.default_deadline_ms if asked_ms is None else asked_ms
