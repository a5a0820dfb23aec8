"""Positions in a topic of the store."""

from __future__ import annotations

MAX_ERA = 0x3FFFFF
"""Largest era of the store that can be part of a position."""

_OFFSET_BITS = 40
_OFFSET_MASK = 0xFFFFFFFFFF


class StorePosition(int):  # noqa: WPS600
    """An offset in a topic of the store, and the era in which it counts.

    The store may return from a copy and give offsets out again. Its era rises
    each time, so two offsets are compared only within an era: every position of
    a later era comes after all those of earlier ones. A position whose era is
    not known comes before all others and is equal to its plain offset, which
    is what earlier releases send.
    """

    @property
    def era(self) -> int | None:
        """The era, ``None`` if it is not known."""
        stated = self >> _OFFSET_BITS
        return stated - 1 if stated else None

    @property
    def offset(self) -> int:
        """The offset within the era."""
        return self & _OFFSET_MASK

    def is_of_era(self, era: int | None) -> bool:
        """Return whether this position can be compared with those of an era."""
        return self.era == era


START = StorePosition(0)
"""Position before all others: nothing has been read yet."""


def new_position(era: int | None, offset: int) -> StorePosition:
    """Return the position of an offset in an era.

    Raises ``ValueError`` if one of them is out of range.
    """
    if not 0 <= offset <= _OFFSET_MASK:
        raise ValueError(f'offset {offset} is out of range')
    if era is None:
        return StorePosition(offset)
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f'era {era} is out of range')
    return StorePosition((era + 1) << _OFFSET_BITS | offset)
