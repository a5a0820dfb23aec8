"""Command line functions whose flags are the declared settings."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from inspect import Parameter, Signature
from typing import Any

from turmericpost_command.settings.declare import DeclaredSetting

FlagTexts = Mapping[str, str | None]


def command_with_flags(
    name: str,
    summary: str,
    declared: Iterable[DeclaredSetting],
    run: Callable[[FlagTexts], int],
) -> Callable[..., int]:
    """Return a function for the command line library.

    Each setting becomes a flag taken as text; checking it comes later, so
    that flags and variables are checked alike and every error is found.
    """
    known = tuple(declared)

    def command(**flags: str | None) -> int:  # noqa: WPS430
        return run(flags)

    described = ''.join(_described(one) for one in known)
    made: Any = command
    made.__name__ = name
    made.__doc__ = f'{summary}\n\n{described}'
    made.__annotations__ = {one.name: str | None for one in known}
    made.__signature__ = Signature([_parameter(one) for one in known])
    return command


def _described(declared: DeclaredSetting) -> str:
    default = 'required' if declared.is_required else declared.default
    return (
        f':param {declared.name}: {declared.help_text} '
        f'({declared.type_name}, {default}; {declared.environment_variable})\n'
    )


def _parameter(declared: DeclaredSetting) -> Parameter:
    return Parameter(
        declared.name,
        Parameter.KEYWORD_ONLY,
        default=None,
        annotation=str | None,
    )
