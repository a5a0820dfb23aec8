"""Validation errors of a configuration document."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class DocumentErrorKind(Enum):
    """Category of a document error."""

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
    """Error in a configuration document.

    ``location`` is the dotted path of the part that the error is about, empty
    for the whole document.
    """

    kind: DocumentErrorKind
    location: str
    detail: str

    def __str__(self) -> str:
        """Return the error as one line of text."""
        location = self.location or 'document'
        kind = self.kind.value
        return f'{location}: {self.detail} ({kind})'
