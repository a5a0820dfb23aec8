"""Registrations of backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from turmericpost_core.fleet.store_position import StorePosition

Version: TypeAlias = tuple[int, int]
"""A position in the registry, and a number of changes made at it."""


@dataclass(frozen=True, slots=True)
class Backend:
    """Registration of a backend server.

    ``started_ms`` is the Unix time of its start; it distinguishes two starts
    under the same id. ``cold_left_s`` is the remaining warm-up time in
    seconds at the time of registration.
    """

    backend_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    is_draining: bool
    cold_left_s: float
    started_ms: int

    @property
    def is_cold(self) -> bool:
        """Whether the server was still warming up when it registered."""
        return self.cold_left_s > 0


@dataclass(frozen=True, slots=True)
class Registration:
    """Registry record at a position; ``backend`` is ``None`` for a removal."""

    offset: StorePosition
    backend_id: str
    backend: Backend | None
