"""Decode a configuration document from TOML or JSON.

Each error names the part of the document that it is about.
"""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from turmericpost_core.config.checks import find_errors
from turmericpost_core.config.document import Document
from turmericpost_core.config.errors import DocumentError, DocumentErrorKind

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024

_DOCUMENT_ADAPTER = TypeAdapter(Document)


class DocumentFormat(Enum):
    """Text format of a published document."""

    TOML = 'toml'
    JSON = 'json'


@dataclass(frozen=True)
class DocumentText:
    """Undecoded text of a document and its format."""

    text: str
    text_format: DocumentFormat


def decode_document(
    source: DocumentText,
) -> Result[Document, tuple[DocumentError, ...]]:
    """Decode and validate a document; on failure return every error found."""
    if len(source.text) > MAX_DOCUMENT_BYTES:
        too_large = DocumentError(DocumentErrorKind.TOO_LARGE, '', 'too large')
        return Err((too_large,))
    return _parse(source).and_then(document_from_mapping)


def document_from_mapping(
    raw: object,
) -> Result[Document, tuple[DocumentError, ...]]:
    """Validate decoded TOML or JSON and build the document from it."""
    try:
        document = _DOCUMENT_ADAPTER.validate_python(raw)
    except ValidationError as error:
        return Err(_validation_errors(error))
    errors = find_errors(document)
    return Err(errors) if errors else Ok(document)


def document_to_mapping(document: Document) -> dict[str, Any]:
    """Return the document as a dictionary of JSON-compatible values."""
    dumped: dict[str, Any] = _DOCUMENT_ADAPTER.dump_python(
        document, mode='json'
    )
    return dumped


def _parse(
    source: DocumentText,
) -> Result[Mapping[str, object], tuple[DocumentError, ...]]:
    is_toml = source.text_format is DocumentFormat.TOML
    loads = tomllib.loads if is_toml else json.loads
    try:
        return Ok(loads(source.text))
    except (ValueError, RecursionError) as error:
        syntax = DocumentError(DocumentErrorKind.SYNTAX, '', str(error))
        return Err((syntax,))


def _validation_errors(error: ValidationError) -> tuple[DocumentError, ...]:
    return tuple(
        DocumentError(
            DocumentErrorKind.SHAPE,
            '.'.join(str(step) for step in found['loc']),
            found['msg'],
        )
        for found in error.errors()
    )
