"""Reads the field values of data classes without converting nested ones."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
from functools import lru_cache
from operator import attrgetter
from typing import Any


def shallow_fields(instance: Any) -> tuple[Any, ...]:
    """Return the field values of a data class instance in order.

    Nested data classes are not converted; the msgpack packer calls its
    ``default`` function again for each of them.
    """
    return _field_getter(instance.__class__)(instance)


@lru_cache
def _field_getter(data_class: Any) -> Callable[[Any], tuple[Any, ...]]:
    names = tuple(field.name for field in fields(data_class))
    if len(names) == 1:
        return lambda instance: (getattr(instance, names[0]),)
    return attrgetter(*names)
