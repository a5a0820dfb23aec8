"""Declaration of one setting beside the code that uses it."""

from __future__ import annotations

from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any

_HELP = 'help'


@dataclass(frozen=True)
class Bounds:
    """Lowest and highest number a setting takes."""

    low: float
    high: float

    def __str__(self) -> str:
        """Return the bounds in words."""
        return f'from {self.low} to {self.high}'


@dataclass(frozen=True)
class DeclaredSetting:
    """A setting as its group declares it."""

    name: str
    type_name: str
    help_text: str
    default: Any
    is_required: bool
    bounds: Bounds | None

    @property
    def flag(self) -> str:
        """Command line flag of the setting."""
        words = self.name.replace('_', '-')
        return f'--{words}'

    @property
    def environment_variable(self) -> str:
        """Environment variable of the setting."""
        words = self.name.upper()
        return f'TURMERICPOST_{words}'


def setting(
    help_text: str,
    *,
    default: Any = MISSING,
    bounds: Bounds | None = None,
) -> Any:
    """Declare a field of a settings group."""
    metadata = {_HELP: help_text, 'bounds': bounds}
    return field(default=default, metadata=metadata)


def declared_settings(group: type[Any]) -> tuple[DeclaredSetting, ...]:
    """Return the settings that a group declares, in order."""
    return tuple(_declared(one) for one in fields(group))


def _declared(declared_field: Field[Any]) -> DeclaredSetting:
    return DeclaredSetting(
        name=declared_field.name,
        type_name=str(declared_field.type),
        help_text=declared_field.metadata[_HELP],
        default=declared_field.default,
        is_required=declared_field.default is MISSING,
        bounds=declared_field.metadata['bounds'],
    )
