"""Hash ring of entry VMs, and owners by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

from xxhash import xxh3_64_intdigest

_CACHED_POSITIONS = 65536


def ring_successors(
    own_name: str,
    names: Iterable[str],
    count: int,
) -> tuple[str, ...]:
    """Return the ``count`` names that follow ``own_name`` on the ring."""
    others = sorted(
        (name for name in names if name != own_name), key=_ring_position
    )
    own_position = _ring_position(own_name)
    after_own = [
        other for other in others if _ring_position(other) > own_position
    ]
    before_own = others[: len(others) - len(after_own)]
    return tuple((after_own + before_own)[:count])


def rendezvous_owners(
    subject: str,
    names: Iterable[str],
    count: int,
) -> tuple[str, ...]:
    """Return the first ``count`` owners of a subject, in order of rank.

    When a name is removed, only the subjects that it owned change owners.
    """
    ranked = sorted(
        names,
        key=lambda name: (_ring_position(f'{subject} {name}'), name),
        reverse=True,
    )
    return tuple(ranked[:count])


@lru_cache(maxsize=_CACHED_POSITIONS)
def _ring_position(name: str) -> int:
    return xxh3_64_intdigest(name.encode('utf-8'))
