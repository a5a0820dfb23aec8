"""Numbered log events; the catalogue in the docs lists them all."""

from __future__ import annotations

import json
import sys
from enum import Enum
from typing import Any

from logbook import Logger, StreamHandler, lookup_level
from twisted.logger import globalLogPublisher
from twisted.python.failure import Failure


class Level(Enum):
    """Level of a log event."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


class LogEvent(Enum):
    """Every event this process logs: number, level and meaning."""

    PROCESS_STARTED = (1001, Level.INFO, 'the process started')
    PORT_OPENED = (1002, Level.INFO, 'a port takes connections')
    READY = (1003, Level.INFO, 'the VM takes calls')
    DRAIN_STARTED = (1004, Level.INFO, 'the VM began to leave')
    DRAIN_FINISHED = (1005, Level.INFO, 'no call is in flight any more')
    PROCESS_STOPPED = (1006, Level.INFO, 'the process ends')
    FILTER_UNSUPPORTED = (
        1007,
        Level.WARNING,
        'connections may be reset while the caller port closes',
    )
    REVISION_IN_FORCE = (2001, Level.INFO, 'a revision is in force')
    CHANGE_REFUSED = (2002, Level.WARNING, 'a published change was refused')
    RECORD_MALFORMED = (2003, Level.ERROR, 'a stream record is not readable')
    LOG_UNREACHABLE = (2004, Level.WARNING, 'the store does not answer')
    LOG_REACHABLE = (2005, Level.INFO, 'the store answers again')
    LOG_EXPIRED = (2006, Level.WARNING, 'records expired before being read')
    LIST_UNREACHABLE = (2007, Level.WARNING, 'the VM list does not answer')
    DOMAINS_OUT = (2008, Level.INFO, 'failure domains out of service changed')
    REVISION_FROM_PEER = (2009, Level.INFO, 'a revision came from a peer')
    SNAPSHOT_WRITTEN = (2010, Level.INFO, 'a snapshot went to the log')
    LOG_WENT_BACK = (
        2011,
        Level.WARNING,
        'the store has lost records that were in force',
    )
    VIEW_CHANGED = (3001, Level.INFO, 'the membership view changed')
    PEER_MESSAGE_MALFORMED = (
        3002,
        Level.WARNING,
        'a peer sent a message that is not readable',
    )
    CALL_REFUSED = (4001, Level.DEBUG, 'a call ended with a refusal')
    STORE_UNREACHABLE = (5001, Level.WARNING, 'reads of the store fail')
    STORE_REACHABLE = (5002, Level.INFO, 'reads of the store succeed again')
    STORE_EXPIRED = (
        5003,
        Level.WARNING,
        'records expired before being read; the newest are listed',
    )
    RECORD_INVALID = (5004, Level.WARNING, 'a record names nothing to use')
    READER_CHANGED = (5005, Level.INFO, 'this VM began or ended reading')
    STORE_WRITE_FAILED = (5006, Level.WARNING, 'a write to the store failed')
    VMS_NOT_LISTED = (
        5007,
        Level.WARNING,
        'the store did not say which VMs announced themselves',
    )
    KNOWLEDGE_CHANGED = (
        5101,
        Level.INFO,
        'configuration, evacuations or backend servers changed',
    )
    BACKEND_CHANGED = (5102, Level.INFO, 'a backend server changed its state')
    BROKER_CHANGED = (5105, Level.INFO, 'another VM gives out permits')
    UPDATE_FAILED = (5103, Level.WARNING, 'no update came from a peer')
    UPDATE_DIFFERS = (
        5106,
        Level.WARNING,
        'the changes of a peer do not lead to what it has',
    )
    DATAGRAM_NOT_SENT = (5104, Level.WARNING, 'a datagram was not sent')
    CALL_ENDED = (6002, Level.INFO, 'a call ended with an answer')
    CALL_FAILED = (6003, Level.INFO, 'a call ended without an answer')
    CALL_CANCELLED = (6005, Level.INFO, 'the caller went away')
    LINES_LEFT_OUT = (6006, Level.WARNING, 'log lines were left out')
    SETTINGS_RELOADED = (1008, Level.INFO, 'the settings file was read again')
    SETTINGS_INVALID = (
        1009,
        Level.ERROR,
        'the settings file can not be used; the old settings hold',
    )
    UNEXPECTED_FAILURE = (9001, Level.ERROR, 'a defect was met')

    def __init__(self, number: int, level: Level, meaning: str) -> None:
        """Keep the parts of the event."""
        self.number = number
        self.level = level
        self.meaning = meaning


_logger = Logger('turmericpost')


def open_log(*, debug: bool) -> None:
    """Write events as JSON lines to standard error."""
    level = Level.DEBUG if debug else Level.INFO
    output = StreamHandler(
        sys.stderr,
        level=lookup_level(level.value),
        format_string='{record.message}',
    )
    output.push_application()
    globalLogPublisher.addObserver(log_framework_failure)


def log_failure(failure: Failure) -> None:
    """Log a failure that no code expects."""
    log_event(
        LogEvent.UNEXPECTED_FAILURE,
        error=failure.type.__name__,
        detail=failure.getErrorMessage(),
        traceback=failure.getTraceback(),
    )


def log_event(event: LogEvent, **fields: object) -> None:
    """Log one event with its fields as one JSON line."""
    level = lookup_level(event.level.value)
    line = {
        'event': event.number,
        'name': event.name.lower().replace('_', '-'),
        'level': event.level.value.lower(),
        **fields,
    }
    _logger.log(level, '{}', json.dumps(line, default=str))


def log_framework_failure(framework_event: dict[str, Any]) -> None:
    """Log a failure that the event loop caught."""
    failure = framework_event.get('log_failure')
    if failure is not None:
        log_failure(failure)
