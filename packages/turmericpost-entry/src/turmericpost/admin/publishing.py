"""Publishes configuration changes received on the admin port."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

from result import Err, Result

from turmericpost.admin.views import AdminState, change_view
from turmericpost.configlog.publisher import PublishError, PublishErrorKind
from turmericpost_core.config.apply_records import ChangeVerdict
from turmericpost_core.config.decode import (
    DocumentFormat,
    DocumentText,
    decode_document,
)
from turmericpost_core.config.document import Document

_VERDICT_STATUS = MappingProxyType(
    {
        ChangeVerdict.ACCEPTED: HTTPStatus.OK,
        ChangeVerdict.CONFLICT: HTTPStatus.CONFLICT,
        ChangeVerdict.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    }
)


@dataclass(frozen=True)
class ChangeRequest:
    """Change requested by an operator.

    If ``base_revision`` is ``None``, the change is based on the revision in
    force.
    """

    document: Document
    base_revision: int | None
    author: str


@dataclass(frozen=True)
class ChangeRequestError:
    """Invalid change request; ``lines`` has one line for each error."""

    lines: tuple[str, ...]


@dataclass(frozen=True)
class AdminResponse:
    """Status and JSON body of a response."""

    status: HTTPStatus
    body: dict[str, Any]


def decode_change(body: bytes) -> Result[ChangeRequest, ChangeRequestError]:
    """Decode and validate the body of a publish request."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        return Err(ChangeRequestError(('body: not JSON',)))
    if not isinstance(raw, dict):
        return Err(ChangeRequestError(('body: not an object',)))
    raw_base_revision = raw.get('base_revision')
    if not _is_base_revision(raw_base_revision):
        return Err(ChangeRequestError(('base_revision: not a number',)))
    source = _document_text(raw)
    if source is None:
        return Err(ChangeRequestError(('format: neither toml nor json',)))
    author = str(raw.get('author') or 'unknown')
    return (
        decode_document(source)
        .map(
            lambda document: ChangeRequest(document, raw_base_revision, author)
        )
        .map_err(
            lambda errors: ChangeRequestError(tuple(map(str, errors))),
        )
    )


async def publish_change(state: AdminState, body: bytes) -> AdminResponse:
    """Publish a change and return a response with its verdict or an error."""
    decoded = decode_change(body)
    if decoded.is_err():
        problem = _problem_details(
            'invalid-document', HTTPStatus.UNPROCESSABLE_ENTITY
        )
        problem['errors'] = decoded.unwrap_err().lines
        return AdminResponse(HTTPStatus.UNPROCESSABLE_ENTITY, problem)
    change = decoded.unwrap()
    effective_revision = change.base_revision
    if effective_revision is None:
        effective_revision = state.configuration().revision
    published = await state.publisher.publish(
        change.document,
        effective_revision,
        change.author,
    )
    if published.is_err():
        return _publish_error_response(published.unwrap_err())
    published_change = published.unwrap()
    return AdminResponse(
        _VERDICT_STATUS[published_change.verdict], change_view(published_change)
    )


def _publish_error_response(error: PublishError) -> AdminResponse:
    status = HTTPStatus.SERVICE_UNAVAILABLE
    if error.kind is PublishErrorKind.UNSETTLED:
        status = HTTPStatus.GATEWAY_TIMEOUT
    problem = _problem_details(error.kind.value, status)
    problem['change_id'] = error.change_id
    problem['detail'] = error.detail
    return AdminResponse(status, problem)


def _is_base_revision(decoded_number: object) -> bool:
    if decoded_number is None:
        return True
    return isinstance(decoded_number, int) and not isinstance(
        decoded_number, bool
    )


def _problem_details(kind: str, status: HTTPStatus) -> dict[str, Any]:
    return {
        'type': f'urn:turmericpost:admin:{kind}',
        'title': kind.replace('-', ' '),
        'status': status.value,
    }


def _document_text(raw: dict[str, Any]) -> DocumentText | None:
    text = raw.get('text')
    formats = {
        known_format.value: known_format for known_format in DocumentFormat
    }
    text_format = formats.get(str(raw.get('format', 'toml')))
    if not isinstance(text, str) or text_format is None:
        return None
    return DocumentText(text, text_format)
