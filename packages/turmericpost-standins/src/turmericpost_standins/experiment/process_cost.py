"""Processor time and memory of a process, as the kernel counts them."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

_USER_TIME = 11
_SYSTEM_TIME = 12
_KB = 1024


@dataclass(frozen=True)
class ProcessCost:
    """Processor time so far, and memory now."""

    cpu_s: float
    resident_bytes: int


def process_cost(pid: int) -> ProcessCost:
    """Read the cost of a process."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(') ')[2].split()
    ticks = int(fields[_USER_TIME]) + int(fields[_SYSTEM_TIME])
    return ProcessCost(
        cpu_s=ticks / os.sysconf('SC_CLK_TCK'),
        resident_bytes=_resident_bytes(pid),
    )


def _resident_bytes(pid: int) -> int:
    status = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * _KB
    return 0
