"""Errors of the settings of a process."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SettingErrorKind(Enum):
    """What is wrong with a setting."""

    UNKNOWN = 'unknown'
    MISSING = 'missing'
    MALFORMED = 'malformed'
    OUT_OF_BOUNDS = 'out of bounds'
    CLASH = 'clash'
    UNREADABLE = 'unreadable'


@dataclass(frozen=True)
class SettingError:
    """One error: the flag or variable it is about, and the detail."""

    kind: SettingErrorKind
    place: str
    detail: str

    def __str__(self) -> str:
        """Return the error as one line."""
        kind = self.kind.value
        return f'{self.place}: {kind}: {self.detail}'
