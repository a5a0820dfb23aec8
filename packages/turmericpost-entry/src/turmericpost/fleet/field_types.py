"""Checks that decoded data has the annotated types and can be passed on.

A field of another type, or one that no message to another VM can hold, would
raise an exception only where it is used, after it has become part of the state
of the VM.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import fields, is_dataclass
from functools import lru_cache
from types import MappingProxyType, UnionType
from typing import Any, TypeAlias, Union, get_args, get_origin, get_type_hints

from turmericpost_core.fleet.store_position import StorePosition

_TypeTest: TypeAlias = Callable[[Any], bool]

_MIN_INTEGER = -0x8000000000000000
_MAX_INTEGER = 0xFFFFFFFFFFFFFFFF


def check_field_types(instance: Any) -> None:
    """Check the fields of a data class instance, also of nested ones.

    Numbers must be finite, integers have at most 64 bits, and text must have a
    UTF-8 encoding. Raises ``TypeError`` with the name of the first field that
    has another type.
    """
    data_class = instance.__class__
    for name, has_type in _field_tests(data_class):
        if not has_type(getattr(instance, name)):
            raise TypeError(f'{data_class.__name__}.{name}')


def read_position(unpacked: Any) -> StorePosition:
    """Return the position with this integer; raise ``TypeError`` for others."""
    if unpacked.__class__ is not int:
        raise TypeError(f'{unpacked!r} is not a position')
    return StorePosition(unpacked)


def require_not_negative(number: float) -> float:
    """Return a number; raise ``ValueError`` if it is negative."""
    if number < 0:
        raise ValueError(number)
    return number


@lru_cache
def _field_tests(data_class: Any) -> tuple[tuple[str, _TypeTest], ...]:
    hints = get_type_hints(data_class)
    return tuple(
        (field.name, _type_test(hints[field.name]))
        for field in fields(data_class)
    )


def _type_test(annotation: Any) -> _TypeTest:
    origin = get_origin(annotation)
    if origin is not None:
        return _generic_test(origin, get_args(annotation))
    scalar_test = _SCALAR_TESTS.get(annotation)
    if scalar_test is not None:
        return scalar_test
    if is_dataclass(annotation):
        return lambda instance: _has_valid_fields(instance, annotation)
    return lambda instance: instance.__class__ is annotation


def _generic_test(origin: Any, arguments: tuple[Any, ...]) -> _TypeTest:
    tests = tuple(_type_test(one) for one in arguments if one is not Ellipsis)
    if origin in {Union, UnionType}:
        return lambda instance: any(test(instance) for test in tests)
    if origin is tuple and Ellipsis not in arguments:
        return lambda instance: _is_fixed_tuple(instance, tests)
    if origin is Mapping:
        return lambda instance: _is_mapping(instance, *tests)
    return lambda instance: (
        instance.__class__ is origin and all(map(tests[0], instance))
    )


def _is_finite_number(instance: Any) -> bool:
    if instance.__class__ is int:
        return _is_integer(instance)
    return instance.__class__ is float and math.isfinite(instance)


def _is_integer(instance: Any) -> bool:
    if instance.__class__ is not int:
        return False
    return bool(_MIN_INTEGER <= instance <= _MAX_INTEGER)


def _is_text(instance: Any) -> bool:
    return instance.__class__ is str and (
        instance.isascii() or _has_utf8_encoding(instance)
    )


def _has_utf8_encoding(text: str) -> bool:
    """Return false for text with half of a surrogate pair."""
    try:
        text.encode('utf-8')
    except UnicodeEncodeError:
        return False
    return True


def _has_valid_fields(instance: Any, data_class: Any) -> bool:
    if instance.__class__ is data_class:
        check_field_types(instance)
        return True
    return False


def _is_fixed_tuple(instance: Any, tests: tuple[_TypeTest, ...]) -> bool:
    return (
        instance.__class__ is tuple
        and len(instance) == len(tests)
        and all(test(part) for test, part in zip(tests, instance, strict=True))
    )


def _is_mapping(
    instance: Any, key_test: _TypeTest, entry_test: _TypeTest
) -> bool:
    return (
        isinstance(instance, Mapping)
        and all(map(key_test, instance))
        and all(map(entry_test, instance.values()))
    )


def _is_position(instance: Any) -> bool:
    return instance.__class__ is StorePosition and 0 <= instance <= _MAX_INTEGER


_SCALAR_TESTS: Mapping[Any, _TypeTest] = MappingProxyType(
    {
        float: _is_finite_number,
        int: _is_integer,
        str: _is_text,
        StorePosition: _is_position,
    }
)
