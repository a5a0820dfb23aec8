"""Log events and their output as JSON lines.

The reference page ``log-events.md`` is generated from ``LogEvent``.
"""

from __future__ import annotations

import json
import sys
from enum import Enum
from time import monotonic
from typing import Any

from logbook import Logger, StreamHandler, lookup_level
from twisted.logger import globalLogBeginner
from twisted.python.failure import Failure

from turmericpost.observe.repeated_failures import RepeatedFailures


class Level(Enum):
    """Level of a log event."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


class LogEvent(Enum):
    """Log events with their number, level and meaning."""

    PROCESS_STARTED = (1001, Level.INFO, 'the process started')
    PORT_OPENED = (1002, Level.INFO, 'a port accepts connections')
    READY = (1003, Level.INFO, 'the VM accepts calls')
    DRAIN_STARTED = (1004, Level.INFO, 'the VM started to drain')
    DRAIN_FINISHED = (1005, Level.INFO, 'the VM has finished draining')
    PROCESS_STOPPED = (1006, Level.INFO, 'the process ends')
    FILTER_UNSUPPORTED = (
        1007,
        Level.WARNING,
        (
            'new connections cannot be filtered; '
            'some may be reset while the caller port closes'
        ),
    )
    NOT_READY = (
        1010,
        Level.WARNING,
        'the VM leaves new callers to others: its configuration is too old',
    )
    REVISION_IN_FORCE = (2001, Level.INFO, 'a revision is in force')
    CHANGE_REFUSED = (2002, Level.WARNING, 'a published change was refused')
    RECORD_MALFORMED = (
        2003,
        Level.ERROR,
        'a record of the stream cannot be decoded',
    )
    LOG_UNREACHABLE = (2004, Level.WARNING, 'the store does not respond')
    LOG_REACHABLE = (2005, Level.INFO, 'the store responds again')
    LOG_EXPIRED = (2006, Level.WARNING, 'records expired before being read')
    LIST_UNREACHABLE = (2007, Level.WARNING, 'the VM list cannot be read')
    DOMAINS_OUT = (
        2008,
        Level.INFO,
        'the set of failure domains out of service changed',
    )
    REVISION_FROM_PEER = (
        2009,
        Level.INFO,
        'a newer revision was received from a peer',
    )
    SNAPSHOT_WRITTEN = (2010, Level.INFO, 'a snapshot was written to the log')
    LOG_WENT_BACK = (
        2011,
        Level.WARNING,
        'the store has lost records that were in force',
    )
    CLAIMS_HELD = (
        2012,
        Level.WARNING,
        'the store may have lost claims on keys; for a time no new one counts',
    )
    VIEW_CHANGED = (3001, Level.INFO, 'the membership view changed')
    PEER_MESSAGE_MALFORMED = (
        3002,
        Level.WARNING,
        'a message from a peer cannot be decoded',
    )
    PROCESS_PAUSED = (
        3003,
        Level.WARNING,
        'the process did not run for a while; its broker grants no permits yet',
    )
    CALL_REFUSED = (4001, Level.DEBUG, 'a call ended with a refusal')
    STORE_UNREACHABLE = (5001, Level.WARNING, 'reads of the store fail')
    STORE_REACHABLE = (5002, Level.INFO, 'reads of the store succeed again')
    STORE_EXPIRED = (
        5003,
        Level.WARNING,
        (
            'records expired before being read; '
            'the current ones are listed instead'
        ),
    )
    RECORD_INVALID = (
        5004,
        Level.WARNING,
        'a record is invalid; what its key named is not used',
    )
    READER_CHANGED = (
        5005,
        Level.INFO,
        'this VM started or stopped reading the store',
    )
    STORE_WRITE_FAILED = (5006, Level.WARNING, 'a write to the store failed')
    VMS_NOT_LISTED = (
        5007,
        Level.WARNING,
        'the store did not return the VMs that announced themselves',
    )
    READ_INCOMPLETE = (
        5008,
        Level.INFO,
        'a read of the store left out newer records',
    )
    REMOVALS_POSTPONED = (
        5009,
        Level.INFO,
        'entries are missing after an outage; their servers may register again',
    )
    REMOVALS_CONFIRMED = (
        5010,
        Level.INFO,
        'servers whose entries are still missing are no longer used',
    )
    STORE_ERA_CHANGED = (
        5011,
        Level.WARNING,
        'the store has returned from a copy; records after that copy are lost',
    )
    KNOWLEDGE_CHANGED = (
        5101,
        Level.INFO,
        'configuration, evacuations or backend servers changed',
    )
    BACKEND_CHANGED = (
        5102,
        Level.INFO,
        'the state of a backend server changed',
    )
    BROKER_CHANGED = (
        5105,
        Level.INFO,
        'the broker of a pool changed to another VM',
    )
    BACKEND_LIMIT_CHANGED = (
        5107,
        Level.INFO,
        'a backend server states another rate limit, or none any more',
    )
    LIMITED_BACKEND_USED = (
        5108,
        Level.INFO,
        'the use that this broker allowed of a server with a rate limit',
    )
    BACKEND_CLOSED = (
        5109,
        Level.INFO,
        'a backend server states that it leaves or wants a pause',
    )
    BACKEND_PAUSE_INVALID = (
        5110,
        Level.WARNING,
        'a backend server states a pause that is no number of seconds',
    )
    UPDATE_FAILED = (
        5103,
        Level.WARNING,
        'an update from a peer could not be fetched or decoded',
    )
    STATE_BEHIND = (
        5111,
        Level.WARNING,
        'other VMs have had newer state for a while; why this VM lacks it',
    )
    STATE_CAUGHT_UP = (
        5112,
        Level.INFO,
        'this VM has the state again that others have',
    )
    UPDATE_CONFLICTS = (
        5117,
        Level.WARNING,
        (
            'another VM has another configuration at the same position '
            'in the store'
        ),
    )
    UPDATE_DIFFERS = (
        5106,
        Level.WARNING,
        'applying the changes of a peer did not give the state of the peer',
    )
    BROKERING_CHANGED = (
        5113,
        Level.INFO,
        (
            'this VM begins or ends to grant permits for a pool, or does so '
            'by another right or share'
        ),
    )
    COLD_PERMIT_GRANTED = (
        5114,
        Level.INFO,
        'a permit was granted for a server that may be cold',
    )
    SERVER_FOUND_COLD = (
        5115,
        Level.INFO,
        'a server that was believed to be warm reports to be cold',
    )
    PERMIT_DENIED = (
        5116,
        Level.INFO,
        'a request for a permit was denied, and on what that was based',
    )
    DATAGRAM_NOT_SENT = (5104, Level.WARNING, 'a datagram was not sent')
    CALL_ENDED = (6002, Level.INFO, 'a call ended with a response')
    CALL_FAILED = (6003, Level.INFO, 'a call ended without a response')
    CALL_CANCELLED = (6005, Level.INFO, 'the caller closed the connection')
    LINES_LEFT_OUT = (6006, Level.WARNING, 'log lines were dropped')
    SETTINGS_RELOADED = (1008, Level.INFO, 'the settings file was reloaded')
    SETTINGS_INVALID = (
        1009,
        Level.ERROR,
        'the settings file is invalid; the old settings stay in force',
    )
    UNEXPECTED_FAILURE = (
        9001,
        Level.ERROR,
        (
            'an unexpected exception occurred; the same one is logged '
            'again after a minute, with the number left out'
        ),
    )

    def __init__(self, number: int, level: Level, meaning: str) -> None:
        """Store number, level and meaning as attributes of the event."""
        self.number = number
        self.level = level
        self.meaning = meaning


_logger = Logger('turmericpost')
_repeated_failures = RepeatedFailures(monotonic)


def open_log(*, debug: bool) -> None:
    """Write events as JSON lines to standard error."""
    level = Level.DEBUG if debug else Level.INFO
    output = StreamHandler(
        sys.stderr,
        level=lookup_level(level.value),
        format_string='{record.message}',
    )
    output.push_application()
    observe_framework()


def log_failure(failure: Failure) -> None:
    """Log an unexpected exception with its traceback.

    The same exception from the same lines of code is logged once a minute.
    """
    places = tuple((frame[1], frame[2]) for frame in failure.frames)
    left_out = _repeated_failures.record((failure.type, places))
    if left_out is None:
        return
    log_event(
        LogEvent.UNEXPECTED_FAILURE,
        error=failure.type.__name__,
        detail=failure.getErrorMessage(),
        left_out=left_out,
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


def observe_framework() -> None:
    """Log the exceptions that Twisted caught, and nothing else of it."""
    globalLogBeginner.beginLoggingTo(
        [log_framework_failure], discardBuffer=True, redirectStandardIO=False
    )


def log_framework_failure(framework_event: dict[str, Any]) -> None:
    """Log an exception that Twisted caught; ignore other Twisted events."""
    failure = framework_event.get('log_failure')
    if failure is not None:
        log_failure(failure)
