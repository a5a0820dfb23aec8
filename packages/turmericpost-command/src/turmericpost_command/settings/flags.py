"""Creates subcommands with one flag for each declared setting."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from inspect import Parameter, Signature
from typing import Any

from turmericpost_command.settings.declare import DeclaredSetting

FlagValues = Mapping[str, str | None]


def command_with_flags(
    name: str,
    summary: str,
    declared: Iterable[DeclaredSetting],
    run: Callable[[FlagValues], int],
) -> Callable[..., int]:
    """Return a function for ``defopt`` that takes one flag for each setting.

    Flag values are passed to ``run`` as text. They are validated later,
    together with the environment variables, so that every error is reported.
    """
    all_declared = tuple(declared)

    def command(**flags: str | None) -> int:  # noqa: WPS430
        return run(flags)

    parameter_help = ''.join(
        _parameter_help(setting) for setting in all_declared
    )
    function: Any = command
    function.__name__ = name
    function.__doc__ = f'{summary}\n\n{parameter_help}'
    function.__annotations__ = {
        setting.name: str | None for setting in all_declared
    }
    function.__signature__ = Signature(
        [_parameter(setting) for setting in all_declared]
    )
    return command


def _parameter_help(declared: DeclaredSetting) -> str:
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
