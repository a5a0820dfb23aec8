"""Facts about entry VMs and how two facts about one VM merge."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class VmState(IntEnum):
    """State of an entry VM; at equal standing the higher one wins."""

    LIVE = 0
    LEAVING = 1
    LOST = 2


@dataclass(frozen=True)
class VmIdentity:
    """Addresses and place of an entry VM; ``name`` is its peer address."""

    name: str
    caller_host: str
    caller_port: int
    failure_domain: str
    region: str


@dataclass(frozen=True)
class VmRecord:
    """What is said of an entry VM.

    ``incarnation`` rises with each start of the process. ``refutation``
    rises when a process denies having been lost. ``revision`` is the
    configuration revision in force there.
    """

    identity: VmIdentity
    incarnation: int
    refutation: int = 0
    state: VmState = VmState.LIVE
    revision: int = 0

    @property
    def precedence(self) -> tuple[int, int, VmState, int]:
        """Order of facts about one VM; the greatest holds."""
        return (
            self.incarnation,
            self.refutation,
            self.state,
            self.revision,
        )


def merge(left: VmRecord, right: VmRecord) -> VmRecord:
    """Return the fact that holds of two about one VM."""
    return right if right.precedence > left.precedence else left
