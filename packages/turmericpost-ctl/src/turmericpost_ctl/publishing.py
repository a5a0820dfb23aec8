"""Publishes a document and waits until the entry VMs have applied it."""

from __future__ import annotations

import getpass
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

from turmericpost_ctl.admin_client import AdminClient, AdminResponse
from turmericpost_ctl.exit_status import ExitStatus

_POLL_INTERVAL_S = 0.1


@dataclass(frozen=True)
class PublishRequest:
    """Document to publish, its base revision and the time to wait.

    ``wait_s`` is how many seconds to wait for the entry VMs to apply it.
    """

    document_path: Path
    base_revision: int | None
    wait_s: float


@dataclass(frozen=True)
class CommandResult:
    """Exit status of a subcommand and the lines that it prints."""

    status: ExitStatus
    lines: tuple[str, ...]


def publish_document(
    client: AdminClient, request: PublishRequest
) -> CommandResult:
    """Publish a document and wait until every known entry VM has applied it."""
    try:
        text = request.document_path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return CommandResult(ExitStatus.USAGE, (str(error),))
    body = {
        'text': text,
        'format': 'json' if request.document_path.suffix == '.json' else 'toml',
        'base_revision': request.base_revision,
        'author': _user_name(),
    }
    post_result = client.post('changes', body)
    if post_result.is_err():
        line = f'not accepted: {post_result.unwrap_err()}'
        return CommandResult(ExitStatus.NOT_ACCEPTED, (line,))
    response = post_result.unwrap()
    if response.status != HTTPStatus.OK:
        return _failure_result(response)
    return _await_confirmation(
        client, response.body['revision'], request.wait_s
    )


def _failure_result(response: AdminResponse) -> CommandResult:
    body = response.body
    if response.status == HTTPStatus.CONFLICT:
        line = f'conflict: revision {body["revision"]} is newer than the base'
        return CommandResult(ExitStatus.CONFLICT, (line,))
    if response.status == HTTPStatus.UNPROCESSABLE_ENTITY:
        lines = tuple(body.get('errors', ('invalid document',)))
        return CommandResult(ExitStatus.USAGE, lines)
    if response.status == HTTPStatus.GATEWAY_TIMEOUT:
        line = f'not settled: change {body["change_id"]}: {body["detail"]}'
        return CommandResult(ExitStatus.UNCONFIRMED, (line,))
    line = f'not accepted: {body.get("detail", response.status)}'
    return CommandResult(ExitStatus.NOT_ACCEPTED, (line,))


def _await_confirmation(
    client: AdminClient,
    revision: int,
    wait_s: float,
) -> CommandResult:
    pending = _poll_until_empty(
        lambda: _unconfirmed_vms(client, revision), wait_s
    )
    accepted_message = f'revision {revision} accepted'
    if pending:
        names = ', '.join(pending)
        line = f'{accepted_message}; not yet confirmed by {names}'
        return CommandResult(ExitStatus.UNCONFIRMED, (line,))
    line = f'{accepted_message} and in force on every entry VM known'
    return CommandResult(ExitStatus.IN_FORCE, (line,))


def _poll_until_empty(
    read_pending: Callable[[], tuple[str, ...]],
    wait_s: float,
) -> tuple[str, ...]:
    end_s = time.monotonic() + wait_s
    pending = read_pending()
    while pending and time.monotonic() < end_s:
        time.sleep(_POLL_INTERVAL_S)
        pending = read_pending()
    return pending


def _unconfirmed_vms(client: AdminClient, revision: int) -> tuple[str, ...]:
    status = client.get('status')
    if status.is_err():
        return ('the admin port, which no longer answers',)
    vms: list[dict[str, Any]] = status.unwrap().body['entry_vms']
    return tuple(str(vm['name']) for vm in vms if vm['revision'] < revision)


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'unknown'
