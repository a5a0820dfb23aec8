"""Exit statuses of the operator command."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """What the shell learns from a command."""

    IN_FORCE = 0
    USAGE = 2
    CONFLICT = 3
    UNCONFIRMED = 4
    NOT_ACCEPTED = 5
