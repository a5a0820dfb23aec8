"""CPU time and memory of a process, read from ``/proc``."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
_BYTES_PER_KB = 1024


@dataclass(frozen=True)
class ProcessCost:
    """CPU time used since the process started, and its current memory."""

    cpu_s: float
    resident_bytes: int


def process_cost(pid: int) -> ProcessCost:
    """Return the CPU time and the resident memory of a running process."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(') ')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ProcessCost(
        cpu_s=ticks / os.sysconf('SC_CLK_TCK'),
        resident_bytes=_resident_bytes(pid),
    )


def _resident_bytes(pid: int) -> int:
    status = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * _BYTES_PER_KB
    return 0
