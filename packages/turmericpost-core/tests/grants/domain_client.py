"""Permit client of a simulated VM: the way of a permit request.

Requests go to the leader, to the next VM in rank after a time without reply,
and at last to this VM, as in the entry package's ``PermitClient``.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.grants.samples import new_request
from turmericpost_core.grants.limits import UNLISTED_GRACE_S
from turmericpost_core.grants.permits import (
    AttemptOutcome,
    AttemptReport,
    DenialReason,
    PermitGrant,
    PermitRequest,
)

if TYPE_CHECKING:
    from tests.grants.domain_vm import SimulatedVm

RESEND_S = 0.05
BROKER_TIMEOUT_S = 0.16
MAX_PERMIT_AGE_S = UNLISTED_GRACE_S
CHECK_INTERVAL_S = 0.04
MAX_ATTEMPTS = 3


@dataclass
class Call:
    """A call and how it ended; ``domains`` are those left to try."""

    number: int
    service: str
    domains: list[str]
    arrived_s: float
    objective_s: float
    deadline_s: float
    cancel_after_s: float | None = None
    attempts: int = 0
    excluded: frozenset[str] = frozenset()
    ended_s: float | None = None
    is_timed_out: bool = False

    def __post_init__(self) -> None:
        self.first_domain = self.domains[0]

    @property
    def deadline_at_s(self) -> float:
        return self.arrived_s + self.deadline_s


@dataclass
class _Pending:
    request: PermitRequest
    call: Call
    broker: str = ''
    sent_s: float = 0
    last_reply_s: float = 0
    tried_brokers: set[str] = field(default_factory=set)


class SimulatedClient:
    """Requests permits for the calls of one VM and uses them."""

    def __init__(self, vm: SimulatedVm) -> None:
        self._vm = vm
        self._pending: dict[str, _Pending] = {}
        self._held: dict[str, PermitGrant] = {}
        self._request_count = 0

    def start(self, call: Call) -> None:
        """Start a call; it ends at its deadline at the latest."""
        self._request(call)
        if call.ended_s is None:
            left_s = (
                call.deadline_s
                if call.cancel_after_s is None
                else (call.cancel_after_s)
            )
            self._vm.call_later(left_s, self._give_up, call)

    def held_permits(self) -> dict[str, dict[str, str]]:
        """Return the held permits by the VMs that they are listed for."""
        held: defaultdict[str, dict[str, str]] = defaultdict(dict)
        for permit_id, grant in self._held.items():
            backend_id = grant.backend.backend_id
            pool = grant.request.pool
            held[_issuer(permit_id)][permit_id] = backend_id
            held[self._vm.ranked(pool)[0]][permit_id] = backend_id
        return held

    def queued_received(self, permit_request_id: str) -> None:
        pending = self._pending.get(permit_request_id)
        if pending is not None:
            pending.last_reply_s = self._vm.now_s

    def denial_received(
        self, permit_request_id: str, reason: DenialReason
    ) -> None:
        """End the call or try the next domain."""
        pending = self._pending.pop(permit_request_id, None)
        if pending is None:
            return
        call = pending.call
        if call.domains and reason in {
            DenialReason.OTHER_DOMAIN,
            DenialReason.OVERLOADED,
            DenialReason.NO_BACKEND,
        }:
            self._request(call)
        else:
            call.ended_s = self._vm.now_s

    def grant_received(self, grant: PermitGrant) -> None:
        """Use a permit, or cancel it if it is no longer needed."""
        request_id = grant.request.permit_request_id
        pending = self._pending.get(request_id)
        issuer = _issuer(grant.permit_id)
        if pending is not None and self._may_use(issuer, pending):
            self._pending.pop(request_id)
            self._held[grant.permit_id] = grant
            pending.call.attempts += 1
            self._vm.fleet.send_attempt(self._vm, grant, pending.call)
        elif grant.permit_id not in self._held:
            self._vm.post(issuer, 'cancel_received', request_id)

    def attempt_ended(
        self, grant: PermitGrant, call: Call, report: AttemptReport
    ) -> None:
        """Release the permit; try again unless the attempt succeeded."""
        self._held.pop(grant.permit_id, None)
        issuer = _issuer(grant.permit_id)
        self._vm.post(issuer, 'finish_received', grant.permit_id, report)
        is_last = call.attempts >= MAX_ATTEMPTS
        if report.outcome is AttemptOutcome.SUCCESS or is_last:
            call.ended_s = self._vm.now_s
        elif call.ended_s is None:
            call.excluded |= {grant.backend.backend_id}
            call.domains.append(grant.request.failure_domain)
            self._request(call)

    def _request(self, call: Call) -> None:
        self._request_count += 1
        now_s = self._vm.now_s
        own = self._vm.view.own
        request = new_request(
            0,
            now_s,
            permit_request_id=(
                f'{own.name}.{own.started_ms}.{self._request_count}'
            ),
            requester=own.name,
            service=call.service,
            failure_domain=call.domains.pop(0),
            arrived_s=call.arrived_s,
            objective_at_s=call.arrived_s + call.objective_s,
            deadline_at_s=call.deadline_at_s,
            is_retry=call.attempts > 0,
            may_redirect=bool(call.domains),
            excluded=call.excluded,
        )
        pending = _Pending(request, call)
        self._pending[request.permit_request_id] = pending
        self._send_to_next_broker(pending)

    def _send_to_next_broker(self, pending: _Pending) -> None:
        ranked = self._vm.ranked(pending.request.pool)
        untried = [name for name in ranked if name not in pending.tried_brokers]
        pending.broker = untried[0] if untried else self._vm.name
        pending.tried_brokers.add(pending.broker)
        pending.last_reply_s = self._vm.now_s
        self._send(pending)

    def _send(self, pending: _Pending) -> None:
        pending.sent_s = self._vm.now_s
        if pending.broker == self._vm.name:
            self._vm.own_request(pending.request)
        else:
            self._vm.post(pending.broker, 'request_received', pending.request)
            self._vm.call_later(CHECK_INTERVAL_S, self._check, pending)

    def _check(self, pending: _Pending) -> None:
        """Resend a request without reply, or try the next VM in rank."""
        request_id = pending.request.permit_request_id
        if request_id not in self._pending:
            return
        now_s = self._vm.now_s
        if now_s - pending.last_reply_s > BROKER_TIMEOUT_S:
            self._vm.post(pending.broker, 'cancel_received', request_id)
            self._send_to_next_broker(pending)
        elif now_s - pending.sent_s > RESEND_S:
            self._send(pending)
        else:
            self._vm.call_later(CHECK_INTERVAL_S, self._check, pending)

    def _give_up(self, call: Call) -> None:
        for request_id, pending in tuple(self._pending.items()):
            if pending.call is call:
                self._pending.pop(request_id)
                self._vm.post(pending.broker, 'cancel_received', request_id)
                call.ended_s = self._vm.now_s
                call.is_timed_out = call.cancel_after_s is None

    def _may_use(self, issuer: str, pending: _Pending) -> bool:
        if issuer != pending.broker:
            return False
        silence_s = self._vm.now_s - pending.last_reply_s
        return issuer == self._vm.name or silence_s <= MAX_PERMIT_AGE_S


def _issuer(permit_id: str) -> str:
    return permit_id.partition('.')[0]
