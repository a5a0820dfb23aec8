"""Publish a document and wait until the entry VMs confirm it."""

from __future__ import annotations

import getpass
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

from turmericpost_ctl.admin_client import AdminAnswer, AdminClient
from turmericpost_ctl.exit_status import ExitStatus

_POLL_S = 0.1


@dataclass(frozen=True)
class PublishOrder:
    """What to publish, and how long to wait for confirmations."""

    document_path: Path
    base_revision: int | None
    wait_s: float


@dataclass(frozen=True)
class CommandEnd:
    """Exit status and the lines to print."""

    status: ExitStatus
    lines: tuple[str, ...]


def publish_document(client: AdminClient, order: PublishOrder) -> CommandEnd:
    """Publish and wait; the lines say who has confirmed."""
    try:
        text = order.document_path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return CommandEnd(ExitStatus.USAGE, (str(error),))
    body = {
        'text': text,
        'format': 'json' if order.document_path.suffix == '.json' else 'toml',
        'base_revision': order.base_revision,
        'author': _author(),
    }
    sent = client.post('changes', body)
    if sent.is_err():
        line = f'not accepted: {sent.unwrap_err()}'
        return CommandEnd(ExitStatus.NOT_ACCEPTED, (line,))
    answer = sent.unwrap()
    if answer.status != HTTPStatus.OK:
        return _refused(answer)
    return _await_confirmation(client, answer.body['revision'], order.wait_s)


def _refused(answer: AdminAnswer) -> CommandEnd:
    body = answer.body
    if answer.status == HTTPStatus.CONFLICT:
        line = f'conflict: revision {body["revision"]} is newer than the base'
        return CommandEnd(ExitStatus.CONFLICT, (line,))
    if answer.status == HTTPStatus.UNPROCESSABLE_ENTITY:
        lines = tuple(body.get('errors', ('invalid document',)))
        return CommandEnd(ExitStatus.USAGE, lines)
    if answer.status == HTTPStatus.GATEWAY_TIMEOUT:
        line = f'not settled: change {body["change_id"]}: {body["detail"]}'
        return CommandEnd(ExitStatus.UNCONFIRMED, (line,))
    line = f'not accepted: {body.get("detail", answer.status)}'
    return CommandEnd(ExitStatus.NOT_ACCEPTED, (line,))


def _await_confirmation(
    client: AdminClient,
    revision: int,
    wait_s: float,
) -> CommandEnd:
    pending = _until_none(lambda: _pending(client, revision), wait_s)
    accepted = f'revision {revision} accepted'
    if pending:
        names = ', '.join(pending)
        line = f'{accepted}; not yet confirmed by {names}'
        return CommandEnd(ExitStatus.UNCONFIRMED, (line,))
    line = f'{accepted} and in force on every entry VM known'
    return CommandEnd(ExitStatus.IN_FORCE, (line,))


def _until_none(
    read: Callable[[], tuple[str, ...]],
    wait_s: float,
) -> tuple[str, ...]:
    end_s = time.monotonic() + wait_s
    pending = read()
    while pending and time.monotonic() < end_s:
        time.sleep(_POLL_S)
        pending = read()
    return pending


def _pending(client: AdminClient, revision: int) -> tuple[str, ...]:
    status = client.get('status')
    if status.is_err():
        return ('the admin port, which no longer answers',)
    vms: list[dict[str, Any]] = status.unwrap().body['entry_vms']
    return tuple(str(vm['name']) for vm in vms if vm['revision'] < revision)


def _author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'unknown'
