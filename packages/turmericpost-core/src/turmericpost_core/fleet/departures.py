"""Backend servers that left in an earlier era of the store.

A store that returns from a copy lists servers whose removal or last registration
it has lost. Those are written again in time. Until then this VM does not use
the servers of which it knows that they left.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from turmericpost_core.fleet.backends import Backend

DEPARTURE_HOLD_S = 15.0
"""Seconds for which a removal counts that the store may have lost.

A server that is gone is removed again by then, after three missed check-ins. One
that was removed by mistake is used again.
"""

MAX_KEPT_REMOVALS = 2048
"""Number of removals kept: as many as changes are kept for other VMs."""


@dataclass(frozen=True, slots=True)
class _Departure:
    """Start of a server that left, and until when that counts.

    ``until_s`` is ``None`` if it counts until the server has started again.
    """

    started_ms: int
    until_s: float | None


class Departures:
    """Servers that left, as known before the era of the store changed."""

    def __init__(self) -> None:
        self._removed: deque[tuple[str, int]] = deque(maxlen=MAX_KEPT_REMOVALS)
        self._departed: dict[str, _Departure] = {}
        self._unconfirmed: dict[str, int] = {}

    def record_removals(self, removed: Iterable[Backend]) -> None:
        """Record servers that are no longer registered."""
        for backend in removed:
            self._removed.append((backend.backend_id, backend.started_ms))

    def begin_era(self, known: Iterable[Backend]) -> None:
        """Hold what is known of departures against the store's older copy.

        ``known`` are the servers registered before.
        """
        registered = {backend.backend_id: backend for backend in known}
        self._unconfirmed.update(
            (backend_id, started_ms)
            for backend_id, started_ms in self._removed
            if backend_id not in registered
        )
        for backend_id, backend in registered.items():
            if backend.is_draining:
                departure = _Departure(backend.started_ms, None)
                self._departed[backend_id] = departure
        self._removed.clear()

    def still_registered(
        self, registered: Mapping[str, Backend], now_s: float
    ) -> frozenset[str]:
        """Return ids of registered servers that left before the era changed."""
        self._departed.update(
            (backend_id, _Departure(started_ms, now_s + DEPARTURE_HOLD_S))
            for backend_id, started_ms in self._unconfirmed.items()
        )
        self._unconfirmed.clear()
        self._departed = {
            backend_id: departure
            for backend_id, departure in self._departed.items()
            if _counts(departure, registered.get(backend_id), now_s)
        }
        return self.ids_in(registered)

    def ids_in(self, registered: Mapping[str, Backend]) -> frozenset[str]:
        """Return ids of servers that left, as of the last call with a time."""
        starts_ms = {
            backend_id: departure.started_ms
            for backend_id, departure in self._departed.items()
        }
        starts_ms.update(self._unconfirmed)
        return frozenset(
            backend_id
            for backend_id, started_ms in starts_ms.items()
            if backend_id in registered
            and registered[backend_id].started_ms <= started_ms
        )


def _counts(
    departure: _Departure, registered: Backend | None, now_s: float
) -> bool:
    """Return whether a departure still counts.

    One without a time limit is recorded again when the server is removed.
    """
    if departure.until_s is None:
        return registered is not None
    return now_s < departure.until_s
