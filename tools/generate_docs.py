"""Generates the reference pages and example documents from the code.

With ``--check`` nothing is written, and exit status 1 means that a page is out
of date.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import tomli_w

from turmericpost.forward.refusals import refusal_status
from turmericpost.observe.events import LogEvent
from turmericpost.settings_groups import all_settings
from turmericpost_core.config.decode import document_to_mapping
from turmericpost_core.outcome.reasons import RefusalReason, RetryReason
from turmericpost_standins.deployments import (
    EGYPT,
    QUEBEC,
    Deployment,
    deployment_document,
)

DOCS = Path(__file__).resolve().parent.parent / 'docs'

_REASONS_HEAD = """# Refusal and retry reasons

A refusal carries `Turmericpost-Reason` and is counted in
`turmericpost_refusals_total{reason}`.

| refusal reason | status |
|---|---|"""

_FIRST_PORT = 9000
_PORTS_PER_SERVICE = 100


def pages() -> Iterator[tuple[Path, str]]:
    """Yield the path and the text of each generated page."""
    yield DOCS / 'reference' / 'settings.md', '\n'.join(_settings_page())
    yield DOCS / 'reference' / 'log-events.md', '\n'.join(_log_events_page())
    yield DOCS / 'reference' / 'reasons.md', '\n'.join(_reasons_page())
    for deployment in (EGYPT, QUEBEC):
        name = f'{deployment.name}.toml'
        yield DOCS / 'examples' / name, _example_document(deployment)


def main() -> int:
    """Write the pages, or check that they are up to date."""
    is_check = '--check' in sys.argv[1:]
    stale_count = 0
    for path, text in pages():
        if is_check:
            stale_count += _is_stale(path, text)
        else:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text, encoding='utf-8')
    return 1 if stale_count else 0


def _is_stale(path: Path, text: str) -> bool:
    if path.exists() and path.read_text(encoding='utf-8') == text:
        return False
    sys.stdout.write(f'{path.name} is stale: run tools/generate_docs.py\n')
    return True


def _settings_page() -> Iterator[str]:
    yield '# Settings of the entry process'
    yield ''
    yield 'A flag goes before its environment variable, that before the'
    yield 'default. `turmericpost check-settings` prints what holds.'
    yield ''
    yield '| flag | environment variable | type | default | meaning |'
    yield '|---|---|---|---|---|'
    for setting in all_settings():
        default = 'required' if setting.is_required else setting.default
        bounds = f' ({setting.bounds})' if setting.bounds else ''
        yield (
            f'| `{setting.flag}` | `{setting.environment_variable}` '
            f'| {setting.type_name}{bounds} | {default} | {setting.help_text} |'
        )
    yield ''


def _log_events_page() -> Iterator[str]:
    yield '# Log events'
    yield ''
    yield 'Each line of standard error is one event as a JSON object with'
    yield '`event`, `name`, `level` and fields of its own.'
    yield ''
    yield '| event | name | level | meaning |'
    yield '|---|---|---|---|'
    for event in LogEvent:
        name = event.name.lower().replace('_', '-')
        level = event.level.value.lower()
        yield f'| {event.number} | {name} | {level} | {event.meaning} |'
    yield ''


def _reasons_page() -> Iterator[str]:
    yield _REASONS_HEAD
    for reason in RefusalReason:
        yield f'| {reason.value} | {refusal_status(reason).value} |'
    yield ''
    yield (
        'A call sent again is counted in `turmericpost_retries_total{reason}`:'
    )
    yield ''
    for retry in RetryReason:
        yield f'- {retry.value}'
    yield ''


def _example_document(deployment: Deployment) -> str:
    ports = {
        service.name: [
            _FIRST_PORT + index * _PORTS_PER_SERVICE + target
            for target in range(service.backend_count)
        ]
        for index, service in enumerate(deployment.services)
    }
    mapping = document_to_mapping(deployment_document(deployment, ports))
    return tomli_w.dumps(_mapping_without_none(mapping))


def _mapping_without_none(mapping: dict[str, Any]) -> dict[str, Any]:
    return {
        name: _without_none(nested)
        for name, nested in mapping.items()
        if nested is not None
    }


def _without_none(document_part: object) -> object:
    if isinstance(document_part, dict):
        return _mapping_without_none(document_part)
    if isinstance(document_part, list):
        return [_without_none(nested) for nested in document_part]
    return document_part


if __name__ == '__main__':
    sys.exit(main())
