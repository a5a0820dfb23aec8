"""Parses load reports: JSON in ``endpoint-load-metrics`` response fields."""

from __future__ import annotations

import json
from typing import Any

from result import Err, Ok, Result

from turmericpost_core.limits.backend_load import LoadReport, ReportedState

LOAD_REPORT_HEADER = b'endpoint-load-metrics'

_PARSE_ERRORS = (ValueError, TypeError, KeyError, OverflowError)
_JSON_PREFIX = b'JSON '


class MalformedLoadReportError(Exception):
    """The value of a load report field is malformed."""


def parse_load_report(
    text: bytes,
) -> Result[LoadReport, MalformedLoadReportError]:
    """Parse the named metrics of a load report in ORCA JSON format."""
    try:
        return Ok(_to_load_report(json.loads(text.removeprefix(_JSON_PREFIX))))
    except _PARSE_ERRORS as error:
        return Err(MalformedLoadReportError(str(error)))


def _to_load_report(decoded: Any) -> LoadReport:
    named_metrics = decoded['named_metrics']
    return LoadReport(
        slots=int(named_metrics['slots']),
        in_flight=int(named_metrics['in_flight']),
        state=ReportedState(int(named_metrics['state'])),
        incarnation=int(named_metrics['incarnation']),
    )
