"""Request rates that backend servers state as their limits.

A server may state how many requests per second it accepts from all VMs
together. The limit holds until a response without it.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TypeAlias

from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.permits import Pool

STATEMENT_VALIDITY_S = 60.0
"""Age in seconds up to which a statement is kept.

A server that is used repeats its limit in each response.
"""

BackendInstance: TypeAlias = tuple[str, int]
"""Backend id and start time, which identify one life of a server."""


@dataclass(frozen=True, slots=True)
class RateLimitStatement:
    """What a backend server last stated about its limit.

    ``requests_per_s`` is ``None`` if the server states no limit. ``stated_s``
    is in monotonic seconds: when a response with a limit arrived, or when the
    request was sent whose response has none.
    """

    requests_per_s: float | None
    stated_s: float


class RateLimitTable:
    """Most recent statement of each backend server that stated a limit."""

    def __init__(self) -> None:
        self._statements: defaultdict[
            Pool, dict[BackendInstance, RateLimitStatement]
        ] = defaultdict(dict)

    def limit_of(self, backend: Backend) -> float | None:
        """Return the limit in requests per second, ``None`` if there is none.

        0 means that the server accepts no requests.
        """
        statement = self.statement_of(backend)
        return None if statement is None else statement.requests_per_s

    def statement_of(self, backend: Backend) -> RateLimitStatement | None:
        """Return the newest statement of a server, ``None`` if unknown."""
        return self._statements[pool_of(backend)].get(instance_of(backend))

    def in_force(self, pool: Pool) -> dict[BackendInstance, RateLimitStatement]:
        """Return the statements of a pool's servers that state a limit."""
        return {
            instance: statement
            for instance, statement in self._statements[pool].items()
            if statement.requests_per_s is not None
        }

    def record(
        self,
        pool: Pool,
        instance: BackendInstance,
        statement: RateLimitStatement,
    ) -> None:
        """Record a statement unless a newer one of the server is known.

        That a server without a known limit states none is not recorded.
        """
        known = self._statements[pool].get(instance)
        if known is None and statement.requests_per_s is None:
            return
        if known is None or statement.stated_s > known.stated_s:
            self._statements[pool][instance] = statement

    def forget_old(self, now_s: float) -> None:
        """Drop the statements older than ``STATEMENT_VALIDITY_S``."""
        oldest_s = now_s - STATEMENT_VALIDITY_S
        for pool, statements in tuple(self._statements.items()):
            self._statements[pool] = {
                instance: statement
                for instance, statement in statements.items()
                if statement.stated_s >= oldest_s
            }


def pool_of(backend: Backend) -> Pool:
    """Return the pool that a backend server belongs to."""
    return backend.service, backend.failure_domain


def instance_of(backend: Backend) -> BackendInstance:
    """Return the identity of this life of a backend server."""
    return backend.backend_id, backend.started_ms
