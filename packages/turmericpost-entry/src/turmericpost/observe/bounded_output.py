"""Log lines on standard output that never block the loop.

Lines wait in a bounded buffer; what a stuck reader leaves no room for is
dropped and counted, and the count is logged once there is room again.
"""

from __future__ import annotations

import json
import os
import sys
from typing import Any

from logbook import Handler
from twisted.logger import globalLogPublisher

from turmericpost.observe.events import (
    LogEvent,
    log_event,
    log_framework_failure,
)

BUFFER_BYTES = 262144
"""Room for about a thousand lines: a second of the busiest VM."""

FLUSH_S = 0.05
"""Longest time that a line waits before it is written."""


class BoundedOutput:
    """Writes whole lines to a descriptor as far as it takes them."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting = bytearray()
        os.set_blocking(descriptor, False)

    def add(self, line: str) -> None:
        """Keep a line, or count it as left out."""
        wire = f'{line}\n'.encode()
        if len(self._waiting) + len(wire) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self._waiting += wire

    def flush(self) -> None:
        """Write as much as the reader takes."""
        if not self._waiting:
            return
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            written = len(self._waiting)
            self.dropped += self._waiting.count(b'\n')
        del self._waiting[:written]  # noqa: WPS420

    def pop_dropped_count(self) -> int:
        """Return how many lines were left out since the last look."""
        dropped = self.dropped
        self.dropped = 0
        return dropped


class BoundedHandler(Handler):
    """Hands log records to a bounded output, with their time and VM."""

    def __init__(self, output: BoundedOutput, vm_name: str) -> None:
        super().__init__()
        self._output = output
        self._vm = json.dumps(vm_name)

    def emit(self, record: Any) -> None:
        """Keep the line of a record: a JSON object, begun with its time."""
        at_utc = record.time.isoformat(timespec='milliseconds')
        rest = record.message.removeprefix('{')
        self._output.add(f'{{"at_utc": "{at_utc}", "vm": {self._vm}, {rest}')


def open_buffered_log(reactor: Any, vm_name: str) -> BoundedOutput:
    """Write log lines to standard output from now on."""
    output = BoundedOutput(sys.stdout.fileno())
    BoundedHandler(output, vm_name).push_application()
    globalLogPublisher.addObserver(log_framework_failure)
    reactor.callLater(FLUSH_S, _flush, reactor, output)
    reactor.addSystemEventTrigger('after', 'shutdown', output.flush)
    return output


def _flush(reactor: Any, output: BoundedOutput) -> None:
    output.flush()
    dropped = output.pop_dropped_count()
    if dropped:
        log_event(LogEvent.LINES_LEFT_OUT, lines=dropped)
    reactor.callLater(FLUSH_S, _flush, reactor, output)
