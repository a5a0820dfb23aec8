"""Apply records of the configuration stream to the configuration.

Every entry VM applies the same records in offset order, so all of them accept
and reject the same changes. The revision never decreases.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime
from enum import Enum

from turmericpost_core.config.decode import document_from_mapping
from turmericpost_core.config.document import Document
from turmericpost_core.config.records import (
    ConfigurationRecord,
    RecordKind,
)

MAX_HISTORY_CHANGES = 100


class ChangeVerdict(Enum):
    """Whether a change was accepted, and if not, why."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


@dataclass(frozen=True)
class EvaluatedChange:
    """A change of the history with its verdict.

    Every entry VM applies the records in the same order and so comes
    to the same verdict.
    """

    change_id: str
    author: str
    published_at_utc: datetime
    base_revision: int
    revision: int
    verdict: ChangeVerdict


@dataclass(frozen=True)
class Configuration:
    """Revision in force, its document, and the latest changes to it."""

    revision: int = 0
    document: Document | None = None
    history: tuple[EvaluatedChange, ...] = ()


def apply_record(
    current: Configuration,
    record: ConfigurationRecord,
) -> Configuration:
    """Return the configuration that results from applying a record."""
    if _is_duplicate(current, record):
        return current
    if record.kind is RecordKind.SNAPSHOT:
        return _apply_snapshot(current, record)
    return _apply_change(current, record)


def has_unknown_base(
    current: Configuration,
    record: ConfigurationRecord,
) -> bool:
    """Return whether a change is based on a revision above the current one.

    This means that records were lost or expired before they were read, and
    no later change can be accepted or rejected correctly.
    """
    is_change = record.kind is RecordKind.CHANGE
    return is_change and record.base_revision > current.revision


def find_change(
    current: Configuration,
    change_id: str,
) -> EvaluatedChange | None:
    """Return a change from the history, ``None`` if it is not found."""
    for change in reversed(current.history):
        if change.change_id == change_id:
            return change
    return None


def newer_configuration(
    first: Configuration, second: Configuration
) -> Configuration:
    """Return the configuration with the higher revision, ``first`` if equal."""
    return second if second.revision > first.revision else first


def _is_duplicate(current: Configuration, record: ConfigurationRecord) -> bool:
    if record.kind is RecordKind.SNAPSHOT:
        return False
    return find_change(current, record.change_id) is not None


def _apply_snapshot(
    current: Configuration,
    record: ConfigurationRecord,
) -> Configuration:
    if record.base_revision <= current.revision:
        return current
    decoded = document_from_mapping(record.document)
    if decoded.is_err():
        return current
    return replace(
        current,
        revision=record.base_revision,
        document=decoded.unwrap(),
    )


def _apply_change(
    current: Configuration,
    record: ConfigurationRecord,
) -> Configuration:
    if record.base_revision != current.revision:
        return _with_verdict(current, record, ChangeVerdict.CONFLICT)
    decoded = document_from_mapping(record.document)
    if decoded.is_err():
        return _with_verdict(current, record, ChangeVerdict.INVALID)
    updated = replace(
        current,
        revision=current.revision + 1,
        document=decoded.unwrap(),
    )
    return _with_verdict(updated, record, ChangeVerdict.ACCEPTED)


def _with_verdict(
    current: Configuration,
    record: ConfigurationRecord,
    verdict: ChangeVerdict,
) -> Configuration:
    change = EvaluatedChange(
        change_id=record.change_id,
        author=record.author,
        published_at_utc=record.published_at_utc,
        base_revision=record.base_revision,
        revision=current.revision,
        verdict=verdict,
    )
    history = (*current.history, change)
    return replace(current, history=history[-MAX_HISTORY_CHANGES:])
