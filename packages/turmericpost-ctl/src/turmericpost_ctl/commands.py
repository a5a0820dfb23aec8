"""Subcommands of ``turmericpostctl``."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from http import HTTPStatus
from json import dumps as encode_json
from pathlib import Path
from typing import Any

from turmericpost_ctl.admin_client import AdminClient
from turmericpost_ctl.exit_status import ExitStatus
from turmericpost_ctl.log_lines import parse_utc
from turmericpost_ctl.publishing import PublishRequest, publish_document
from turmericpost_ctl.rendering import (
    explain_lines,
    history_lines,
    plan_lines,
    status_lines,
)
from turmericpost_ctl.request_timeline import read_timeline, timeline_lines
from turmericpost_ctl.server_rendering import server_lines
from turmericpost_ctl.server_timeline import TimeSpan, read_server_timeline
from turmericpost_ctl.settings import DEFAULT_ADMIN_URL, DEFAULT_WAIT_S


def publish(
    document: Path,
    *,
    base_revision: int | None = None,
    wait_s: float = DEFAULT_WAIT_S,
    admin_url: str = DEFAULT_ADMIN_URL,
) -> int:
    """Publish a configuration document and wait until it is in force.

    :param document: TOML or JSON file
    :param base_revision: revision the document was made from; the one in
        force if not given
    :param wait_s: seconds to wait for the entry VMs to confirm
    :param admin_url: admin port of an entry VM
    """
    request = PublishRequest(document, base_revision, wait_s)
    command_result = publish_document(AdminClient(admin_url), request)
    failed = command_result.status is not ExitStatus.IN_FORCE
    _print_lines(command_result.lines, failed=failed)
    return command_result.status.value


def show(*, admin_url: str = DEFAULT_ADMIN_URL) -> int:
    """Print the configuration in force as JSON.

    :param admin_url: admin port of an entry VM
    """
    return _print_view(admin_url, 'configuration', _json_lines)


def status(
    *,
    json: bool = False,
    admin_url: str = DEFAULT_ADMIN_URL,
) -> int:
    """Print the revision, the entry VMs and the backend servers.

    :param json: print JSON
    :param admin_url: admin port of an entry VM
    """
    return _print_view(
        admin_url,
        'status',
        _json_lines if json else status_lines,
    )


def history(*, admin_url: str = DEFAULT_ADMIN_URL) -> int:
    """Print the latest configuration changes and their authors.

    :param admin_url: admin port of an entry VM
    """
    return _print_view(admin_url, 'history', history_lines)


def plan(*, admin_url: str = DEFAULT_ADMIN_URL) -> int:
    """Print the planned departures of failure domains.

    :param admin_url: admin port of an entry VM
    """
    return _print_view(admin_url, 'plan', plan_lines)


def explain_request(request_id: str, *files: Path) -> int:
    """Print what happened to a request, from the logs of several VMs.

    :param request_id: id that the caller gave the request
    :param files: log files; standard input if there are none
    """
    lines: list[str] = []
    for path in files:
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            _print_lines((f'{path}: {error.strerror}',), failed=True)
            return ExitStatus.USAGE.value
        lines.extend(text.splitlines())
    timeline = read_timeline(lines if files else sys.stdin, request_id)
    if not timeline.calls:
        message = f'no log line has the request id {request_id}'
        _print_lines(
            (message, *timeline_lines(timeline, request_id)), failed=True
        )
        return ExitStatus.USAGE.value
    _print_lines(timeline_lines(timeline, request_id), failed=False)
    return ExitStatus.IN_FORCE.value


def explain_server(server: str, *files: Path, since: str, until: str) -> int:
    """Print who sent requests to a server, from the logs of all VMs.

    :param server: id of the backend server
    :param files: log files; standard input if there are none
    :param since: begin of the time span, such as 2026-12-06T10:00:01; in UTC
        unless it has an offset
    :param until: end of the time span
    """
    since_utc, until_utc = parse_utc(since), parse_utc(until)
    if since_utc is None or until_utc is None:
        message = 'since and until must be ISO 8601 times'
        _print_lines((message,), failed=True)
        return ExitStatus.USAGE.value
    span = TimeSpan(since_utc, until_utc)
    try:
        timeline = read_server_timeline(_file_lines(files), server, span)
    except OSError as error:
        message = f'{error.filename}: {error.strerror}'
        _print_lines((message,), failed=True)
        return ExitStatus.USAGE.value
    _print_lines(server_lines(timeline, server), failed=False)
    return ExitStatus.IN_FORCE.value


def explain(
    *,
    service: str,
    account: str = '',
    method: str = 'GET',
    path: str = '/',
    admin_url: str = DEFAULT_ADMIN_URL,
) -> int:
    """Print which backend servers may serve a call and why others may not.

    :param service: service of the call
    :param account: client account of the call
    :param method: method of the call
    :param path: path of the call
    :param admin_url: admin port of an entry VM
    """
    query = {
        'service': service,
        'account': account,
        'method': method,
        'path': path,
    }
    return _print_view(admin_url, 'explain', explain_lines, query)


def _file_lines(files: tuple[Path, ...]) -> Iterator[str]:
    """Yield the lines of the files, of standard input if there are none."""
    if not files:
        yield from sys.stdin
    for path in files:
        with path.open(encoding='utf-8', errors='replace') as log_file:
            yield from log_file


def _print_view(
    admin_url: str,
    view: str,
    render_lines: Callable[[Mapping[str, Any]], Iterator[str]],
    query: Mapping[str, str] | None = None,
) -> int:
    view_result = AdminClient(admin_url).get(view, query)
    if view_result.is_err():
        _print_lines((str(view_result.unwrap_err()),), failed=True)
        return ExitStatus.NOT_ACCEPTED.value
    response = view_result.unwrap()
    if response.status != HTTPStatus.OK:
        _print_lines(
            (str(response.body.get('title', response.status)),), failed=True
        )
        return ExitStatus.USAGE.value
    _print_lines(render_lines(response.body), failed=False)
    return ExitStatus.IN_FORCE.value


def _json_lines(view: Mapping[str, Any]) -> Iterator[str]:
    yield encode_json(view, indent=2)


def _print_lines(lines: Iterable[str], *, failed: bool) -> None:
    output = sys.stderr if failed else sys.stdout
    prefix = 'turmericpostctl: ' if failed else ''
    for line in lines:
        output.write(f'{prefix}{line}\n')
