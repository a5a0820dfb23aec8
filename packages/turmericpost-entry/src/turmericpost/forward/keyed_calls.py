"""Non-idempotent calls with an operation key, each of which runs only once."""

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
    KeyedOperations,
    OperationRequest,
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
_NOT_RUN_REASONS = frozenset(
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
    """Starts keyed calls; implemented by ``Forwarder``."""

    def run_keyed_call(
        self,
        call: KeyedCall,
        observer: CallObserver,
    ) -> None:
        """Run the call at a backend server and report to the observer."""

    def relay_keyed_call(self, call: KeyedCall, owner: VmRecord) -> None:
        """Relay the call to the entry VM that owns its key."""


@dataclass(frozen=True)
class KeyedCallContext:
    """Name of this VM, membership records, store region and clock."""

    own_name: str
    own: Callable[[], VmRecord]
    known_vms: Callable[[], tuple[VmRecord, ...]]
    store_region: str
    clock: Clock

    def find_vm(self, name: str) -> VmRecord | None:
        """Return a VM's record by name, ``None`` if it is unknown or lost."""
        for vm in self.known_vms():
            if vm.identity.name == name:
                return vm
        return None


class KeyedCalls:
    """Ensures that each operation runs only once, at the owner of its key."""

    def __init__(
        self,
        context: KeyedCallContext,
        operations: KeyedOperations,
        claims: KeyClaims,
        starter: CallStarter,
    ) -> None:
        self._context = context
        self._operations = operations
        self._claims = claims
        self._starter = starter

    def begin(self, call: KeyedCall) -> None:
        """Join a call to a known operation, or run, relay or refuse it."""
        if self._operations.table.find(call.operation_id) is not None:
            self._operations.join(self._operation_request(call, KEY_LIFETIME_S))
            return
        owner = parse_key_owner(call.operation_id.key)
        if owner is None:
            self._claim(call)
        elif owner.is_same_incarnation(self._context.own()):
            self._run(call, owner)
        else:
            self._relay(call, owner)

    def _run(self, call: KeyedCall, owner: KeyOwner) -> None:
        now_utc = self._context.clock.utc_now()
        if owner.is_expired(now_utc):
            self._refuse(call, RefusalReason.KEY_TOO_OLD)
            return
        remaining_s = owner.issued_s + KEY_LIFETIME_S - now_utc.timestamp()
        operation = self._operation_request(call, remaining_s)
        if self._operations.reserve(operation):
            self._starter.run_keyed_call(
                call, self._operations.observer(operation)
            )

    def _relay(self, call: KeyedCall, owner: KeyOwner) -> None:
        """Relay the call to its owner; a relayed call is not relayed again."""
        vm = self._find_owner(owner)
        if vm is None or call.request.incoming_relay_kind is not None:
            self._refuse(call, RefusalReason.KEY_OWNER_LOST)
            return
        allowed_regions = call.route.home_regions
        if (
            allowed_regions is not None
            and vm.identity.region not in allowed_regions
        ):
            self._refuse(call, RefusalReason.OUTSIDE_HOME_REGIONS)
            return
        self._starter.relay_keyed_call(call, vm)

    def _claim(self, call: KeyedCall) -> None:
        """Claim, in the store, a key that has no owner prefix.

        A call limited to home regions is refused if the store is outside
        them, because no data of the call may leave its home regions.
        """
        allowed_regions = call.route.home_regions
        if (
            allowed_regions is not None
            and self._context.store_region not in allowed_regions
        ):
            self._refuse(call, RefusalReason.KEY_NEEDS_PREFIX)
            return
        operation = self._operation_request(call, KEY_LIFETIME_S)
        if not self._operations.reserve(operation):
            return
        claiming = Deferred.fromCoroutine(
            self._claims.claim(call.operation_id, self._context.own()),
        )
        claiming.addCallback(self._claim_finished, call, operation)
        claiming.addErrback(log_failure)

    def _claim_finished(
        self,
        claim_result: Result[ClaimedKey, RefusalReason],
        call: KeyedCall,
        operation: OperationRequest,
    ) -> None:
        if claim_result.is_err():
            self._withdraw_claim(call, claim_result.unwrap_err())
            return
        claimed_key = claim_result.unwrap()
        owner = claimed_key.owner
        is_own = owner.is_same_incarnation(self._context.own())
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
        if owner.is_expired(self._context.clock.utc_now()):
            self._withdraw_claim(call, RefusalReason.KEY_TOO_OLD)
        elif call.exchange.is_over:
            self._withdraw_claim(call, RefusalReason.CALLER_GONE)
        else:
            self._starter.run_keyed_call(
                call, self._operations.observer(operation)
            )

    def _withdraw_claim(self, call: KeyedCall, reason: RefusalReason) -> None:
        self._operations.withdraw(call.operation_id, reason)
        self._refuse(call, reason)

    def _refuse(self, call: KeyedCall, reason: RefusalReason) -> None:
        never_ran = reason in _NOT_RUN_REASONS
        outcome = Outcome.NOT_RUN if never_ran else Outcome.UNKNOWN
        self._operations.refuse(call.exchange, outcome, reason)

    def _operation_request(
        self, call: KeyedCall, remaining_s: float
    ) -> OperationRequest:
        now_s = self._context.clock.monotonic_s()
        deadline_ms = call.request.deadline_ms
        if deadline_ms is None:
            deadline_ms = call.route.default_deadline_ms
        return OperationRequest(
            operation_id=call.operation_id,
            exchange=call.exchange,
            deadline_s=now_s + deadline_ms / _MS_PER_S,
            expires_s=now_s + remaining_s,
        )

    def _find_owner(self, owner: KeyOwner) -> VmRecord | None:
        for vm in self._context.known_vms():
            if owner.is_same_incarnation(vm):
                return vm
        return None
