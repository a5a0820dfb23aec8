"""Publishing over the admin port."""

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
    """A change as an operator sends it; no base means the revision seen."""

    document: Document
    base_revision: int | None
    author: str


@dataclass(frozen=True)
class ChangeRequestError:
    """Lines that say what is wrong with a change."""

    lines: tuple[str, ...]


@dataclass(frozen=True)
class AdminReply:
    """Status and JSON body of an answer."""

    status: HTTPStatus
    body: dict[str, Any]


def read_change(body: bytes) -> Result[ChangeRequest, ChangeRequestError]:
    """Decode the body of a request to publish."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        return Err(ChangeRequestError(('body: not JSON',)))
    if not isinstance(raw, dict):
        return Err(ChangeRequestError(('body: not an object',)))
    base = raw.get('base_revision')
    if not _is_base_revision(base):
        return Err(ChangeRequestError(('base_revision: not a number',)))
    source = _document_text(raw)
    if source is None:
        return Err(ChangeRequestError(('format: neither toml nor json',)))
    author = str(raw.get('author') or 'unknown')
    return (
        decode_document(source)
        .map(lambda document: ChangeRequest(document, base, author))
        .map_err(
            lambda errors: ChangeRequestError(tuple(map(str, errors))),
        )
    )


async def publish_change(state: AdminState, body: bytes) -> AdminReply:
    """Publish a change and say how it was judged."""
    read = read_change(body)
    if read.is_err():
        problem = _problem('invalid-document', HTTPStatus.UNPROCESSABLE_ENTITY)
        problem['errors'] = read.unwrap_err().lines
        return AdminReply(HTTPStatus.UNPROCESSABLE_ENTITY, problem)
    change = read.unwrap()
    base = change.base_revision
    if base is None:
        base = state.configuration().revision
    published = await state.publisher.publish(
        change.document,
        base,
        change.author,
    )
    if published.is_err():
        return _not_published(published.unwrap_err())
    judged = published.unwrap()
    return AdminReply(_VERDICT_STATUS[judged.verdict], change_view(judged))


def _not_published(error: PublishError) -> AdminReply:
    status = HTTPStatus.SERVICE_UNAVAILABLE
    if error.kind is PublishErrorKind.UNSETTLED:
        status = HTTPStatus.GATEWAY_TIMEOUT
    problem = _problem(error.kind.value, status)
    problem['change_id'] = error.change_id
    problem['detail'] = error.detail
    return AdminReply(status, problem)


def _is_base_revision(base: object) -> bool:
    if base is None:
        return True
    return isinstance(base, int) and not isinstance(base, bool)


def _problem(kind: str, status: HTTPStatus) -> dict[str, Any]:
    return {
        'type': f'urn:turmericpost:admin:{kind}',
        'title': kind.replace('-', ' '),
        'status': status.value,
    }


def _document_text(raw: dict[str, Any]) -> DocumentText | None:
    text = raw.get('text')
    formats = {one.value: one for one in DocumentFormat}
    text_format = formats.get(str(raw.get('format', 'toml')))
    if not isinstance(text, str) or text_format is None:
        return None
    return DocumentText(text, text_format)
