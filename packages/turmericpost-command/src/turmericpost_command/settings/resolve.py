"""Resolve settings: a flag goes before its variable, then the default."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from result import Err, Ok, Result

from turmericpost_command.settings.declare import DeclaredSetting
from turmericpost_command.settings.errors import SettingError, SettingErrorKind

PREFIX = 'TURMERICPOST_'

_TRUE_WORDS = frozenset(('1', 'true', 'yes', 'on'))
_FALSE_WORDS = frozenset(('0', 'false', 'no', 'off'))


@dataclass(frozen=True)
class RawSetting:
    """Text given for a setting, and the flag or variable it came from."""

    place: str
    text: str


def resolve(
    declared: Iterable[DeclaredSetting],
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Result[dict[str, Any], tuple[SettingError, ...]]:
    """Return the setting of each name, or every error found."""
    known = tuple(declared)
    errors = list(_unknown_variables(known, environment))
    resolved = {}
    for one in known:
        found = _resolve_one(one, flags, environment)
        if found.is_ok():
            resolved[one.name] = found.unwrap()
        else:
            errors.append(found.unwrap_err())
    return Err(tuple(errors)) if errors else Ok(resolved)


def _unknown_variables(
    declared: tuple[DeclaredSetting, ...],
    environment: Mapping[str, str],
) -> Iterator[SettingError]:
    variables = {one.environment_variable for one in declared}
    for name in sorted(environment):
        if name.startswith(PREFIX) and name not in variables:
            yield SettingError(
                SettingErrorKind.UNKNOWN,
                name,
                'no setting has this variable',
            )


def _resolve_one(
    declared: DeclaredSetting,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Result[Any, SettingError]:
    raw = _raw(declared, flags, environment)
    if raw is not None:
        return _parse(declared, raw)
    if declared.is_required:
        detail = f'give {declared.flag} or {declared.environment_variable}'
        missing = SettingError(SettingErrorKind.MISSING, declared.flag, detail)
        return Err(missing)
    return Ok(declared.default)


def _raw(
    declared: DeclaredSetting,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> RawSetting | None:
    flag_text = flags.get(declared.name)
    if flag_text is not None:
        return RawSetting(declared.flag, flag_text)
    variable_text = environment.get(declared.environment_variable)
    if variable_text is not None:
        return RawSetting(declared.environment_variable, variable_text)
    return None


def _parse(
    declared: DeclaredSetting,
    raw: RawSetting,
) -> Result[Any, SettingError]:
    try:
        parsed = _PARSERS[declared.type_name](raw.text)
    except ValueError:
        detail = f'{raw.text!r} is not of type {declared.type_name}'
        kind = SettingErrorKind.MALFORMED
        return Err(SettingError(kind, raw.place, detail))
    bounds = declared.bounds
    if bounds is None or bounds.low <= parsed <= bounds.high:
        return Ok(parsed)
    detail = f'{raw.text} is not {bounds}'
    kind = SettingErrorKind.OUT_OF_BOUNDS
    return Err(SettingError(kind, raw.place, detail))


def _parse_bool(text: str) -> bool:
    word = text.lower()
    if word in _TRUE_WORDS:
        return True
    if word in _FALSE_WORDS:
        return False
    raise ValueError(text)


def _parse_name(text: str) -> str:
    if text and text.isprintable():
        return text
    raise ValueError(text)


_PARSERS: Mapping[str, Callable[[str], Any]] = MappingProxyType(
    {
        'bool': _parse_bool,
        'float': float,
        'int': int,
        'str': _parse_name,
    }
)
