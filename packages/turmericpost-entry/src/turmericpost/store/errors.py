"""Failed calls of the store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from result import Result


class StoreErrorKind(Enum):
    """Why a call to the store did not succeed.

    Only after ``NO_ANSWER`` or ``UNREADABLE`` may an append have taken effect, or do so later.
    """

    NOT_SENT = 'not-sent'
    NO_RESPONSE = 'no-answer'
    OVERLOADED = 'turned-away'
    EXPIRED = 'expired'
    CONFLICT = 'conflict'
    FORBIDDEN = 'forbidden'
    FULL = 'full'
    MALFORMED_RESPONSE = 'unreadable'


_MAY_HAVE_HAD_EFFECT = frozenset(
    (StoreErrorKind.NO_RESPONSE, StoreErrorKind.MALFORMED_RESPONSE),
)


@dataclass(frozen=True)
class StoreError:
    """A failed call; never to be taken for an empty answer.

    ``earliest_offset`` is set with ``EXPIRED``.
    """

    kind: StoreErrorKind
    detail: str = ''
    earliest_offset: int = 0


def append_had_no_effect(appended: Result[int, StoreError]) -> bool:
    """Return whether an append failed and surely did nothing."""
    if appended.is_ok():
        return False
    return appended.unwrap_err().kind not in _MAY_HAVE_HAD_EFFECT
