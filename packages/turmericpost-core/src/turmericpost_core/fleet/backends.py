"""Backend servers as they register themselves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

Version: TypeAlias = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Backend:
    """Registration of a backend server.

    ``started_ms`` is the Unix time of its start, which tells two starts
    under the same id apart; ``cold_left_s`` holds when it registered.
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
        """Whether the server said that it is still warming up."""
        return self.cold_left_s > 0


@dataclass(frozen=True, slots=True)
class Registration:
    """A record of the registry; no backend means that it was removed."""

    offset: int
    backend_id: str
    backend: Backend | None
