"""Declares settings as fields of data classes, called settings groups."""

from __future__ import annotations

from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any

_HELP_KEY = 'help'


@dataclass(frozen=True)
class Bounds:
    """Lowest and highest allowed number of a setting."""

    low: float
    high: float

    def __str__(self) -> str:
        """Return the bounds as text."""
        return f'from {self.low} to {self.high}'


@dataclass(frozen=True)
class DeclaredSetting:
    """Declaration of one setting: name, type, help text, default and bounds."""

    name: str
    type_name: str
    help_text: str
    default: Any
    is_required: bool
    bounds: Bounds | None

    @property
    def flag(self) -> str:
        """Command line flag of the setting."""
        option_name = self.name.replace('_', '-')
        return f'--{option_name}'

    @property
    def environment_variable(self) -> str:
        """Environment variable of the setting."""
        option_name = self.name.upper()
        return f'TURMERICPOST_{option_name}'


def setting(
    help_text: str,
    *,
    default: Any = MISSING,
    bounds: Bounds | None = None,
) -> Any:
    """Declare a setting as a field of a settings group.

    A setting without a default is required.
    """
    metadata = {_HELP_KEY: help_text, 'bounds': bounds}
    return field(default=default, metadata=metadata)


def declared_settings(group: type[Any]) -> tuple[DeclaredSetting, ...]:
    """Return the settings of a settings group in the order of declaration."""
    return tuple(
        _declared_setting(group_field) for group_field in fields(group)
    )


def _declared_setting(declared_field: Field[Any]) -> DeclaredSetting:
    return DeclaredSetting(
        name=declared_field.name,
        type_name=str(declared_field.type),
        help_text=declared_field.metadata[_HELP_KEY],
        default=declared_field.default,
        is_required=declared_field.default is MISSING,
        bounds=declared_field.metadata['bounds'],
    )
