"""Membership records of entry VMs and how two records of a VM merge."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class VmState(IntEnum):
    """State of an entry VM.

    Of two records with equal incarnation and refutation, the one with the
    higher state takes precedence.
    """

    LIVE = 0
    LEAVING = 1
    LOST = 2


@dataclass(frozen=True)
class VmIdentity:
    """Addresses and location of an entry VM.

    ``name`` is its peer address, as ``host:port``.
    """

    name: str
    caller_host: str
    caller_port: int
    failure_domain: str
    region: str


@dataclass(frozen=True)
class VmRecord:
    """Membership record of an entry VM.

    ``incarnation`` increases with each start of the process. ``refutation``
    increases when a running process refutes a report that it was lost.
    ``revision`` is the configuration revision in force on the VM.
    """

    identity: VmIdentity
    incarnation: int
    refutation: int = 0
    state: VmState = VmState.LIVE
    revision: int = 0

    @property
    def precedence(self) -> tuple[int, int, VmState, int]:
        """Sort key of the records of one VM; the greatest takes precedence."""
        return (
            self.incarnation,
            self.refutation,
            self.state,
            self.revision,
        )


def merge(first: VmRecord, second: VmRecord) -> VmRecord:
    """Return the one of two records of the same VM that takes precedence."""
    return second if second.precedence > first.precedence else first
