"""What backend servers state about taking requests: leaving and pauses.

A server that leaves takes no further requests until it starts again. A server
that asks for a pause takes none from the VM that it has answered until the
pause ends.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from turmericpost_core.fleet.backends import Backend
from turmericpost_core.grants.permits import Pool
from turmericpost_core.grants.rate_limits import (
    BackendInstance,
    instance_of,
    pool_of,
)

MAX_PAUSE_S = 3600.0
"""Longest pause in seconds; a server that asks for more gets this one."""

MAX_INSTANCES = 4096
"""Number of servers whose statements are kept, the newest ones.

It is over three times the 1,100 servers that are planned for in two years.
"""

UNDATED_LEAVING_S = 60.0
"""Seconds for which a server leaves that registers no start time.

Whether it has started again under the same id is not known.
"""

_FOR_GOOD_S = float('inf')


@dataclass(frozen=True, slots=True)
class Availability:
    """Statements of one life of a server, in monotonic seconds.

    ``stated_s`` is when the first of those in force arrived. The server takes
    requests again at ``usable_from_s``, which is infinite if it leaves.
    """

    stated_s: float
    usable_from_s: float

    @property
    def is_leaving(self) -> bool:
        """Whether the server leaves."""
        return self.usable_from_s == _FOR_GOOD_S


class AvailabilityTable:
    """Statements in force, by pool and life of a server."""

    def __init__(self) -> None:
        self._by_pool: defaultdict[Pool, dict[BackendInstance, Availability]]
        self._by_pool = defaultdict(dict)

    def record_leaving(
        self, pool: Pool, instance: BackendInstance, stated_s: float
    ) -> bool:
        """Record that a server leaves; return whether that is new."""
        return self._record(pool, instance, Availability(stated_s, _FOR_GOOD_S))

    def record_pause(
        self,
        pool: Pool,
        instance: BackendInstance,
        stated_s: float,
        pause_s: float,
    ) -> bool:
        """Record a pause in seconds; return whether no pause was in force.

        A pause never shortens an earlier one.
        """
        until_s = stated_s + min(pause_s, MAX_PAUSE_S)
        return self._record(pool, instance, Availability(stated_s, until_s))

    def in_force(self, backend: Backend, now_s: float) -> Availability | None:
        """Return what a server has stated, ``None`` if it takes requests."""
        known = self._by_pool[pool_of(backend)].get(instance_of(backend))
        if known is None or now_s >= _end_s(known, backend.started_ms):
            return None
        return known

    def may_send(self, backend: Backend, now_s: float) -> bool:
        """Return whether a request may be sent to a server."""
        return self.in_force(backend, now_s) is None

    def in_pool(
        self, pool: Pool, now_s: float
    ) -> dict[BackendInstance, Availability]:
        """Return the statements in force of a pool's servers."""
        return {
            instance: known
            for instance, known in self._by_pool[pool].items()
            if now_s < _end_s(known, instance[1])
        }

    def forget_old(self, now_s: float) -> None:
        """Drop what is not in force, and the oldest beyond the maximum."""
        for pool in tuple(self._by_pool):
            self._by_pool[pool] = self.in_pool(pool, now_s)
            if not self._by_pool[pool]:
                self._by_pool.pop(pool)
        excess = sum(map(len, self._by_pool.values())) - MAX_INSTANCES
        if excess > 0:
            for pool, instance in sorted(self._all(), key=self._stated_s)[
                :excess
            ]:
                self._by_pool[pool].pop(instance)

    def _record(
        self, pool: Pool, instance: BackendInstance, stated: Availability
    ) -> bool:
        known = self._by_pool[pool].get(instance)
        is_new = known is None or stated.stated_s >= _end_s(known, instance[1])
        if known is not None and not is_new:
            stated = Availability(
                min(known.stated_s, stated.stated_s),
                max(known.usable_from_s, stated.usable_from_s),
            )
            is_new = stated.is_leaving and not known.is_leaving
        self._by_pool[pool][instance] = stated
        return is_new

    def _all(self) -> Iterator[tuple[Pool, BackendInstance]]:
        for pool, instances in self._by_pool.items():
            for instance in instances:
                yield pool, instance

    def _stated_s(self, key: tuple[Pool, BackendInstance]) -> float:
        pool, instance = key
        return self._by_pool[pool][instance].stated_s


def _end_s(known: Availability, started_ms: int) -> float:
    if known.is_leaving and not started_ms:
        return known.stated_s + UNDATED_LEAVING_S
    return known.usable_from_s
