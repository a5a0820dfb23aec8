"""What a broker tells about its grants, for log lines and metrics."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol as Interface

from turmericpost_core.grants.backend_state import BackendState
from turmericpost_core.grants.permits import PermitDenial, PermitGrant


@dataclass(frozen=True, slots=True)
class GrantTerms:
    """Limits in force for a pool when its broker granted a permit.

    ``share`` is the part of the cold rate limit that this broker uses,
    ``cold_per_s`` that part for one server, and ``allowed_in_s`` the attempts
    in a second that it allows a server that may be cold.
    """

    leads: bool
    share: float
    cold_per_s: float
    allowed_in_s: int


@dataclass(frozen=True, slots=True)
class DenialBasis:
    """What a broker knew of a pool when it denied a request.

    ``service_time_s`` is the typical service time that it assumed for the call,
    ``queued`` the number of other requests that wait, and ``with_room`` the number
    of servers that could have taken an attempt.
    """

    service_time_s: float
    queued: int
    with_room: int


class GrantObserver(Interface):
    """Receives what a broker has decided; must not change its state."""

    def permit_granted(
        self,
        grant: PermitGrant,
        server: BackendState,
        terms: GrantTerms,
        now_s: float,
    ) -> None:
        """Handle a grant that the state of the server already counts."""

    def request_denied(
        self, denial: PermitDenial, basis: DenialBasis, now_s: float
    ) -> None:
        """Handle a denial."""

    def found_cold(self, server: BackendState, now_s: float) -> None:
        """Handle a report of being cold of a server believed to be warm.

        Called before the report is recorded.
        """


class IgnoringObserver:
    """Observer that does nothing."""

    def permit_granted(
        self,
        grant: PermitGrant,
        server: BackendState,
        terms: GrantTerms,
        now_s: float,
    ) -> None:
        """Ignore a grant."""

    def request_denied(
        self, denial: PermitDenial, basis: DenialBasis, now_s: float
    ) -> None:
        """Ignore a denial."""

    def found_cold(self, server: BackendState, now_s: float) -> None:
        """Ignore a server that turned out to be cold."""
