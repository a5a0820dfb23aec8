"""The era that the store states in its responses."""

from __future__ import annotations

from turmericpost.store.errors import StoreError, StoreErrorKind
from turmericpost_core.fleet.store_position import MAX_ERA, StorePosition

ERA_HEADER = b'store-era'

_MAX_DIGITS = len(str(MAX_ERA))


def decode_era(field: bytes | None) -> int | None:
    """Return the era in a header field.

    ``None`` if the field is missing or is no number from 0 to ``MAX_ERA``.
    """
    if field is None or not field.isdigit() or len(field) > _MAX_DIGITS:
        return None
    era = int(field)
    return era if era <= MAX_ERA else None


def error_of_era(begin: StorePosition, era: int | None) -> StoreError:
    """Return the error of a read whose response is of another era.

    A response that states none cannot be placed after a position with an era.
    """
    detail = f'read from era {begin.era}, response of era {era}'
    if era is None:
        return StoreError(StoreErrorKind.MALFORMED_RESPONSE, detail)
    return StoreError(StoreErrorKind.OTHER_ERA, detail)
