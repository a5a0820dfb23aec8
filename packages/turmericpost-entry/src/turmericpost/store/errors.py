"""Errors of store operations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from result import Result

from turmericpost_core.fleet.store_position import StorePosition


class StoreErrorKind(Enum):
    """Why an operation of the store failed.

    With ``OTHER_ERA`` the response belongs to another era of the store than the
    position that was read from. After ``NO_RESPONSE`` or ``MALFORMED_RESPONSE``, an append may have taken
    effect or may do so later. After all other errors, it has no effect.
    """

    NOT_SENT = 'not-sent'
    NO_RESPONSE = 'no-answer'
    OVERLOADED = 'turned-away'
    EXPIRED = 'expired'
    CONFLICT = 'conflict'
    FORBIDDEN = 'forbidden'
    FULL = 'full'
    MALFORMED_RESPONSE = 'unreadable'
    OTHER_ERA = 'other-era'


_MAY_HAVE_HAD_EFFECT = frozenset(
    (StoreErrorKind.NO_RESPONSE, StoreErrorKind.MALFORMED_RESPONSE),
)


@dataclass(frozen=True)
class StoreError:
    """Error of a store operation; must not be treated as an empty result.

    With the kind ``EXPIRED``, ``earliest_offset`` is the first offset that the
    store still retains. ``era`` is the era that the response states, if any.
    """

    kind: StoreErrorKind
    detail: str = ''
    earliest_offset: int = 0
    era: int | None = None


def append_had_no_effect(appended: Result[StorePosition, StoreError]) -> bool:
    """Return whether an append failed and certainly had no effect."""
    if appended.is_ok():
        return False
    return appended.unwrap_err().kind not in _MAY_HAVE_HAD_EFFECT
