"""Exit statuses of ``turmericpostctl``."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a subcommand.

    ``UNCONFIRMED`` means that a change was or may have been accepted, but not
    every entry VM has confirmed it.
    """

    IN_FORCE = 0
    USAGE = 2
    CONFLICT = 3
    UNCONFIRMED = 4
    NOT_ACCEPTED = 5
