"""Load reports in answers: the ``endpoint-load-metrics`` field, JSON form."""

from __future__ import annotations

import json
from typing import Any

from result import Err, Ok, Result

from turmericpost_core.limits.backend_load import LoadReport, ReportedState

LOAD_FIELD = b'endpoint-load-metrics'

_UNREADABLE = (ValueError, TypeError, KeyError, OverflowError)
_JSON_PREFIX = b'JSON '


class MalformedLoadReportError(Exception):
    """A load report that can't be read."""


def parse_load_field(
    text: bytes,
) -> Result[LoadReport, MalformedLoadReportError]:
    """Read the named metrics of a report in the published ORCA JSON form."""
    try:
        return Ok(_report(json.loads(text.removeprefix(_JSON_PREFIX))))
    except _UNREADABLE as error:
        return Err(MalformedLoadReportError(str(error)))


def _report(decoded: Any) -> LoadReport:
    named = decoded['named_metrics']
    return LoadReport(
        slots=int(named['slots']),
        in_flight=int(named['in_flight']),
        state=ReportedState(int(named['state'])),
        incarnation=int(named['incarnation']),
    )
