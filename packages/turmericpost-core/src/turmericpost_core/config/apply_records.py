"""Fold of the configuration stream: the same records give the same revision.

Every entry VM folds the same records in offset order, so all accept and
refuse the same changes. A revision only rises.
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

HISTORY_CHANGES = 100


class ChangeVerdict(Enum):
    """What the fold made of a change."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


@dataclass(frozen=True)
class FoldedChange:
    """One change as every entry VM judged it."""

    change_id: str
    author: str
    published_at_utc: datetime
    base_revision: int
    revision: int
    verdict: ChangeVerdict


@dataclass(frozen=True)
class Configuration:
    """The revision in force and how it came about."""

    revision: int = 0
    document: Document | None = None
    history: tuple[FoldedChange, ...] = ()


def fold_record(
    current: Configuration,
    record: ConfigurationRecord,
) -> Configuration:
    """Return the configuration after one more record of the stream."""
    if _is_known(current, record):
        return current
    if record.kind is RecordKind.SNAPSHOT:
        return _fold_snapshot(current, record)
    return _fold_change(current, record)


def lacks_records(
    current: Configuration,
    record: ConfigurationRecord,
) -> bool:
    """Return whether a change is based on a revision not folded yet.

    Then records were lost or have expired unread, and nothing that follows
    can be judged.
    """
    is_change = record.kind is RecordKind.CHANGE
    return is_change and record.base_revision > current.revision


def find_change(
    current: Configuration,
    change_id: str,
) -> FoldedChange | None:
    """Return the verdict on a change, if the fold has reached it."""
    for change in reversed(current.history):
        if change.change_id == change_id:
            return change
    return None


def newer_of(left: Configuration, right: Configuration) -> Configuration:
    """Return the configuration with the higher revision."""
    return right if right.revision > left.revision else left


def _is_known(current: Configuration, record: ConfigurationRecord) -> bool:
    if record.kind is RecordKind.SNAPSHOT:
        return False
    return find_change(current, record.change_id) is not None


def _fold_snapshot(
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


def _fold_change(
    current: Configuration,
    record: ConfigurationRecord,
) -> Configuration:
    if record.base_revision != current.revision:
        return _judged(current, record, ChangeVerdict.CONFLICT)
    decoded = document_from_mapping(record.document)
    if decoded.is_err():
        return _judged(current, record, ChangeVerdict.INVALID)
    raised = replace(
        current,
        revision=current.revision + 1,
        document=decoded.unwrap(),
    )
    return _judged(raised, record, ChangeVerdict.ACCEPTED)


def _judged(
    current: Configuration,
    record: ConfigurationRecord,
    verdict: ChangeVerdict,
) -> Configuration:
    change = FoldedChange(
        change_id=record.change_id,
        author=record.author,
        published_at_utc=record.published_at_utc,
        base_revision=record.base_revision,
        revision=current.revision,
        verdict=verdict,
    )
    history = (*current.history, change)
    return replace(current, history=history[-HISTORY_CHANGES:])
