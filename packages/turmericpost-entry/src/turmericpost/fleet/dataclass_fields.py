"""Fields of data classes, read without copying what stands inside them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
from functools import lru_cache
from operator import attrgetter
from typing import Any


def shallow_fields(unpacked: Any) -> tuple[Any, ...]:
    """Return the fields of a data class in order, inner ones as they are.

    A packer asks again for each field that it can't pack itself.
    """
    return _reader(unpacked.__class__)(unpacked)


@lru_cache
def _reader(data_class: Any) -> Callable[[Any], tuple[Any, ...]]:
    names = tuple(field.name for field in fields(data_class))
    if len(names) == 1:
        return lambda unpacked: (getattr(unpacked, names[0]),)
    return attrgetter(*names)
