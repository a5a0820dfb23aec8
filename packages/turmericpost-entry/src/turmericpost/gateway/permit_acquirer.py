"""Permit requests of one call, for its attempts and for hedging."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Protocol as Interface

from turmericpost.gateway.permit_client import PermitCriteria, PermitListener
from turmericpost.gateway.trail import Trail
from turmericpost_core.fleet.operator_config import OperatorRoute
from turmericpost_core.routing.domain_requests import (
    DomainRequest,
    domain_requests,
)


@dataclass(frozen=True, slots=True)
class CallContext:
    """Route, service and deadline of a call, set when it arrives.

    Times are monotonic seconds. ``objective_at_s`` is when the latency
    objective of the route ends.
    """

    call_id: str
    route: OperatorRoute
    service: str
    arrived_s: float
    objective_at_s: float
    deadline_at_s: float


class PermitSource(Interface):
    """Source of permits and of the failure domains to request them in."""

    def domains(self, context: CallContext) -> tuple[str, ...]:
        """Return the failure domains for the call in order of preference."""

    def request_permit(
        self, criteria: PermitCriteria, listener: PermitListener
    ) -> None:
        """Request a permit; the listener gets the reply."""

    def cancel_permit_request(self, permit_request_id: str) -> None:
        """Cancel a pending permit request."""


class PermitAcquirer:
    """Requests the permits of one call, one at a time and in one domain each.

    Backend servers in ``tried_backends`` are excluded from all requests.
    """

    def __init__(
        self,
        source: PermitSource,
        context: CallContext,
        trail: Trail,
        listener: PermitListener,
    ) -> None:
        self.tried_backends: set[str] = set()
        self._source = source
        self._context = context
        self._trail = trail
        self._listener = listener
        self._domain_requests: Iterator[DomainRequest] = iter(())
        self._pending_request_id: str | None = None

    @property
    def is_pending(self) -> bool:
        """Whether a permit request has no reply yet."""
        return self._pending_request_id is not None

    def request_first(self, *, is_retry: bool) -> bool:
        """Request a permit in the first failure domain.

        Returns false if no failure domain has a backend server.
        """
        self.cancel_pending()
        self._domain_requests = domain_requests(
            self._source.domains(self._context)
        )
        return self.request_next(is_retry=is_retry)

    def request_next(self, *, is_retry: bool) -> bool:
        """Request a permit in the next failure domain.

        Returns false if there is none left.
        """
        domain_request = next(self._domain_requests, None)
        if domain_request is None:
            return False
        self._request(
            domain_request, frozenset(self.tried_backends), is_retry=is_retry
        )
        return True

    def request_hedge(self, domain: str, busy_backends: frozenset[str]) -> None:
        """Request a permit for a hedged attempt, which must not be queued.

        ``busy_backends`` are the backend servers with attempts in flight.
        """
        domain_request = DomainRequest(
            domain, may_wait=False, may_redirect=False
        )
        self._request(
            domain_request, busy_backends | self.tried_backends, is_retry=True
        )

    def permit_requested(self, permit_request_id: str) -> None:
        """Store the id of the pending permit request."""
        self._pending_request_id = permit_request_id

    def reply_received(self) -> None:
        """Clear the pending permit request after its reply."""
        self._pending_request_id = None

    def cancel_pending(self) -> None:
        """Cancel the pending permit request, if there is one."""
        if self._pending_request_id is not None:
            self._source.cancel_permit_request(self._pending_request_id)
            self._pending_request_id = None

    def _request(
        self,
        domain_request: DomainRequest,
        excluded: frozenset[str],
        *,
        is_retry: bool,
    ) -> None:
        self._trail.add(
            'ask',
            domain=domain_request.failure_domain,
            may_wait=domain_request.may_wait,
            is_repeat=is_retry,
        )
        criteria = replace(
            self._criteria(domain_request), is_retry=is_retry, excluded=excluded
        )
        self._source.request_permit(criteria, self._listener)

    def _criteria(self, domain_request: DomainRequest) -> PermitCriteria:
        context = self._context
        return PermitCriteria(
            service=context.service,
            failure_domain=domain_request.failure_domain,
            rank=context.route.rank,
            arrived_s=context.arrived_s,
            objective_at_s=context.objective_at_s,
            deadline_at_s=context.deadline_at_s,
            may_wait=domain_request.may_wait,
            may_redirect=domain_request.may_redirect,
        )
