"""Errors of a configuration document."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class DocumentErrorKind(Enum):
    """What is wrong with a document."""

    TOO_LARGE = 'too-large'
    SYNTAX = 'syntax'
    SHAPE = 'shape'
    DUPLICATE = 'duplicate'
    UNKNOWN_REFERENCE = 'unknown-reference'
    TIME_ZONE = 'time-zone'
    ORDER = 'order'
    EMPTY_SERVICE = 'empty-service'


@dataclass(frozen=True)
class DocumentError:
    """One error: its kind, its place as a dotted path, and the detail."""

    kind: DocumentErrorKind
    place: str
    detail: str

    def __str__(self) -> str:
        """Return the error as one line."""
        place = self.place or 'document'
        kind = self.kind.value
        return f'{place}: {self.detail} ({kind})'
