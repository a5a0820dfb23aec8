"""Append-only logs of records without keys in the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from result import Result

from turmericpost.store.errors import StoreError
from turmericpost_core.fleet.store_position import StorePosition


@dataclass(frozen=True)
class LogRecord:
    """A record of a stream and its offset."""

    offset: int
    record: bytes


@dataclass(frozen=True)
class LogBatch:
    """Records of a read, and the offset that the next append will get.

    ``era`` is the era of the store, ``None`` if the response did not state it.
    """

    records: tuple[LogRecord, ...]
    end_offset: int
    era: int | None = None


class RecordLog(Protocol):
    """Interface to append to and read from streams of records."""

    async def append(
        self,
        stream: str,
        record: bytes,
    ) -> Result[StorePosition, StoreError]:
        """Append a record to a stream and return its position."""

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_s: float,
    ) -> Result[LogBatch, StoreError]:
        """Return records from an offset on.

        Waits up to ``wait_s`` seconds for the first record.
        """
