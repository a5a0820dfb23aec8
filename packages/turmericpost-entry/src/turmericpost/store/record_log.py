"""Append-only logs of plain records on the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from result import Result

from turmericpost.store.errors import StoreError


@dataclass(frozen=True)
class LogRecord:
    """A record and its offset."""

    offset: int
    record: bytes


@dataclass(frozen=True)
class LogBatch:
    """Records read, and the offset that the next append will get."""

    records: tuple[LogRecord, ...]
    end_offset: int


class RecordLog(Protocol):
    """Appends to and reads from streams of records."""

    async def append(
        self,
        stream: str,
        record: bytes,
    ) -> Result[int, StoreError]:
        """Append a record and return its offset."""

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_s: float,
    ) -> Result[LogBatch, StoreError]:
        """Read records from an offset on, waiting for the first one."""
