"""How a call asks for permits: domain after domain, and for a second one."""

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
    """What is known of a call when it arrives; monotonic seconds."""

    call_id: str
    route: OperatorRoute
    service: str
    arrived_s: float
    objective_at_s: float
    deadline_at_s: float


class PermitSource(Interface):
    """Where permits come from."""

    def domains(self, facts: CallContext) -> tuple[str, ...]:
        """Return the failure domains to try, the nearest first."""

    def ask(self, wish: PermitCriteria, taker: PermitListener) -> None:
        """Ask for a permit."""

    def cancel_ask(self, permit_request_id: str) -> None:
        """Take back an ask."""


class PermitAcquirer:
    """Asks for the permits of one call, one ask at a time."""

    def __init__(
        self,
        source: PermitSource,
        facts: CallContext,
        trail: Trail,
        taker: PermitListener,
    ) -> None:
        self.tried: set[str] = set()
        self._source = source
        self._facts = facts
        self._trail = trail
        self._taker = taker
        self._tour: Iterator[DomainRequest] = iter(())
        self._ask_id: str | None = None

    @property
    def is_asking(self) -> bool:
        """Whether an ask has no answer yet."""
        return self._ask_id is not None

    def seek(self, *, is_retry: bool) -> bool:
        """Ask the nearest domain; false if no domain has a server."""
        self.take_back()
        self._tour = domain_requests(self._source.domains(self._facts))
        return self.ask_next(is_retry=is_retry)

    def ask_next(self, *, is_retry: bool) -> bool:
        """Ask the next domain; false if all were asked."""
        stop = next(self._tour, None)
        if stop is None:
            return False
        self._ask(stop, frozenset(self.tried), is_retry=is_retry)
        return True

    def ask_second(self, domain: str, busy: frozenset[str]) -> None:
        """Ask for another server beside those at work, without waiting."""
        stop = DomainRequest(domain, may_wait=False, may_redirect=False)
        self._ask(stop, busy | self.tried, is_retry=True)

    def asked(self, permit_request_id: str) -> None:
        """Keep the id of the ask."""
        self._ask_id = permit_request_id

    def answered(self) -> None:
        """Note that the ask has its answer."""
        self._ask_id = None

    def take_back(self) -> None:
        """Take back the ask that has no answer yet."""
        if self._ask_id is not None:
            self._source.cancel_ask(self._ask_id)
            self._ask_id = None

    def _ask(
        self,
        stop: DomainRequest,
        excluded: frozenset[str],
        *,
        is_retry: bool,
    ) -> None:
        self._trail.add(
            'ask',
            domain=stop.failure_domain,
            may_wait=stop.may_wait,
            is_repeat=is_retry,
        )
        wish = replace(self._wish(stop), is_retry=is_retry, excluded=excluded)
        self._source.ask(wish, self._taker)

    def _wish(self, stop: DomainRequest) -> PermitCriteria:
        facts = self._facts
        return PermitCriteria(
            service=facts.service,
            failure_domain=stop.failure_domain,
            rank=facts.route.rank,
            arrived_s=facts.arrived_s,
            objective_at_s=facts.objective_at_s,
            deadline_at_s=facts.deadline_at_s,
            may_wait=stop.may_wait,
            may_redirect=stop.may_redirect,
        )
