"""How far the state of this VM is behind what other VMs state.

Other VMs state the versions of their state in heartbeats and digests. All
times are monotonic seconds of this VM.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import Any

MAX_MISSING_VERSIONS = 64
"""Number of missing versions whose times are kept: bursts publish three a
second, and the registry changes twice a second."""


BUSY = 'busy'
CONFLICT = 'conflict'
EXCEPTION = 'exception'
MISMATCH = 'mismatch'


class StatePart(Enum):
    """Parts of the state that have versions of their own."""

    OPERATOR = 'operator'
    REGISTRY = 'registry'


class StateWay(Enum):
    """Ways on which state comes from other VMs or goes to them."""

    PUSH = 'push'
    FETCH = 'fetch'
    SEND_PUSH = 'send-push'
    SERVE_FETCH = 'serve-fetch'


@dataclass(frozen=True, slots=True)
class StatedVersion:
    """A version that another VM stated, and when it was stated first."""

    version: Any
    vm_name: str
    stated_s: float


class PartLag:
    """Versions of one part of the state that others state and this VM lacks.

    ``failures`` counts by way and cause what failed since it lacks any.
    """

    def __init__(self) -> None:
        self.failures: Counter[tuple[StateWay, str]] = Counter()
        self._missing: deque[StatedVersion] = deque()
        self._covered: Any = None

    @property
    def newest(self) -> StatedVersion | None:
        """The newest version that this VM lacks, ``None`` if it lacks none."""
        return self._missing[-1] if self._missing else None

    @property
    def since_s(self) -> float | None:
        """When the oldest version that this VM lacks was stated first."""
        return self._missing[0].stated_s if self._missing else None

    def age_s(self, now_s: float) -> float:
        """Return for how many seconds this VM has been behind, 0 if it is not."""
        since_s = self.since_s
        return 0 if since_s is None else max(now_s - since_s, 0)

    def record_statement(self, stated: StatedVersion) -> None:
        """Record a version that is newer than that of this VM."""
        newest = self.newest
        if newest is not None and stated.version <= newest.version:
            return
        if self._covered is not None and stated.version <= self._covered:
            return
        if not self._missing:
            self.failures.clear()
        self._missing.append(stated)
        if len(self._missing) > MAX_MISSING_VERSIONS:
            self._missing.remove(self._missing[1])

    def record_own(self, version: Any) -> None:
        """Remove the versions that this VM has now."""
        while self._missing and self._missing[0].version <= version:
            self._missing.popleft()

    def record_read(self, begun_s: float) -> None:
        """Remove the versions that a read of the store must have contained.

        The store is linearizable: what another VM had read before this read
        began is part of it, also if the VMs count its version differently.
        """
        while self._missing and self._missing[0].stated_s <= begun_s:
            self._covered = self._missing.popleft().version


class StateLag:
    """How far this VM is behind in each part of the state.

    ``failures`` counts by way and cause how often passing on state failed since
    the start of the process.
    """

    def __init__(self) -> None:
        self.failures: Counter[tuple[StateWay, str]] = Counter()
        self._parts = {part: PartLag() for part in StatePart}

    def part(self, part: StatePart) -> PartLag:
        """Return the lag of one part of the state."""
        return self._parts[part]

    def record_failure(self, way: StateWay, cause: str) -> None:
        """Count a failure to pass on state, also for the parts that are behind."""
        self.failures[way, cause] += 1
        for part_lag in self._parts.values():
            if part_lag.newest is not None:
                part_lag.failures[way, cause] += 1


def is_outdated(
    lag: PartLag, peer_versions: Collection[Any], now_s: float, bound_s: float
) -> bool:
    """Return whether this VM should leave new callers to others.

    It should if it has been behind for longer than ``bound_s`` and at least
    half of the VMs of its failure domain, whose versions are given, are not
    behind. So a single VM that states a wrong version takes no other one out.
    """
    newest = lag.newest
    if newest is None or lag.age_s(now_s) <= bound_s:
        return False
    current = sum(version >= newest.version for version in peer_versions)
    return bool(current) and 2 * current >= len(peer_versions)
