"""Calls with an operation key: run here, joined, relayed or refused."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol as Interface

from result import Result
from twisted.internet.defer import Deferred

from turmericpost.forward.call_facts import CallRequest
from turmericpost.forward.claims import ClaimedKey, KeyClaims
from turmericpost.forward.observer import CallObserver
from turmericpost.forward.operations import (
    OperationRequest,
    RunningOperations,
)
from turmericpost.http1.exchange import Exchange
from turmericpost.observe.events import log_failure
from turmericpost_core.clock import Clock
from turmericpost_core.membership.vm_records import VmRecord
from turmericpost_core.operations.keys import (
    KEY_LIFETIME_S,
    KeyOwner,
    parse_key_owner,
)
from turmericpost_core.operations.table import OperationId
from turmericpost_core.outcome.reasons import Outcome, RefusalReason
from turmericpost_core.routing.table import Route

_MS_PER_S = 1000
_NEVER_RAN = frozenset(
    (
        RefusalReason.KEY_CLAIM_UNAVAILABLE,
        RefusalReason.KEY_NEEDS_PREFIX,
        RefusalReason.OUTSIDE_HOME_REGIONS,
    )
)


@dataclass(frozen=True)
class KeyedCall:
    """A non-idempotent call with an operation key, and its route."""

    exchange: Exchange
    request: CallRequest
    route: Route
    operation_id: OperationId


class CallStarter(Interface):
    """Starts the calls that keyed calls turn into."""

    def run(
        self,
        call: KeyedCall,
        observer: CallObserver,
    ) -> None:
        """Send the call to a backend server."""

    def relay(self, call: KeyedCall, owner: VmRecord) -> None:
        """Send the call to the entry VM that owns its key."""


@dataclass(frozen=True)
class KeyedCallContext:
    """What keyed calls need to know of this VM and the others."""

    own_name: str
    own: Callable[[], VmRecord]
    known_vms: Callable[[], tuple[VmRecord, ...]]
    store_region: str
    clock: Clock

    def find_vm(self, name: str) -> VmRecord | None:
        """Return a VM by name if it is not lost."""
        for fact in self.known_vms():
            if fact.identity.name == name:
                return fact
        return None


class KeyedCalls:
    """Decides where the one run of an operation may take place."""

    def __init__(
        self,
        place: KeyedCallContext,
        operations: RunningOperations,
        claims: KeyClaims,
        starter: CallStarter,
    ) -> None:
        self._place = place
        self._operations = operations
        self._claims = claims
        self._starter = starter

    def begin(self, call: KeyedCall) -> None:
        """Take a call with an operation key."""
        if self._operations.table.find(call.operation_id) is not None:
            self._operations.join(self._operation(call, KEY_LIFETIME_S))
            return
        owner = parse_key_owner(call.operation_id.key)
        if owner is None:
            self._claim(call)
        elif owner.is_owned_by(self._place.own()):
            self._run(call, owner)
        else:
            self._relay(call, owner)

    def _run(self, call: KeyedCall, owner: KeyOwner) -> None:
        now_utc = self._place.clock.utc_now()
        if owner.is_expired(now_utc):
            self._refuse(call, RefusalReason.KEY_TOO_OLD)
            return
        left_s = owner.issued_s + KEY_LIFETIME_S - now_utc.timestamp()
        operation = self._operation(call, left_s)
        if self._operations.reserve(operation):
            self._starter.run(call, self._operations.observer(operation))

    def _relay(self, call: KeyedCall, owner: KeyOwner) -> None:
        """Send to the owner; a relayed call is not relayed again."""
        fact = self._fact_of(owner)
        if fact is None or call.request.arrived_as is not None:
            self._refuse(call, RefusalReason.KEY_OWNER_LOST)
            return
        home = call.route.home_regions
        if home is not None and fact.identity.region not in home:
            self._refuse(call, RefusalReason.OUTSIDE_HOME_REGIONS)
            return
        self._starter.relay(call, fact)

    def _claim(self, call: KeyedCall) -> None:
        """Claim the key; nothing about a bound request may leave home."""
        home = call.route.home_regions
        if home is not None and self._place.store_region not in home:
            self._refuse(call, RefusalReason.KEY_NEEDS_PREFIX)
            return
        operation = self._operation(call, KEY_LIFETIME_S)
        if not self._operations.reserve(operation):
            return
        claiming = Deferred.fromCoroutine(
            self._claims.claim(call.operation_id, self._place.own()),
        )
        claiming.addCallback(self._claim_judged, call, operation)
        claiming.addErrback(log_failure)

    def _claim_judged(
        self,
        judged: Result[ClaimedKey, RefusalReason],
        call: KeyedCall,
        operation: OperationRequest,
    ) -> None:
        if judged.is_err():
            self._give_up_claim(call, judged.unwrap_err())
            return
        claimed = judged.unwrap()
        owner = claimed.owner
        is_own = owner.is_owned_by(self._place.own())
        if is_own:
            self._run_claimed(call, operation, owner)
            return
        self._operations.withdraw(
            call.operation_id,
            RefusalReason.KEY_CLAIM_UNAVAILABLE,
        )
        self._relay(call, owner)

    def _run_claimed(
        self,
        call: KeyedCall,
        operation: OperationRequest,
        owner: KeyOwner,
    ) -> None:
        if owner.is_expired(self._place.clock.utc_now()):
            self._give_up_claim(call, RefusalReason.KEY_TOO_OLD)
        elif call.exchange.is_over:
            self._give_up_claim(call, RefusalReason.CALLER_GONE)
        else:
            self._starter.run(call, self._operations.observer(operation))

    def _give_up_claim(self, call: KeyedCall, reason: RefusalReason) -> None:
        self._operations.withdraw(call.operation_id, reason)
        self._refuse(call, reason)

    def _refuse(self, call: KeyedCall, reason: RefusalReason) -> None:
        never_ran = reason in _NEVER_RAN
        outcome = Outcome.NOT_RUN if never_ran else Outcome.UNKNOWN
        self._operations.refuse(call.exchange, outcome, reason)

    def _operation(self, call: KeyedCall, left_s: float) -> OperationRequest:
        now_s = self._place.clock.monotonic_s()
        deadline_ms = call.request.deadline_ms
        if deadline_ms is None:
            deadline_ms = call.route.default_deadline_ms
        return OperationRequest(
            operation_id=call.operation_id,
            exchange=call.exchange,
            deadline_s=now_s + deadline_ms / _MS_PER_S,
            expires_s=now_s + left_s,
        )

    def _fact_of(self, owner: KeyOwner) -> VmRecord | None:
        for fact in self._place.known_vms():
            if owner.is_owned_by(fact):
                return fact
        return None
