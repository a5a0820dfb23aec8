"""Log handler for standard output that never blocks the event loop.

Lines are kept in a bounded buffer until they can be written. If the reader is
too slow and the buffer is full, new lines are dropped and counted; the count
is logged once there is room again.
"""

from __future__ import annotations

import json
import os
import sys
from typing import Any

from logbook import Handler

from turmericpost.observe.events import (
    LogEvent,
    log_event,
    observe_framework,
)

MAX_BUFFER_BYTES = 262144
"""Size of the buffer: about 1000 lines, which is 1 second on the busiest VM."""

FLUSH_INTERVAL_S = 0.05
"""Interval between writes, and thus the longest delay of a line."""


class BoundedLogBuffer:
    """Bounded line buffer in front of a non-blocking file descriptor."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def add_line(self, line: str) -> None:
        """Buffer a line, or count it as dropped if the buffer is full."""
        encoded = f'{line}\n'.encode()
        if len(self._buffer) + len(encoded) > MAX_BUFFER_BYTES:
            self.dropped += 1
        else:
            self._buffer += encoded

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        if not self._buffer:
            return
        try:
            written_bytes = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            written_bytes = len(self._buffer)
            self.dropped += self._buffer.count(b'\n')
        del self._buffer[:written_bytes]  # noqa: WPS420

    def pop_dropped_count(self) -> int:
        """Return and reset the number of dropped lines."""
        dropped = self.dropped
        self.dropped = 0
        return dropped


class BufferedLogHandler(Handler):
    """Log handler that adds the time and the VM name to each line."""

    def __init__(self, output: BoundedLogBuffer, vm_name: str) -> None:
        super().__init__()
        self._output = output
        self._encoded_vm_name = json.dumps(vm_name)

    def emit(self, record: Any) -> None:
        """Buffer a log record as a JSON object that starts with time and VM."""
        at_utc = record.time.isoformat(timespec='milliseconds')
        remaining_fields = record.message.removeprefix('{')
        self._output.add_line(
            f'{{"at_utc": "{at_utc}", "vm": {self._encoded_vm_name}, '
            f'{remaining_fields}'
        )


def open_buffered_log(reactor: Any, vm_name: str) -> BoundedLogBuffer:
    """Send all log events to standard output and flush them periodically."""
    output = BoundedLogBuffer(sys.stdout.fileno())
    BufferedLogHandler(output, vm_name).push_application()
    observe_framework()
    reactor.callLater(FLUSH_INTERVAL_S, _flush, reactor, output)
    reactor.addSystemEventTrigger('after', 'shutdown', output.flush)
    return output


def _flush(reactor: Any, output: BoundedLogBuffer) -> None:
    output.flush()
    dropped = output.pop_dropped_count()
    if dropped:
        log_event(LogEvent.LINES_LEFT_OUT, lines=dropped)
    reactor.callLater(FLUSH_INTERVAL_S, _flush, reactor, output)
