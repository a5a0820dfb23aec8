"""Resolves settings from flags, environment variables and defaults.

A flag takes precedence over the environment variable, which takes precedence
over the default.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from result import Err, Ok, Result

from turmericpost_command.settings.declare import DeclaredSetting
from turmericpost_command.settings.errors import SettingError, SettingErrorKind

ENVIRONMENT_PREFIX = 'TURMERICPOST_'

_TRUE_WORDS = frozenset(('1', 'true', 'yes', 'on'))
_FALSE_WORDS = frozenset(('0', 'false', 'no', 'off'))


@dataclass(frozen=True)
class RawSetting:
    """Text given for a setting, and the flag or variable that it comes from."""

    source: str
    text: str


def resolve(
    declared: Iterable[DeclaredSetting],
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Result[dict[str, Any], tuple[SettingError, ...]]:
    """Return the values of all settings by name, or every error found."""
    all_declared = tuple(declared)
    errors = list(_unknown_variables(all_declared, environment))
    resolved = {}
    for setting in all_declared:
        setting_result = _resolve_setting(setting, flags, environment)
        if setting_result.is_ok():
            resolved[setting.name] = setting_result.unwrap()
        else:
            errors.append(setting_result.unwrap_err())
    return Err(tuple(errors)) if errors else Ok(resolved)


def _unknown_variables(
    declared: tuple[DeclaredSetting, ...],
    environment: Mapping[str, str],
) -> Iterator[SettingError]:
    variables = {setting.environment_variable for setting in declared}
    for name in sorted(environment):
        if name.startswith(ENVIRONMENT_PREFIX) and name not in variables:
            yield SettingError(
                SettingErrorKind.UNKNOWN,
                name,
                'no setting has this variable',
            )


def _resolve_setting(
    declared: DeclaredSetting,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Result[Any, SettingError]:
    raw = _find_raw_setting(declared, flags, environment)
    if raw is not None:
        return _parse_setting(declared, raw)
    if declared.is_required:
        detail = f'set {declared.flag} or {declared.environment_variable}'
        missing = SettingError(SettingErrorKind.MISSING, declared.flag, detail)
        return Err(missing)
    return Ok(declared.default)


def _find_raw_setting(
    declared: DeclaredSetting,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> RawSetting | None:
    flag_text = flags.get(declared.name)
    if flag_text is not None:
        return RawSetting(declared.flag, flag_text)
    environment_text = environment.get(declared.environment_variable)
    if environment_text is not None:
        return RawSetting(declared.environment_variable, environment_text)
    return None


def _parse_setting(
    declared: DeclaredSetting,
    raw: RawSetting,
) -> Result[Any, SettingError]:
    try:
        parsed = _PARSERS[declared.type_name](raw.text)
    except ValueError:
        detail = f'{raw.text!r} is not of type {declared.type_name}'
        kind = SettingErrorKind.MALFORMED
        return Err(SettingError(kind, raw.source, detail))
    bounds = declared.bounds
    if bounds is None or bounds.low <= parsed <= bounds.high:
        return Ok(parsed)
    detail = f'{raw.text} is not {bounds}'
    kind = SettingErrorKind.OUT_OF_BOUNDS
    return Err(SettingError(kind, raw.source, detail))


def _parse_bool(text: str) -> bool:
    word = text.lower()
    if word in _TRUE_WORDS:
        return True
    if word in _FALSE_WORDS:
        return False
    raise ValueError(text)


def _parse_str(text: str) -> str:
    if text and text.isprintable():
        return text
    raise ValueError(text)


_PARSERS: Mapping[str, Callable[[str], Any]] = MappingProxyType(
    {
        'bool': _parse_bool,
        'float': float,
        'int': int,
        'str': _parse_str,
    }
)
