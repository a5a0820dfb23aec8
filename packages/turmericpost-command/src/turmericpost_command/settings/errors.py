"""Errors in the settings of a process."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SettingErrorKind(Enum):
    """Category of a setting error."""

    UNKNOWN = 'unknown'
    MISSING = 'missing'
    MALFORMED = 'malformed'
    OUT_OF_BOUNDS = 'out of bounds'
    CLASH = 'clash'
    UNREADABLE = 'unreadable'


@dataclass(frozen=True)
class SettingError:
    """Error in one setting.

    ``source`` is the flag or environment variable at fault.
    """

    kind: SettingErrorKind
    source: str
    detail: str

    def __str__(self) -> str:
        """Return the error as one line of text."""
        kind = self.kind.value
        return f'{self.source}: {kind}: {self.detail}'
