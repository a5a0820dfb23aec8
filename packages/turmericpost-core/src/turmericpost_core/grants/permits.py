"""Asks for permits, and what becomes of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from turmericpost_core.fleet.backends import Backend

Pool: TypeAlias = tuple[str, str]


class AskEnd(Enum):
    """Why an ask ends without a permit."""

    OVERLOADED = 'overloaded'
    ELSEWHERE = 'elsewhere'
    NO_BACKEND = 'no-backend'
    REPEAT_BUDGET = 'repeat-budget'
    DEADLINE = 'deadline'


class SendOutcome(Enum):
    """How the use of a permit ended, as far as the server's standing goes."""

    SUCCESS = 'success'
    SHED = 'shed'
    FAILURE = 'failure'
    GONE = 'gone'
    UNUSED = 'unused'


@dataclass(frozen=True, slots=True)
class Ask:
    """A call that wants a backend server of a service.

    Times are the broker's monotonic seconds; the call arrived at its VM
    before the broker was asked. ``may_wait`` lets it queue, ``may_leave``
    lets the broker answer that it goes better elsewhere.
    """

    ask_id: str
    asker: str
    service: str
    failure_domain: str
    rank: int
    arrived_s: float
    asked_s: float
    objective_at_s: float
    deadline_at_s: float
    is_repeat: bool = False
    may_wait: bool = True
    may_leave: bool = False
    excluded: frozenset[str] = frozenset()

    @property
    def pool(self) -> Pool:
        """The backend servers that the ask is about."""
        return self.service, self.failure_domain


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """Load that a server reports of itself; 100 percent is usual speed.

    ``cold_left_s`` is ``None`` where the report does not say.
    """

    running: int
    waiting: int
    slots: int
    slowness_percent: float = 100.0
    cold_left_s: float | None = None


@dataclass(frozen=True, slots=True)
class Finish:
    """What the holder of a permit tells when it is done."""

    outcome: SendOutcome
    latency_s: float = 0
    figures: LoadFigures | None = None


@dataclass(frozen=True, slots=True)
class Granted:
    """The call may be sent to the backend server now.

    ``expected_s`` is how long it should take there.
    """

    ask: Ask
    backend: Backend
    grant_id: str
    slowness_percent: float
    report_age_s: float
    expected_s: float


@dataclass(frozen=True, slots=True)
class Denied:
    """The call gets no permit here."""

    ask: Ask
    end: AskEnd
    retry_after_s: float = 0


@dataclass(frozen=True, slots=True)
class ProbeWanted:
    """The load of a backend server should be asked for."""

    backend: Backend


Decision = Granted | Denied | ProbeWanted


@dataclass(slots=True)
class Grant:
    """A permit in use."""

    backend_id: str
    asker: str
    granted_s: float
    expires_s: float
    objective_s: float = 0
    slowness_percent: float = 100.0
